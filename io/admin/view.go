package admin

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"cardamomspool/core/quorum"
	"cardamomspool/core/spec"
)

type (
	// Accepted is the answer to an accepted change: the name of the service and
	// the revision that the change created.
	Accepted struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	}

	// Document is the answer to a read of one service.
	Document struct {
		spec.Versioned
		// Confirmed is true when a majority of control hosts has confirmed that
		// this is the newest document. Otherwise it is the newest document that
		// the answering host has learnt.
		Confirmed bool `json:"confirmed"`
	}

	// HistoryEntry is one entry of a service's history.
	HistoryEntry struct {
		spec.Versioned
		// Operator names the operator who made the change; may be empty.
		Operator string `json:"operator"`
		// At is when a control host received the change, by its own clock.
		At time.Time `json:"at"`
	}

	// EntryView describes the services and targets that an entry host knows.
	EntryView struct {
		// Host is the entry host's name.
		Host string `json:"host"`
		// DataCentre is the data centre that it runs in.
		DataCentre string `json:"data_centre"`
		// Version is that of the entry host's program; empty for builds that do not
		// tell it.
		Version string `json:"version,omitempty"`
		// Ready is true when the entry host accepts calls.
		Ready bool `json:"ready"`
		// Services lists the documents in force on it.
		Services []ServiceView `json:"services"`
		// Known is the number of known targets of all services.
		Known int `json:"known"`
		// Targets lists the known targets of the requested service, or of all
		// services.
		Targets []TargetView `json:"targets"`
	}

	// ServiceView is a document in force on an entry host.
	ServiceView struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	}

	// TargetView is an entry host's view of a target.
	TargetView struct {
		Service     string         `json:"service"`
		Name        string         `json:"name"`
		Address     netip.AddrPort `json:"address"`
		DataCentre  string         `json:"data_centre"`
		State       string         `json:"state"`
		Incarnation uint64         `json:"incarnation"`
		Slots       int            `json:"slots"`
		// Voucher is the entry host that receives the target's announcements
		// (Owner in package member).
		Voucher string `json:"voucher"`
		// Lapsed is true when the target's lease has expired (LeaseExpired in
		// package member).
		Lapsed bool `json:"lapsed"`
		// Suspect is true when the target neither announces itself nor
		// answers calls.
		Suspect bool `json:"suspect"`
	}

	// EntryAnswer is the answer of one entry host, or the reason why there is
	// none.
	EntryAnswer struct {
		EntryView
		// Problem is the reason why there is no answer; empty if there is one.
		Problem string `json:"problem,omitempty"`
	}
)

// Condition returns the target's state, followed by "suspect" or "lease lapsed"
// when that applies.
func (t *TargetView) Condition() string {
	switch {
	case t.Suspect:
		return t.State + ", suspect"
	case t.Lapsed:
		return t.State + ", lease lapsed"
	}
	return t.State
}

// History returns the history of a service, newest revision first. It is empty
// when store has learnt nothing about the service.
func History(store Store, name string) []HistoryEntry {
	values := store.History(name)
	history := make([]HistoryEntry, 0, len(values))
	for _, v := range slices.Backward(values) {
		history = append(history, newHistoryEntry(v))
	}
	slices.SortStableFunc(history, func(a, b HistoryEntry) int { return cmp.Compare(b.Revision, a.Revision) })
	return history
}

// newHistoryEntry converts a value of the store to a HistoryEntry.
func newHistoryEntry(v quorum.Value) HistoryEntry {
	return HistoryEntry{Versioned: v.Versioned, Operator: v.Operator, At: v.At}
}
