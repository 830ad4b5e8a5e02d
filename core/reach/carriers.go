package reach

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

type (
	// Carrier is an entry host that may carry calls for this one.
	Carrier struct {
		// Address is where it takes the calls of other entry hosts.
		Address netip.AddrPort
		// DataCentre is where it runs.
		DataCentre string
	}

	// Carriers chooses the carriers of calls. Use NewCarriers.
	Carriers struct {
		dataCentre string
		list       []Carrier
		states     map[netip.AddrPort]*carrierState
		best       []netip.AddrPort // A buffer for the equally good ones of one choice.
	}

	// Carriage says what became of a call that was offered to a carrier.
	Carriage uint8

	// carrierState is what calls have revealed about a carrier.
	carrierState struct {
		namedAt      time.Time // When a list last named it; zero if none has.
		inFlight     int
		failures     int // In a row.
		avoidedUntil time.Time
		targets      map[netip.AddrPort]sighting // Whether it reached targets, by address.
	}

	// carrierRank is the order of a carrier, by its first number first; the lowest is
	// chosen.
	carrierRank [5]int

	// sighting says whether a carrier reached a target at a time.
	sighting struct {
		reached bool
		at      time.Time
	}
)

const (
	// Carried means that the carrier reached the target.
	Carried Carriage = iota + 1
	// NotReached means that the carrier did not reach the target either.
	NotReached
	// NotTaken means that the carrier could not be reached, or carries no calls.
	NotTaken
)

const (
	// A carrier that does not carry calls is avoided for minAvoidance, and for twice as
	// long each further time, up to maxAvoidance.
	minAvoidance = 250 * time.Millisecond
	maxAvoidance = 2 * time.Second
	// carrierMemory is how long a carrier is kept after a list last named it: some
	// intervals between two lists.
	carrierMemory = time.Minute
	// sightingMemory is how long it counts whether a carrier reached a target.
	sightingMemory = time.Second
	// maxSightings bounds the targets that are kept for one carrier.
	maxSightings = 4096
)

// NewCarriers returns an empty set of carriers for a host in the given data centre.
func NewCarriers(dataCentre string) *Carriers {
	return &Carriers{dataCentre: dataCentre, states: make(map[netip.AddrPort]*carrierState)}
}

// Update adds the carriers of a list that was received at now, and removes those that no
// list has named for carrierMemory: a list may be short because the host that sent it has
// just started, or is cut off.
func (c *Carriers) Update(list []Carrier, now time.Time) {
	for _, k := range list {
		if s := c.state(k.Address); s.namedAt.IsZero() {
			s.namedAt = now
			c.list = append(c.list, k)
		} else {
			s.namedAt = now
		}
	}
	c.list = slices.DeleteFunc(c.list, func(k Carrier) bool {
		old := now.Sub(c.states[k.Address].namedAt) > carrierMemory
		if old {
			delete(c.states, k.Address)
		}
		return old
	})
}

// Len returns the number of carriers.
func (c *Carriers) Len() int {
	return len(c.list)
}

// Begin chooses a carrier that is not in tried for a call to target at now, and counts the
// call as in flight there. It takes the one with the fewest calls in flight, among these
// one that has reached the target lately, among these one in this host's data centre, and
// draws among equals. Carriers that are avoided come last, before them those that have not
// reached the target lately. It reports false when all are in tried.
func (c *Carriers) Begin(target netip.AddrPort, tried []netip.AddrPort, now time.Time, rng *rand.Rand) (netip.AddrPort, bool) {
	c.best = c.best[:0]
	var lowest carrierRank
	for _, k := range c.list {
		if slices.Contains(tried, k.Address) {
			continue
		}
		rank := c.rank(k, target, now)
		order := slices.Compare(rank[:], lowest[:])
		if len(c.best) == 0 || order < 0 {
			c.best, lowest = c.best[:0], rank
		} else if order > 0 {
			continue
		}
		c.best = append(c.best, k.Address)
	}
	if len(c.best) == 0 {
		return netip.AddrPort{}, false
	}
	address := c.best[rng.IntN(len(c.best))]
	c.state(address).inFlight++
	return address, true
}

// rank returns the order of a carrier for a call to target.
func (c *Carriers) rank(k Carrier, target netip.AddrPort, now time.Time) carrierRank {
	rank := carrierRank{3: 1}
	if s, ok := c.states[k.Address]; ok {
		if now.Before(s.avoidedUntil) {
			rank[0] = 1
		}
		if seen, known := s.targets[target]; known && now.Sub(seen.at) < sightingMemory {
			if seen.reached {
				rank[3] = 0
			} else {
				rank[1] = 1
			}
		}
		rank[2] = s.inFlight
	}
	if k.DataCentre != c.dataCentre {
		rank[4] = 1
	}
	return rank
}

// End counts a call to target as no longer in flight at the carrier at address, and
// records what became of it. A carrier that has not taken it is avoided for a time.
func (c *Carriers) End(address, target netip.AddrPort, carriage Carriage, now time.Time) {
	s := c.state(address)
	s.inFlight = max(s.inFlight-1, 0)
	if carriage == NotTaken {
		c.avoid(s, now)
		return
	}
	s.failures = 0
	if len(s.targets) >= maxSightings {
		clear(s.targets)
	}
	s.targets[target] = sighting{reached: carriage == Carried, at: now}
}

// Avoid avoids the carrier at address for a time, as it is silent.
func (c *Carriers) Avoid(address netip.AddrPort, now time.Time) {
	c.avoid(c.state(address), now)
}

// avoid implements Avoid. Failures of calls that began before the carrier was avoided
// count once.
func (c *Carriers) avoid(s *carrierState, now time.Time) {
	if now.Before(s.avoidedUntil) {
		return
	}
	s.avoidedUntil = now.Add(min(minAvoidance<<min(s.failures, 8), maxAvoidance))
	s.failures++
}

// state returns the state of the carrier at address, adding it when there is none.
func (c *Carriers) state(address netip.AddrPort) *carrierState {
	s, ok := c.states[address]
	if !ok {
		s = &carrierState{targets: make(map[netip.AddrPort]sighting)}
		c.states[address] = s
	}
	return s
}
