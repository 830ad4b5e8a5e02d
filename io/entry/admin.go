package entry

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"cardamomspool/core/member"
	"cardamomspool/internal/build"
	"cardamomspool/io/admin"
)

// adminHandler returns the handler of the admin address: metrics, readiness, and the
// services and targets that this host knows.
func (h *Host) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", h.metrics)
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if h.isReady() {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		writeJSON(w, http.StatusServiceUnavailable, h.config.status())
	})
	mux.HandleFunc("GET "+admin.TargetsPath, func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, h.entryView(r.URL.Query().Get(admin.ServiceParameter)))
	})
	if h.fleet == nil {
		mux.HandleFunc("GET "+admin.AccountsPath, func(w http.ResponseWriter, _ *http.Request) {
			writeJSON(w, http.StatusOK, h.accountUse(time.Now()))
		})
	}
	return mux
}

// entryView returns the services in force and the known targets of one service, or
// of all when service is empty.
func (h *Host) entryView(service string) admin.EntryView {
	v := admin.EntryView{
		Host: h.cfg.Host, DataCentre: h.cfg.DataCentre, Version: build.Version(), Ready: h.isReady(),
		Services: []admin.ServiceView{}, Targets: []admin.TargetView{},
	}
	services := h.services.Load()
	for _, s := range services.list {
		v.Services = append(v.Services, admin.ServiceView{Name: s.doc.Name, Revision: s.revision})
	}
	records := h.members.all()
	v.Known = len(records)
	for _, r := range records {
		if service != "" && r.Service != service {
			continue
		}
		v.Targets = append(v.Targets, admin.TargetView{
			Service: r.Service, Name: r.Target, Address: r.Address, DataCentre: r.DataCentre,
			State: stateText(services, r), Incarnation: r.Incarnation, Slots: r.Slots, Voucher: r.Owner,
			Lapsed: r.LeaseExpired, Suspect: r.Suspect,
		})
	}
	slices.SortFunc(v.Targets, func(a, b admin.TargetView) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
	})
	return v
}

// Ready reports whether the balancer in front of this host may send it calls.
func (h *Host) Ready() bool {
	return h.isReady()
}

// isReady reports whether this host should receive calls: it is not draining, and
// it has a plan and the targets (in a fleet) or its documents (on its own; see
// configuration.ready).
func (h *Host) isReady() bool {
	if h.fleet != nil {
		return h.fleet.ready() && !h.draining.Load()
	}
	return h.config.ready() && !h.draining.Load()
}

// stateText returns the state that a target announced, with a note when the
// operators have drained it.
func stateText(services *serviceMap, r member.Record) string {
	s, ok := services.byName[r.Service]
	if ok && slices.Contains(s.doc.Targets.Drain, r.Target) {
		return r.State.String() + ", drained by operators"
	}
	return r.State.String()
}
