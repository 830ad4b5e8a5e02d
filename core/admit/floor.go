package admit

// Floor guarantees the calls of an account, a class or a rank a part of the share of all
// calls that is served. Every call, once it is served or refused, earns floorPart of that
// share as credit, and every one that is served uses 1. Calls that wait earn nothing, so
// that a queue alone, without refusals, makes nothing owed. The zero value has no credit.
type Floor struct {
	credit float64
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
)

// Earn counts a call that was served or refused while the given share of all calls is
// served.
func (f *Floor) Earn(share float64) {
	f.credit = min(f.credit+floorPart*share, maxCredit)
}

// Serve counts a call that is served.
func (f *Floor) Serve() {
	f.credit = max(f.credit-1, minCredit)
}

// Return takes back the Serve of a call that was not served after all.
func (f *Floor) Return() {
	f.credit = min(f.credit+1, maxCredit)
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
