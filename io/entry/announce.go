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

// isolatedRetryAfter is the Retry-After value, in seconds, for a leaving target
// that this host could report to no other entry host: the target should announce
// itself to another one at once.
const isolatedRetryAfter = "0"

// announceHandler returns the handler of the announce address.
func (h *Host) announceHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.AnnouncePath, h.announce)
	return mux
}

// announce handles an announcement of a target and answers with its result.
func (h *Host) announce(w http.ResponseWriter, r *http.Request) {
	var (
		data   []byte
		result member.Action
		err    error
	)
	h.metrics.Counter("announcements").Add(1)
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
	if result, err = h.members.announce(r.Context(), record); err != nil {
		return // The target has disconnected and will announce itself again.
	}
	switch a := result.(type) {
	case member.Accept:
		writeJSON(w, http.StatusOK, wire.AnnouncementReply{
			Interval: strict.Duration(a.Interval), Lease: strict.Duration(a.Lease),
			AnnounceAddress: h.cfg.AnnounceAddress, OtherAddresses: a.Others,
		})
	case member.Reject:
		h.rejectAnnouncement(w, r, a)
	}
}

// rejectAnnouncement answers an announcement that the member.Node rejected.
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

// refuseAnnouncement counts, logs and answers an announcement that is not
// accepted, be it invalid or rejected.
func (h *Host) refuseAnnouncement(w http.ResponseWriter, r *http.Request, status int, p wire.AnnouncementProblem) {
	h.metrics.Counter("announcements_refused").Add(1)
	h.log.Warn("announcement refused", "remote", r.RemoteAddr, "status", status, "error", p.Error, "faults", p.Faults)
	writeJSON(w, status, p)
}

// writeJSON writes a response with the given HTTP status and v as JSON.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return // The client has disconnected.
	}
}
