package quorum

import (
	"maps"
	"slices"
)

type (
	// Register is the acceptor state of one control host for one document. It
	// is synced to disk before a reply that depends on it is sent.
	Register struct {
		// Name is the name of the document.
		Name string `json:"name"`
		// Promised is the highest ballot promised; lower ballots are rejected.
		Promised Ballot `json:"promised"`
		// Accepted is the ballot under which Value was accepted.
		Accepted Ballot `json:"accepted"`
		// Value is the newest accepted value.
		Value Value `json:"value"`
	}

	// Learnt is the learner state of one control host for one document.
	Learnt struct {
		// Chosen is the newest value known to be accepted by a majority.
		Chosen Value `json:"chosen"`
		// History holds the latest chosen values that this host has learnt,
		// including Chosen, oldest first, without their requests. Values with a
		// version or a next view are left out.
		History []Value `json:"history,omitempty"`
	}

	// Acceptor holds the registers and the learnt values of one control host.
	// The zero value is empty.
	Acceptor struct {
		registers map[string]*Register
		learnt    map[string]*Learnt
	}
)

// MaxHistory is the maximum number of values in Learnt.History.
const MaxHistory = 16

// Restore sets a register to the state that was read from disk.
func (a *Acceptor) Restore(r Register) {
	*a.registerEntry(r.Name) = r
}

// RestoreLearnt sets the learner state of a document that was read from disk.
func (a *Acceptor) RestoreLearnt(l Learnt) {
	*a.learntEntry(l.Chosen.Name) = l
}

// Prepare promises to reject ballots below b for the document called name. It
// returns false and the register unchanged if b is not above the promised
// ballot. If it returns true, the caller must sync the register before it
// replies.
func (a *Acceptor) Prepare(name string, b Ballot) (bool, Register) {
	r := a.registerEntry(name)
	if b.Compare(r.Promised) <= 0 {
		return false, *r
	}
	r.Promised = b
	return true, *r
}

// Accept stores v under ballot b. It returns false and the register unchanged if
// a higher ballot was promised. If it returns true, the caller must sync the
// register before it replies.
func (a *Acceptor) Accept(b Ballot, v Value) (bool, Register) {
	r := a.registerEntry(v.Name)
	if b.Compare(r.Promised) < 0 {
		return false, *r
	}
	r.Promised, r.Accepted, r.Value = b, b, v
	return true, *r
}

// Learn records a value that a majority has accepted. It returns false and the
// learner state unchanged unless the revision of v is higher than the one learnt
// before. If it returns true, the caller must sync the learner state.
func (a *Acceptor) Learn(v Value) (bool, Learnt) {
	if known := a.Learnt(v.Name); v.Revision <= known.Chosen.Revision {
		return false, known
	}
	l := a.learntEntry(v.Name)
	l.Chosen = v
	if v.Version > 0 || len(v.Next) > 0 {
		return true, *l // Operators number such values themselves and keep their history.
	}
	entry := v
	entry.Requests = nil
	l.History = append(slices.Clone(l.History), entry)
	if extra := len(l.History) - MaxHistory; extra > 0 {
		l.History = l.History[extra:]
	}
	return true, *l
}

// Chosen appends the newest chosen value of every document to dst, sorted by
// name, and returns it.
func (a *Acceptor) Chosen(dst []Value) []Value {
	for _, name := range slices.Sorted(maps.Keys(a.learnt)) {
		if v := a.learnt[name].Chosen; v.Revision > 0 {
			dst = append(dst, v)
		}
	}
	return dst
}

// Registers appends all registers to dst, sorted by name, and returns it.
func (a *Acceptor) Registers(dst []Register) []Register {
	for _, name := range slices.Sorted(maps.Keys(a.registers)) {
		dst = append(dst, *a.registers[name])
	}
	return dst
}

// Register returns the register of the document called name, empty if there is
// none.
func (a *Acceptor) Register(name string) Register {
	if r, ok := a.registers[name]; ok {
		return *r
	}
	return Register{Name: name}
}

// Learnt returns the learner state of the document called name, empty if there
// is none.
func (a *Acceptor) Learnt(name string) Learnt {
	if l, ok := a.learnt[name]; ok {
		return *l
	}
	return Learnt{}
}

// registerEntry returns the register of the document called name, which it adds
// if missing.
func (a *Acceptor) registerEntry(name string) *Register {
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

// learntEntry returns the learner state of the document called name, which it
// adds if missing.
func (a *Acceptor) learntEntry(name string) *Learnt {
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
