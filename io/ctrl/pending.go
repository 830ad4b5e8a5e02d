package ctrl

import "cardamomspool/io/peer/peerpb"

// pendingRevisions returns the revisions that this host has accepted and does
// not yet know to be chosen. An entry host that starts without stored documents
// waits until it has received these revisions.
func (h *Host) pendingRevisions() []*peerpb.Held {
	h.stepMu.Lock()
	defer h.stepMu.Unlock()
	var list []*peerpb.Held
	if h.node == nil {
		return nil
	}
	for _, v := range h.node.Pending(nil) {
		list = append(list, &peerpb.Held{Name: v.Name, Revision: v.Revision})
	}
	return list
}
