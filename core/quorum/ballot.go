package quorum

import (
	"cmp"
	"fmt"
	"maps"
	"time"

	"cardamomspool/core/spec"
)

type (
	// Incarnation identifies one life of a control host's disk. A host that
	// has lost its disk, or finds it damaged, starts another one.
	Incarnation struct {
		// Number grows with every incarnation that other hosts have heard of.
		Number uint64 `json:"number"`
		// Nonce is drawn at random; it tells apart lives with one number.
		Nonce uint64 `json:"nonce"`
	}

	// Roster maps control hosts to incarnations.
	Roster map[string]Incarnation

	// Ballot orders the attempts to change a register. No two attempts share
	// one, as a host that forgot its attempts has another incarnation.
	Ballot struct {
		// Round grows with every attempt.
		Round uint64 `json:"round"`
		// Host is the control host that proposes; it breaks ties.
		Host string `json:"host"`
		// Incarnation is that of the proposing host.
		Incarnation Incarnation `json:"incarnation"`
	}

	// Request remembers an operator's accepted change, so that a resend gets
	// the first answer again.
	Request struct {
		// ID is the identity that the operator gave the request.
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
		// Operator is who asked for the change; may be empty.
		Operator string `json:"operator,omitempty"`
		// At is when the proposing control host took the change.
		At time.Time `json:"at,omitzero"`
		// Requests are the latest accepted requests, oldest first.
		Requests []Request `json:"requests,omitempty"`
		// Version is the operators' own number of a document that is replaced
		// by version; 0 for one that is replaced by revision.
		Version uint64 `json:"version,omitempty"`
		// Next lists the control hosts of the view that follows. A value with
		// it is the last one of its view.
		Next []string `json:"next,omitempty"`
	}
)

// Compare returns -1, 0 or +1 as i is below, equal to or above other.
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

// Compare returns -1, 0 or +1 as b is below, equal to or above other.
func (b Ballot) Compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, other.Round), cmp.Compare(b.Host, other.Host), b.Incarnation.Compare(other.Incarnation))
}

// raise notes that host has been seen at incarnation i, unless a newer one is
// known.
func (r Roster) raise(host string, i Incarnation) {
	if i.Compare(r[host]) > 0 {
		r[host] = i
	}
}

// merge notes all of other.
func (r Roster) merge(other Roster) {
	for host, i := range other {
		r.raise(host, i)
	}
}

// clone returns a copy that is never nil.
func (r Roster) clone() Roster {
	c := make(Roster, len(r))
	maps.Copy(c, r)
	return c
}
