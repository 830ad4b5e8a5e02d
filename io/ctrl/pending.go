package ctrl

import "cardamomspool/io/peer/peerpb"

// pending returns the revisions that this host has accepted and does not know
// to be chosen. An entry host that remembers nothing waits for these.
func (h *Host) pending() []*peerpb.Held {
	h.step.Lock()
	defer h.step.Unlock()
	var list []*peerpb.Held
	if h.node == nil {
		return nil
	}
	for _, v := range h.node.Pending(nil) {
		list = append(list, &peerpb.Held{Name: v.Name, Revision: v.Revision})
	}
	return list
}
