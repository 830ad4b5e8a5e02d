package reach

import (
	"net/netip"
	"time"
)

type (
	// Links holds the states of the links of one host, by the address of the target.
	// Use NewLinks.
	Links struct {
		lost map[netip.AddrPort]*lostLink
		// heardAt is when any target was last heard.
		heardAt time.Time
		// cutAt is when the host was found to be cut off; zero if it is not.
		cutAt time.Time
		// cutChecks are the states of the checks of links that are lost only because
		// the host is cut off.
		cutChecks map[netip.AddrPort]*check
	}

	// Way says how a call may be sent over the host's own link to a target.
	Way struct {
		// Dial says that a connection may be opened for the call.
		Dial bool
		// HeardAfter is the time after which an open connection must have been heard
		// from to be used; zero for any.
		HeardAfter time.Time
	}

	// lostLink is the state of a link that is lost.
	lostLink struct {
		at      time.Time
		refused bool // New connections are refused; open ones may work.
		check   check
	}

	// check says when a lost link is checked next.
	check struct {
		next  time.Time
		delay time.Duration
	}
)

const (
	// cutLinks is the number of links that are lost, with no target heard since,
	// from which the host counts as cut off.
	cutLinks = 2
	// The delay between two checks of a lost link grows from minCheckDelay to
	// maxCheckDelay. A check is an attempt to open a connection.
	minCheckDelay = 250 * time.Millisecond
	maxCheckDelay = time.Second
	// maxLinks bounds the number of lost links that are kept, as targets leave for
	// good while their links are lost.
	maxLinks = 4096
)

// NewLinks returns links that are all sound.
func NewLinks() *Links {
	return &Links{lost: make(map[netip.AddrPort]*lostLink), cutChecks: make(map[netip.AddrPort]*check)}
}

// Heard records that the target at address was heard at the given time: it answered, or
// its host opened a connection. Its link is sound unless it was lost later, and the host
// is not cut off.
func (l *Links) Heard(address netip.AddrPort, at time.Time) {
	if at.After(l.heardAt) {
		l.heardAt = at
	}
	if at.After(l.cutAt) {
		l.cutAt = time.Time{}
		clear(l.cutChecks)
	}
	if lost, ok := l.lost[address]; ok && at.After(lost.at) && !lost.refused {
		delete(l.lost, address)
	}
}

// Opened records that a connection to the target at address was opened at the given
// time, which also ends the loss of a link that refuses connections.
func (l *Links) Opened(address netip.AddrPort, at time.Time) {
	if lost, ok := l.lost[address]; ok && at.After(lost.at) {
		delete(l.lost, address)
	}
	l.Heard(address, at)
}

// Lose records at now that a connection to the target at address could not be opened, or
// that an open one is silent and no other can be opened. refused says that the connection
// was refused at once, rather than not answered. The targets that were heard last before
// the given number of lost links do not show that the host is connected.
func (l *Links) Lose(address netip.AddrPort, refused bool, now time.Time) {
	lost, ok := l.lost[address]
	if !ok {
		if len(l.lost) >= maxLinks {
			clear(l.lost)
		}
		l.lost[address] = &lostLink{at: now, refused: refused, check: newCheck(now)}
	} else if lost.refused && !refused {
		lost.at, lost.refused = now, false
	}
	if l.cutAt.IsZero() && l.lostUnheard() >= cutLinks {
		l.cutAt = now
	}
}

// lostUnheard returns the number of links that were lost since a target was last heard.
func (l *Links) lostUnheard() int {
	n := 0
	for _, lost := range l.lost {
		if lost.at.After(l.heardAt) {
			n++
		}
	}
	return n
}

// Way returns how a call may be sent over the link to the target at address.
func (l *Links) Way(address netip.AddrPort) Way {
	lost, ok := l.lost[address]
	switch {
	case ok && !lost.refused:
		return Way{HeardAfter: lost.at}
	case !l.cutAt.IsZero():
		return Way{HeardAfter: l.cutAt}
	case ok:
		return Way{}
	}
	return Way{Dial: true}
}

// Lost reports whether the link to the target at address is lost, by itself or because
// the host is cut off.
func (l *Links) Lost(address netip.AddrPort) bool {
	_, ok := l.lost[address]
	return ok || !l.cutAt.IsZero()
}

// CutOff reports whether the host is cut off from all targets.
func (l *Links) CutOff() bool {
	return !l.cutAt.IsZero()
}

// ClaimCheck reports whether the link to the target at address, which is lost, is to be
// checked now. The next check is then due after a delay.
func (l *Links) ClaimCheck(address netip.AddrPort, now time.Time) bool {
	var c *check
	if lost, ok := l.lost[address]; ok {
		c = &lost.check
	} else if l.cutAt.IsZero() {
		return false
	} else if c, ok = l.cutChecks[address]; !ok {
		c = &check{}
		l.cutChecks[address] = c
	}
	if now.Before(c.next) {
		return false
	}
	*c = check{next: now.Add(max(c.delay, minCheckDelay)), delay: min(max(2*c.delay, minCheckDelay), maxCheckDelay)}
	return true
}

// AppendLost appends the addresses of the targets whose links are lost by themselves to dst
// and returns it.
func (l *Links) AppendLost(dst []netip.AddrPort) []netip.AddrPort {
	for address := range l.lost {
		dst = append(dst, address)
	}
	return dst
}

// newCheck returns the state of a link that was lost at now.
func newCheck(now time.Time) check {
	return check{next: now.Add(minCheckDelay), delay: 2 * minCheckDelay}
}
