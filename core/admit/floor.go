package admit

import "time"

// Floor guarantees the calls of an account, a class or a rank a part of the share of all
// calls that is served. Every call, once it is served or refused, earns floorPart of that
// share as credit, and every one that is served uses 1. Calls that wait earn nothing, so
// that a queue alone, without refusals, makes nothing owed. The zero value has no credit.
//
// Service beyond what minCredit counts is remembered as lead, which is paid off before credit
// is earned again, and fades with time.
type Floor struct {
	credit float64
	lead   float64
	leadAt time.Time // When lead was last brought up to date.
}

const (
	// floorPart is the part of the share of all calls that is guaranteed. The requirement
	// is a quarter; the rest covers accounts with few calls and the delay of Share.
	floorPart = 0.34
	// maxCredit and minCredit limit the credit, so that neither a long starvation nor
	// good service of long ago decides what is owed now. A call is owed from owedCredit on,
	// that is, when it is nearer to the guarantee to serve it than not to.
	maxCredit  = 2
	owedCredit = 0.5
	minCredit  = -2
	// maxLead limits lead, and leadMemory is the time in which it is lost. Without
	// it, an account whose burst had just taken all free slots was owed calls as soon as the
	// next ones were refused, and the others waited behind these for the first second.
	maxLead    = 8
	leadMemory = 500 * time.Millisecond
)

// Earn counts a call that was served or refused at now while the given share of all calls is
// served.
func (f *Floor) Earn(share float64, now time.Time) {
	earned := floorPart * share
	if f.lead > 0 {
		f.fadeLead(now)
		paid := min(f.lead, earned)
		f.lead -= paid
		earned -= paid
	}
	f.credit = min(f.credit+earned, maxCredit)
}

// Serve counts a call that is served at now.
func (f *Floor) Serve(now time.Time) {
	f.credit--
	if beyond := minCredit - f.credit; beyond > 0 {
		f.fadeLead(now)
		f.lead, f.credit = min(f.lead+beyond, maxLead), minCredit
	}
}

// Return takes back the Serve of a call that was not served after all.
func (f *Floor) Return() {
	paid := min(f.lead, 1)
	f.lead -= paid
	f.credit = min(f.credit+1-paid, maxCredit)
}

// fadeLead brings lead up to now.
func (f *Floor) fadeLead(now time.Time) {
	if d := now.Sub(f.leadAt); f.lead > 0 && d > 0 {
		f.lead *= max(1-float64(d)/float64(leadMemory), 0)
	}
	f.leadAt = now
}

// Owes reports whether the next call must be served for the guarantee to hold.
func (f *Floor) Owes() bool {
	return f.credit >= owedCredit
}

// Share is the moving average of the share of the calls that are served. The zero value
// stands for all calls.
type Share struct {
	missed float64
}

// shareWeight is the weight of one call in a Share. With 1/256, small accounts waited some
// 100 ms in the first second of another's burst, which was guaranteed a part of the share
// from before it.
const shareWeight = 1.0 / 64

// Observe counts a call that was served or refused.
func (s *Share) Observe(served bool) {
	missed := 1.0
	if served {
		missed = 0
	}
	s.missed += (missed - s.missed) * shareWeight
}

// Value returns the share, from 0 to 1.
func (s *Share) Value() float64 {
	return 1 - s.missed
}
