package ctrl

import "cardamomspool/io/peer/peerpb"

// pending returns the revisions that this host has accepted and does not know
// to be chosen. An entry host that remembers nothing waits for these.
func (h *Host) pending() []*peerpb.Held {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []*peerpb.Held
	for _, r := range h.acceptor.Registers(nil) {
		if r.Value.Revision > r.Chosen.Revision {
			list = append(list, &peerpb.Held{Name: r.Name, Revision: r.Value.Revision})
		}
	}
	return list
}
