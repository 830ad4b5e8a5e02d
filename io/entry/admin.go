package entry

import (
	"net/http"

	"cardamomspool/core/member"
	"cardamomspool/io/admin"
)

// adminHandler serves metrics, readiness and what this host knows of targets.
func (h *Host) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", h.metrics)
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if h.ready.Load() && !h.draining.Load() {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	mux.HandleFunc("GET "+admin.TargetsPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, h.view())
	})
	return mux
}

// view returns the services in force and all known targets.
func (h *Host) view() admin.EntryView {
	v := admin.EntryView{
		Host: h.cfg.Host, DataCentre: h.cfg.DataCentre, Ready: h.ready.Load(),
		Services: []admin.ServiceView{}, Targets: []admin.TargetView{},
	}
	for _, s := range h.services.Load().list {
		v.Services = append(v.Services, admin.ServiceView{Name: s.doc.Name, Revision: s.revision})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.targets.All([]member.Record(nil)) {
		v.Targets = append(v.Targets, admin.TargetView{
			Service: r.Service, Name: r.Target, Address: r.Address, DataCentre: r.DataCentre,
			State: r.State.String(), Incarnation: r.Incarnation, Voucher: r.Voucher,
		})
	}
	return v
}
