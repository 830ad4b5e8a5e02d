package quota

import "math"

const (
	// soleCallRate is the number of calls in a window that a host which decides alone gets
	// tokens for at least. It is below 1, so that no window has two calls of a bucket of one.
	soleCallRate = 0.98
	// aloneOvershoot is the part of what the bound allows beyond the quota that hosts which
	// decide alone may use. The rest is for calls from before, and for those that take
	// different times from their decisions to their targets.
	aloneOvershoot = 0.75
	// maxTerms is the largest number of calls for which expectedCalls is exact.
	maxTerms = 32
)

// bound returns the largest number of calls of an account in a window.
func (c *Config) bound(rate, burst float64) float64 {
	return (rate*c.Window.Seconds()+burst)*(1+c.Overshoot) + c.Slack
}

// alone returns the rate, in tokens a second, and the capacity of the bucket of a host that
// decides alone as one of n. The capacities of all hosts together are the burst and
// aloneOvershoot of what the bound allows beyond the quota: with the burst only, calls within
// the quota that reach one host soon after each other were refused without need. Each host
// admits one call in a window at least, since fewer would have accounts with few calls
// refused at most hosts.
func (c *Config) alone(rate, burst, n float64) (perSecond, capacity float64) {
	window := c.Window.Seconds()
	beyond := c.bound(rate, burst) - rate*window - burst
	return max(rate, soleCallRate*n/window) / n, max((burst+aloneOvershoot*beyond)/n, 1)
}

// callsAlone returns the largest number of calls in a window of a host that decides alone as
// one of n.
func (c *Config) callsAlone(rate, burst, n float64) float64 {
	perSecond, capacity := c.alone(rate, burst, n)
	return math.Floor(capacity + perSecond*c.Window.Seconds())
}

// expectedCalls returns the expected number of calls that a host admits which is asked at random
// times, mean times in a window, and admits up to limit: the mean of a Poisson variate of which
// no more than limit counts.
func expectedCalls(mean, limit float64) float64 {
	if limit > maxTerms {
		return min(mean, limit)
	}
	term := math.Exp(-mean)
	below, sum := term, 0.0
	for k := 1.0; k <= limit; k++ {
		sum += 1 - below
		term *= mean / k
		below += term
	}
	return sum
}
