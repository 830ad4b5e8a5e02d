package quorum

import (
	"cmp"
	"fmt"
	"maps"
	"time"

	"cardamomspool/core/spec"
)

type (
	// Incarnation identifies the state of a control host's disk. A host that
	// has lost its disk, or finds it damaged, starts a new incarnation.
	Incarnation struct {
		// Number is 1 for the first incarnation on an empty disk. Each further
		// one is numbered one above the newest that the host knows of itself.
		Number uint64 `json:"number"`
		// Nonce distinguishes and orders incarnations with equal numbers; a
		// Node draws it at random.
		Nonce uint64 `json:"nonce"`
	}

	// Incarnations maps the names of control hosts to incarnations.
	Incarnations map[string]Incarnation

	// Ballot orders the attempts to change a register. No two attempts share
	// a ballot: a host that has lost the record of its attempts has a new
	// incarnation.
	Ballot struct {
		// Round increases with every attempt.
		Round uint64 `json:"round"`
		// Host is the proposing control host; it orders equal rounds.
		Host string `json:"host"`
		// Incarnation is the incarnation of the proposing host; it comes last in
		// the order.
		Incarnation Incarnation `json:"incarnation"`
	}

	// Request records an operator's accepted change, so that a retry gets the
	// first result again.
	Request struct {
		// ID is the request ID that the operator chose.
		ID string `json:"id"`
		// Revision is the revision that the change created.
		Revision uint64 `json:"revision"`
		// Digest is the Change.Digest of the request.
		Digest string `json:"digest,omitempty"`
	}

	// Value is the content of a register. The zero value is an absent
	// document at revision 0. A deleted document keeps its value, so that its
	// revision never goes back.
	Value struct {
		spec.Versioned
		// Operator is the operator who made the change; may be empty.
		Operator string `json:"operator,omitempty"`
		// At is when the proposing control host received the change.
		At time.Time `json:"at,omitzero"`
		// Requests are the latest accepted requests, oldest first.
		Requests []Request `json:"requests,omitempty"`
		// Version is the operators' version number, if changes of the document
		// carry one in Change.Version; 0 if changes are based on a revision.
		Version uint64 `json:"version,omitempty"`
		// Next lists the control hosts of the next view. A value with Next
		// set is the last value of its view.
		Next []string `json:"next,omitempty"`
	}
)

// Compare returns -1, 0 or +1 if i is below, equal to or above other.
func (i Incarnation) Compare(other Incarnation) int {
	return cmp.Or(cmp.Compare(i.Number, other.Number), cmp.Compare(i.Nonce, other.Nonce))
}

// String returns the incarnation as number and nonce, "" for the zero value.
func (i Incarnation) String() string {
	if i == (Incarnation{}) {
		return ""
	}
	return fmt.Sprintf("%d-%016x", i.Number, i.Nonce)
}

// Compare returns -1, 0 or +1 if b is below, equal to or above other.
func (b Ballot) Compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, other.Round), cmp.Compare(b.Host, other.Host), b.Incarnation.Compare(other.Incarnation))
}

// update records incarnation i of host, unless a newer one is known.
func (m Incarnations) update(host string, i Incarnation) {
	if i.Compare(m[host]) > 0 {
		m[host] = i
	}
}

// merge records every incarnation in other, unless m holds a newer one.
func (m Incarnations) merge(other Incarnations) {
	for host, i := range other {
		m.update(host, i)
	}
}

// clone returns a copy that is never nil.
func (m Incarnations) clone() Incarnations {
	c := make(Incarnations, len(m))
	maps.Copy(c, m)
	return c
}
