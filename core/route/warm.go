package route

import (
	"math/rand/v2"
	"time"
)

// hostConns is what is known of the idle connections of one host to one target.
type hostConns struct {
	host   uint64
	idle   int
	freeAt time.Duration // When a connection was last returned.
}

const (
	// warmTime is how long an idle connection is expected to stay open. Targets close
	// theirs after ten seconds or more.
	warmTime = 8 * time.Second
	// maxWarmHosts bounds the hosts that are remembered for one target.
	maxWarmHosts = 32
	// exploreOneIn is the share of choices that ignore idle connections. Targets that are
	// new, or have closed their connections after a failure, would otherwise get no calls
	// that show how they serve.
	exploreOneIn = 8
)

// TakeConn records that a host sends a call to the target called name, over an idle
// connection if it has one. It does nothing when the table does not have the target.
func (t *Table) TakeConn(name string, host uint64) {
	if i, ok := t.index[name]; ok {
		if c := t.states[i].connsOf(host); c != nil && c.idle > 0 {
			c.idle--
		}
	}
}

// ReturnConn records that a call has left a host with an idle connection to the target
// called name. It does nothing when the table does not have the target.
func (t *Table) ReturnConn(name string, host uint64, now time.Time) {
	i, ok := t.index[name]
	if !ok {
		return
	}
	s, at := &t.states[i], t.offset(now)
	c := s.connsOf(host)
	if c == nil {
		c = s.addConns(host)
	}
	if at-c.freeAt > warmTime {
		c.idle = 0
	}
	c.idle++
	c.freeAt = at
}

// connsOf returns what is known of the connections of a host, or nil.
func (s *targetState) connsOf(host uint64) *hostConns {
	for k := range s.conns {
		if s.conns[k].host == host {
			return &s.conns[k]
		}
	}
	return nil
}

// addConns returns an entry for a host that has none, in place of the one that was not
// used for longest if there are maxWarmHosts.
func (s *targetState) addConns(host uint64) *hostConns {
	if len(s.conns) < maxWarmHosts {
		s.conns = append(s.conns, hostConns{host: host})
		return &s.conns[len(s.conns)-1]
	}
	oldest := &s.conns[0]
	for k := range s.conns {
		if s.conns[k].freeAt < oldest.freeAt {
			oldest = &s.conns[k]
		}
	}
	*oldest = hostConns{host: host}
	return oldest
}

// isWarm reports whether a host probably has an idle connection to the target.
func (s *targetState) isWarm(host uint64, at time.Duration) bool {
	c := s.connsOf(host)
	return c != nil && c.idle > 0 && at-c.freeAt <= warmTime
}

// preferWarm keeps of the given rows, which are about equally good, those to which the
// host has an idle connection, if there are any. A new connection costs the call a round
// trip and the target work. It keeps all rows for this host itself, which has few targets
// or decides for a moment only, and for one choice in exploreOneIn. preferWarm changes rows
// and returns a part of it.
func (t *Table) preferWarm(rows []int, host uint64, at time.Duration, rng *rand.Rand) []int {
	if host == 0 || len(rows) < 2 || rng.IntN(exploreOneIn) == 0 {
		return rows
	}
	n := 0
	for k, i := range rows {
		if t.states[i].isWarm(host, at) {
			rows[n], rows[k] = i, rows[n]
			n++
		}
	}
	if n == 0 {
		return rows
	}
	return rows[:n]
}
