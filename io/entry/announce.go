package entry

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"cardamomspool/core/member"
	"cardamomspool/core/strict"
	"cardamomspool/core/wire"
)

type (
	// targetView is one target as operators see it.
	targetView struct {
		Service     string `json:"service"`
		Target      string `json:"target"`
		Address     string `json:"address"`
		DataCentre  string `json:"data_centre"`
		State       string `json:"state"`
		Incarnation uint64 `json:"incarnation"`
		Slots       int    `json:"slots"`
		Voucher     string `json:"voucher"`
		Lapsed      bool   `json:"lapsed"`
		Suspect     bool   `json:"suspect"`
	}

	targetsView struct {
		Host    string       `json:"host"`
		Targets []targetView `json:"targets"`
	}
)

// isolatedRetryAfter tells a leaving target to turn to another entry host at
// once.
const isolatedRetryAfter = "0"

func (h *Host) announceHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.AnnouncePath, h.announce)
	return mux
}

// announce takes one announcement of a target.
func (h *Host) announce(w http.ResponseWriter, r *http.Request) {
	var (
		data   []byte
		answer member.Action
		err    error
	)
	h.metrics.Count("announcements").Add(1)
	if data, err = io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxAnnouncementBytes)); err != nil {
		h.refuseAnnouncement(w, r, http.StatusRequestEntityTooLarge,
			wire.AnnouncementProblem{Error: "the announcement is too large or was cut short"})
		return
	}
	record, faults := wire.ParseAnnouncement(data)
	if len(faults) > 0 {
		h.refuseAnnouncement(w, r, http.StatusBadRequest,
			wire.AnnouncementProblem{Error: "the announcement has faults", Faults: faults})
		return
	}
	if answer, err = h.members.announced(r.Context(), record); err != nil {
		return // The target has gone; it will announce itself again.
	}
	switch a := answer.(type) {
	case member.Accept:
		writeJSON(w, http.StatusOK, wire.AnnouncementReply{
			Interval: strict.Duration(a.Interval), Lease: strict.Duration(a.Lease),
			AnnounceAddress: h.cfg.AnnounceAddress, OtherAddresses: a.Others,
		})
	case member.Reject:
		h.rejectAnnouncement(w, r, a)
	}
}

func (h *Host) rejectAnnouncement(w http.ResponseWriter, r *http.Request, a member.Reject) {
	p := wire.AnnouncementProblem{Error: a.Err.Error()}
	if a.Current.State != 0 {
		p.State, p.Incarnation = a.Current.State.String(), a.Current.Incarnation
	}
	status := http.StatusConflict
	switch {
	case errors.Is(a.Err, member.ErrIsolated):
		w.Header().Set("Retry-After", isolatedRetryAfter)
		status = http.StatusServiceUnavailable
	case errors.Is(a.Err, member.ErrFull):
		status = http.StatusServiceUnavailable
	}
	h.refuseAnnouncement(w, r, status, p)
}

func (h *Host) refuseAnnouncement(w http.ResponseWriter, r *http.Request, status int, p wire.AnnouncementProblem) {
	h.metrics.Count("announcements_refused").Add(1)
	h.log.Warn("announcement refused", "remote", r.RemoteAddr, "status", status, "error", p.Error, "faults", p.Faults)
	writeJSON(w, status, p)
}

// listTargets writes every target that this host knows.
func (h *Host) listTargets(w http.ResponseWriter, _ *http.Request) {
	view := targetsView{Host: h.cfg.Host, Targets: []targetView{}}
	for _, r := range h.members.all() {
		view.Targets = append(view.Targets, targetView{
			Service: r.Service, Target: r.Target, Address: r.Address.String(), DataCentre: r.DataCentre,
			State: r.State.String(), Incarnation: r.Incarnation, Slots: r.Slots, Voucher: r.Voucher,
			Lapsed: r.Lapsed, Suspect: r.Suspect,
		})
	}
	writeJSON(w, http.StatusOK, view)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return // The other side has gone.
	}
}
