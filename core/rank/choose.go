package rank

import "net/netip"

// Candidate is a control host that an entry host can ask for decisions.
type Candidate struct {
	// Host is its address.
	Host netip.AddrPort
	// Informed says that it knows what the others have acknowledged.
	Informed bool
	// Late says that it does not decide in time.
	Late bool
}

// maxLate is the number of control hosts that may be late for a service until no other
// one is asked. A service that is too much for two of them is too much for the next one
// as well, which would then be late for its own services.
const maxLate = 2

// Choose returns the index of the candidate that decides for a service: the first one
// that is not late, informed ones before others, and by Score among them. It returns -1
// if there is none, or if maxLate candidates before it are late.
func Choose(service string, candidates []Candidate) int {
	best := -1
	for i, c := range candidates {
		if !c.Late && (best < 0 || before(service, c, candidates[best])) {
			best = i
		}
	}
	if best < 0 {
		return best
	}
	late := 0
	for _, c := range candidates {
		if c.Late && before(service, c, candidates[best]) {
			late++
		}
	}
	if late >= maxLate {
		return -1
	}
	return best
}

// before reports whether a comes before b in the order of a service.
func before(service string, a, b Candidate) bool {
	if a.Informed != b.Informed {
		return a.Informed
	}
	return Score(service, a.Host) > Score(service, b.Host)
}
