package quorum

import (
	"maps"
	"slices"
)

type (
	// Register is what one control host must keep of its votes on one
	// document.
	Register struct {
		// Name is the name of the service.
		Name string `json:"name"`
		// Promised is the ballot below which nothing is accepted.
		Promised Ballot `json:"promised"`
		// Accepted is the ballot of Value.
		Accepted Ballot `json:"accepted"`
		// Value is the newest accepted value.
		Value Value `json:"value"`
	}

	// Learnt is what one control host knows to be agreed on one document.
	Learnt struct {
		// Chosen is the newest value known to be held by a majority.
		Chosen Value `json:"chosen"`
		// History holds the latest chosen values that this host has learnt,
		// oldest first, Chosen included, without their requests.
		History []Value `json:"history,omitempty"`
	}

	// Acceptor holds the registers of one control host and what it has
	// learnt. The zero value holds none.
	Acceptor struct {
		registers map[string]*Register
		learnt    map[string]*Learnt
	}
)

// MaxHistory is the number of past values kept per document.
const MaxHistory = 16

// Restore puts back a register that was read from disk.
func (a *Acceptor) Restore(r Register) {
	*a.register(r.Name) = r
}

// RestoreLearnt puts back a learnt value that was read from disk.
func (a *Acceptor) RestoreLearnt(l Learnt) {
	*a.known(l.Chosen.Name) = l
}

// Prepare promises to accept nothing below b for the document called name.
// When it reports true, the caller must sync the register before it replies.
func (a *Acceptor) Prepare(name string, b Ballot) (bool, Register) {
	r := a.register(name)
	if b.Compare(r.Promised) <= 0 {
		return false, *r
	}
	r.Promised = b
	return true, *r
}

// Accept stores v under ballot b unless a higher ballot was promised. When it
// reports true, the caller must sync the register before it replies.
func (a *Acceptor) Accept(b Ballot, v Value) (bool, Register) {
	r := a.register(v.Name)
	if b.Compare(r.Promised) < 0 {
		return false, *r
	}
	r.Promised, r.Accepted, r.Value = b, b, v
	return true, *r
}

// Learn takes in a value that a majority holds. It reports whether the value
// is newer than all learnt before; the caller must then sync what it returns.
func (a *Acceptor) Learn(v Value) (bool, Learnt) {
	if held := a.Learnt(v.Name); v.Revision <= held.Chosen.Revision {
		return false, held
	}
	l := a.known(v.Name)
	l.Chosen = v
	if v.Version > 0 || len(v.Next) > 0 {
		return true, *l // The operators number these documents themselves and keep their past.
	}
	past := v
	past.Requests = nil
	l.History = append(slices.Clone(l.History), past)
	if extra := len(l.History) - MaxHistory; extra > 0 {
		l.History = l.History[extra:]
	}
	return true, *l
}

// Chosen appends the newest chosen value of every document to dst and returns
// it, by name.
func (a *Acceptor) Chosen(dst []Value) []Value {
	for _, name := range slices.Sorted(maps.Keys(a.learnt)) {
		if v := a.learnt[name].Chosen; v.Revision > 0 {
			dst = append(dst, v)
		}
	}
	return dst
}

// Registers appends all registers to dst and returns it, by name.
func (a *Acceptor) Registers(dst []Register) []Register {
	for _, name := range slices.Sorted(maps.Keys(a.registers)) {
		dst = append(dst, *a.registers[name])
	}
	return dst
}

// Register returns the votes on the document called name.
func (a *Acceptor) Register(name string) Register {
	if r, ok := a.registers[name]; ok {
		return *r
	}
	return Register{Name: name}
}

// Learnt returns what is known of the document called name.
func (a *Acceptor) Learnt(name string) Learnt {
	if l, ok := a.learnt[name]; ok {
		return *l
	}
	return Learnt{}
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

func (a *Acceptor) known(name string) *Learnt {
	if a.learnt == nil {
		a.learnt = make(map[string]*Learnt)
	}
	l, ok := a.learnt[name]
	if !ok {
		l = &Learnt{}
		a.learnt[name] = l
	}
	return l
}
