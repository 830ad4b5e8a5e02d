package quorum

import (
	"cmp"
	"time"

	"cardamomspool/core/spec"
)

type (
	// Ballot orders the attempts to change a register.
	Ballot struct {
		// Round grows with every attempt.
		Round uint64 `json:"round"`
		// Host is the control host that proposes; it breaks ties.
		Host string `json:"host"`
	}

	// Request remembers an operator's accepted change, so that a resend gets
	// the first answer again.
	Request struct {
		// ID is the identity that the operator gave the request.
		ID string `json:"id"`
		// Revision is the revision that the change created.
		Revision uint64 `json:"revision"`
	}

	// Value is the content of a register. The zero value is an absent
	// document at revision 0.
	Value struct {
		spec.Versioned
		// Operator is who asked for the change; may be empty.
		Operator string `json:"operator,omitempty"`
		// At is when the proposing control host took the change.
		At time.Time `json:"at,omitzero"`
		// Requests are the latest accepted requests, oldest first.
		Requests []Request `json:"requests,omitempty"`
	}

	// Register is what one control host must keep of one document.
	Register struct {
		// Name is the name of the service.
		Name string `json:"name"`
		// Promised is the ballot below which nothing is accepted.
		Promised Ballot `json:"promised"`
		// Accepted is the ballot of Value.
		Accepted Ballot `json:"accepted"`
		// Value is the newest accepted value.
		Value Value `json:"value"`
		// Chosen is the newest value known to be held by a majority.
		Chosen Value `json:"chosen"`
		// History holds the latest chosen values that this host has learnt,
		// oldest first, Chosen included, without their requests.
		History []Value `json:"history,omitempty"`
	}

	// Promise answers a Prepare.
	Promise struct {
		// OK is false when a higher ballot was promised before.
		OK bool
		// Promised is the highest ballot promised.
		Promised Ballot
		// Accepted is the ballot of Value.
		Accepted Ballot
		// Value is the newest accepted value.
		Value Value
	}

	// Acceptor holds the registers of one control host. The zero value holds
	// none.
	Acceptor struct {
		registers map[string]*Register
	}
)

// MaxHistory is the number of past values kept per document.
const MaxHistory = 16

// Compare returns -1, 0 or +1 as b is below, equal to or above other.
func (b Ballot) Compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, other.Round), cmp.Compare(b.Host, other.Host))
}

// Restore puts back a register that was read from disk.
func (a *Acceptor) Restore(r Register) {
	*a.register(r.Name) = r
}

// Prepare promises to accept nothing below b for the document called name.
// When the promise is OK, the caller must sync the register before it
// replies.
func (a *Acceptor) Prepare(name string, b Ballot) (Promise, Register) {
	r := a.register(name)
	if b.Compare(r.Promised) <= 0 {
		return Promise{Promised: r.Promised}, *r
	}
	r.Promised = b
	return Promise{OK: true, Promised: b, Accepted: r.Accepted, Value: r.Value}, *r
}

// Accept stores v under ballot b unless a higher ballot was promised. It
// reports whether v was stored; the caller must then sync the register before
// it replies.
func (a *Acceptor) Accept(b Ballot, v Value) (bool, Register) {
	r := a.register(v.Name)
	if b.Compare(r.Promised) < 0 {
		return false, *r
	}
	r.Promised, r.Accepted, r.Value = b, b, v
	return true, *r
}

// Learn takes in a value that a majority holds. It reports whether the value
// is newer than all learnt before; the caller must then sync the register.
func (a *Acceptor) Learn(v Value) (bool, Register) {
	r := a.register(v.Name)
	if v.Revision <= r.Chosen.Revision {
		return false, *r
	}
	r.Chosen = v
	past := v
	past.Requests = nil
	r.History = append(r.History, past)
	if extra := len(r.History) - MaxHistory; extra > 0 {
		r.History = r.History[extra:]
	}
	return true, *r
}

// Chosen appends the newest chosen value of every document to dst and returns
// it, in no particular order.
func (a *Acceptor) Chosen(dst []Value) []Value {
	for _, r := range a.registers {
		if r.Chosen.Revision > 0 {
			dst = append(dst, r.Chosen)
		}
	}
	return dst
}

// Register returns what is held of the document called name.
func (a *Acceptor) Register(name string) Register {
	return *a.register(name)
}

func (a *Acceptor) register(name string) *Register {
	if a.registers == nil {
		a.registers = make(map[string]*Register)
	}
	r, ok := a.registers[name]
	if !ok {
		r = &Register{Name: name}
		a.registers[name] = r
	}
	return r
}
