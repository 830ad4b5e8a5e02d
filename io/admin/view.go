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
	// Accepted is the answer to an accepted change.
	Accepted struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	}

	// Document is the answer to a read of one service.
	Document struct {
		spec.Versioned
		// Confirmed says that a majority of control hosts holds it. Without
		// that it is the newest one that the answering host has learnt.
		Confirmed bool `json:"confirmed"`
	}

	// Past is one entry of a service's history.
	Past struct {
		spec.Versioned
		// Operator is who made the change; may be empty.
		Operator string `json:"operator"`
		// At is when the control host took the change.
		At time.Time `json:"at"`
	}

	// EntryView is what an entry host knows of its services and targets.
	EntryView struct {
		// Host is the entry host's name.
		Host string `json:"host"`
		// DataCentre is where it runs.
		DataCentre string `json:"data_centre"`
		// Ready says that it takes calls.
		Ready bool `json:"ready"`
		// Services lists the documents in force.
		Services []ServiceView `json:"services"`
		// Known is the number of known targets, of all services.
		Known int `json:"known"`
		// Targets lists the known targets of the service asked for, or of
		// all.
		Targets []TargetView `json:"targets"`
	}

	// ServiceView is a document in force on an entry host.
	ServiceView struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	}

	// TargetView is a target as an entry host knows it.
	TargetView struct {
		Service     string         `json:"service"`
		Name        string         `json:"name"`
		Address     netip.AddrPort `json:"address"`
		DataCentre  string         `json:"data_centre"`
		State       string         `json:"state"`
		Incarnation uint64         `json:"incarnation"`
		Slots       int            `json:"slots"`
		// Voucher is the entry host that hears the target's announcements.
		Voucher string `json:"voucher"`
		// Lapsed says that the target's lease has ended.
		Lapsed bool `json:"lapsed"`
		// Suspect says that the target was not heard and has not answered.
		Suspect bool `json:"suspect"`
	}

	// Sighting is an answer of one entry host, or why there is none.
	Sighting struct {
		EntryView
		// Problem says why the entry host did not answer; empty if it did.
		Problem string `json:"problem,omitempty"`
	}
)

// Condition returns the target's state with the marks that it bears.
func (t *TargetView) Condition() string {
	switch {
	case t.Suspect:
		return t.State + ", suspect"
	case t.Lapsed:
		return t.State + ", lease lapsed"
	}
	return t.State
}

// Pasts returns the history of a service, newest first.
func Pasts(store Store, name string) []Past {
	values := store.History(name)
	pasts := make([]Past, 0, len(values))
	for _, v := range slices.Backward(values) {
		pasts = append(pasts, pastOf(v))
	}
	slices.SortStableFunc(pasts, func(a, b Past) int { return cmp.Compare(b.Revision, a.Revision) })
	return pasts
}

func pastOf(v quorum.Value) Past {
	return Past{Versioned: v.Versioned, Operator: v.Operator, At: v.At}
}
