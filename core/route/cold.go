package route

import (
	"math"
	"slices"
	"strconv"
	"time"

	"cardamomspool/core/hash"
)

type (
	// ColdLimit limits the calls that this host sends to a cold target, one that has just
	// started or has said that it is not at its normal speed. The zero value sets no limit.
	//
	// All hosts together must stay within Bound in any second. A host that decides for
	// many has a token bucket for each target (Rate, Burst). A host that decides alone
	// sends none to a cold target while there are others. Otherwise it may send one call
	// in a second, but only in those seconds that a hash of Seed, the target and the
	// second selects with the probability Share: the hosts know nothing of each other's
	// calls, so that the sum over all of them holds by chance only.
	ColdLimit struct {
		// Rate is the number of calls a second, and Burst the number of calls that may be
		// sent at once beyond it.
		Rate, Burst float64
		// Alone says that the host decides alone. Rate and Burst then do not apply.
		Alone bool
		Share float64
		Seed  uint64
	}

	// coldState is what this host has sent to one target lately, and until when the target
	// has said, in answers to probes, that it is cold. The zero value is that of a target
	// that got no calls.
	coldState struct {
		until time.Duration
		// debt is the number of calls that are missing in the token bucket at debtAt.
		debt   float64
		debtAt time.Duration
		sentAt time.Duration // When a call was last sent; valid when sent is true.
		sent   bool
	}
)

const (
	// aloneInterval is the least time between two calls of a host that decides alone to a
	// cold target.
	aloneInterval = time.Second
	// coldBurstShare is the share of the slack that the burst of one deciding host may
	// use. Two hosts may decide for a service for a moment, or for longer when one of them
	// is cut off; they use a half, and the hosts that decide alone may use the other one.
	coldBurstShare = 0.25
	// aloneSlackShare is the share of the slack up to which the calls of the hosts that
	// decide alone are counted on, and aloneMeanShare the part of it that they use on
	// average when there are more of them. With a slack of 8, the calls of 150 hosts to a
	// target in a second then exceed their half once in 150,000 cases (Poisson
	// distribution with the mean 0.25).
	aloneSlackShare = 0.5
	aloneMeanShare  = 1.0 / 16
	// maxGrantSteps bounds the seconds in which ColdWait looks for the next grant.
	maxGrantSteps = 64
)

// NewColdLimit returns the limit of a host that decides for many, when the targets of a
// service take rate calls a second while they are cold and the bound in any second is rate
// times overshoot plus slack. A host that hears no majority of the control hosts may not be
// the only one that decides: it uses only the part of the rate by which the bound exceeds it.
// It returns no limit when rate is 0 or the settings name no bound.
func NewColdLimit(rate, overshoot, slack float64, informed bool) ColdLimit {
	if rate <= 0 || overshoot <= 0 && slack <= 0 {
		return ColdLimit{}
	}
	l := ColdLimit{Rate: rate * min(overshoot, 1), Burst: max(slack*coldBurstShare, 1)}
	if !informed {
		l.Rate = rate * min(max(overshoot-1, 0), 1)
	}
	return l
}

// Scaled returns the limit of a host that may use only the part f of l. A host whose burst is
// less than one call sends none.
func (l ColdLimit) Scaled(f float64) ColdLimit {
	l.Rate, l.Burst = l.Rate*f, l.Burst*f
	if l.Burst < 1 {
		l.Rate = 0
	}
	return l
}

// NewAloneColdLimit returns the limit of one of hosts hosts that decide alone, with a seed
// that differs from those of the others. The other arguments are those of NewColdLimit.
func NewAloneColdLimit(rate, overshoot, slack float64, hosts int, seed uint64) ColdLimit {
	if rate <= 0 || overshoot <= 0 && slack <= 0 {
		return ColdLimit{}
	}
	l := ColdLimit{Alone: true, Share: 1, Seed: seed}
	if allowed := slack * aloneSlackShare; float64(hosts) > allowed {
		l.Share = min(allowed*aloneMeanShare/float64(max(hosts, 1)), 1)
	}
	return l
}

// enabled reports whether the limit is one.
func (l *ColdLimit) enabled() bool {
	return l.Alone || l.Burst > 0
}

// SetColdLimit sets the limit for calls to cold targets; the zero value of Table has none.
func (t *Table) SetColdLimit(l ColdLimit) {
	t.cold = l
}

// ColdLimit returns the limit for calls to cold targets.
func (t *Table) ColdLimit() ColdLimit {
	return t.cold
}

// TakeBack records that a call was not sent to the target called name, for which Begin was
// called. It does nothing when the table does not have the target.
func (t *Table) TakeBack(name string) {
	if i, ok := t.index[name]; ok {
		t.states[i].cold.takeBack()
	}
}

// coldUntil returns the time until which the target of row i is cold. What it has said in
// answers to probes counts only when there is a limit for cold targets.
func (t *Table) coldUntil(i int) time.Duration {
	if !t.cold.enabled() {
		return t.warmAt[i]
	}
	return max(t.warmAt[i], t.states[i].cold.until)
}

// isCold reports whether the target of row i is cold.
func (t *Table) isCold(i int, at time.Duration) bool {
	return t.coldUntil(i) > at
}

// coldLimitReached reports whether the target of row i is cold and gets no call from this
// host now. warmReady tells whether there are ready targets that are warm.
func (t *Table) coldLimitReached(i int, at time.Duration, warmReady bool) bool {
	if !t.cold.enabled() || !t.isCold(i, at) {
		return false
	}
	c := &t.states[i].cold
	if t.cold.Alone {
		return warmReady || c.sent && at-c.sentAt < aloneInterval || !t.granted(i, at)
	}
	return c.tokens(t.cold, at) < 1
}

// warmReady reports whether a ready target that q does not exclude is warm and in use. It
// matters only to hosts that decide alone, and is false for others.
func (t *Table) warmReady(q Query, at time.Duration) bool {
	if !t.cold.Alone {
		return false
	}
	return slices.ContainsFunc(t.readyRows, func(i int) bool {
		return !t.isCold(i, at) && !t.states[i].outOfUse(at) && !slices.Contains(q.Exclude, t.names[i])
	})
}

// granted reports whether a host that decides alone may send a call to the cold target of row
// i in the second that holds the given time.
func (t *Table) granted(i int, at time.Duration) bool {
	return t.cold.Share >= 1 || t.grant(i, int64(at/aloneInterval))
}

// grant draws whether calls to the target of row i are granted in the second with the given
// number.
func (t *Table) grant(i int, second int64) bool {
	var buf [48]byte
	text := strconv.AppendInt(append(strconv.AppendUint(buf[:0], t.cold.Seed, 16), ' '), second, 10)
	x := hash.Add(hash.Add(hash.Start, t.names[i]), append(text, '\n'))
	x ^= x >> 33 // FNV mixes its last bytes poorly into the high bits.
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return float64(x) < t.cold.Share*math.MaxUint64
}

// take records that a call is sent. Calls to a target that is warm count too: it may become
// cold at any moment, and what it got in the last second then counts.
func (c *coldState) take(l ColdLimit, at time.Duration) {
	if l.Burst > 0 {
		c.debt, c.debtAt = min(l.Burst-c.tokens(l, at)+1, l.Burst), at
	}
	c.sent, c.sentAt = true, at
}

// takeBack records that a call for which take was called is not sent.
func (c *coldState) takeBack() {
	c.debt = max(c.debt-1, 0)
}

// tokens returns the number of calls that may be sent now.
func (c *coldState) tokens(l ColdLimit, at time.Duration) float64 {
	return l.Burst - max(c.debt-l.Rate*(at-c.debtAt).Seconds(), 0)
}

// ColdWait estimates how long a call waits behind ahead others until a cold target may get
// it or one is warm. It returns 0 when a ready target is warm, as the call then waits for a
// slot, or when there is no limit.
func (t *Table) ColdWait(ahead int, now time.Time) time.Duration {
	at := t.offset(now)
	if !t.cold.enabled() || len(t.readyRows) == 0 {
		return 0
	}
	warm, tokens, rate := time.Duration(math.MaxInt64), 0.0, 0.0
	next := time.Duration(math.MaxInt64)
	for _, i := range t.readyRows {
		if !t.isCold(i, at) {
			return 0
		}
		warm = min(warm, t.coldUntil(i)-at)
		c := &t.states[i].cold
		if t.cold.Alone {
			next = min(next, t.nextGrant(i, at))
			rate += t.cold.Share
			continue
		}
		tokens += math.Floor(c.tokens(t.cold, at))
		rate += t.cold.Rate
	}
	if t.cold.Alone {
		tokens = 1 // That of the next grant.
	} else {
		next = 0
	}
	missing := float64(ahead+1) - tokens
	if missing <= 0 {
		return min(next, warm)
	}
	if missing >= warm.Seconds()*rate {
		return warm
	}
	return min(max(next, time.Duration(missing/rate*float64(time.Second))), warm)
}

// nextGrant returns the time until the next second in which a call to the cold target of row
// i is granted, and that of maxGrantSteps seconds if none of them is.
func (t *Table) nextGrant(i int, at time.Duration) time.Duration {
	earliest := at
	if c := &t.states[i].cold; c.sent {
		earliest = max(earliest, c.sentAt+aloneInterval)
	}
	if t.cold.Share >= 1 {
		return earliest - at
	}
	first := int64(earliest / aloneInterval)
	for n := range int64(maxGrantSteps) {
		if t.grant(i, first+n) {
			return max(time.Duration(first+n)*aloneInterval, earliest) - at
		}
	}
	return maxGrantSteps * aloneInterval
}
