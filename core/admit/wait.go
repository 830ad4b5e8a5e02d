package admit

import "time"

// Wait estimates how long a call waits until ahead calls and itself have left
// the queue, when inFlight calls are running and each takes mean. It returns
// 0 when nothing is known: without calls in flight or without a mean.
//
// The rate at which slots come free is inFlight/mean by Little's law, which
// holds from the first moment of a surge, when the rate of past answers still
// tells of the idle time before. Source: J. D. C. Little, "A Proof for the
// Queuing Formula L = lambda W", Operations Research 9(3), 1961.
func Wait(ahead, inFlight int, mean time.Duration) time.Duration {
	if inFlight <= 0 || mean <= 0 {
		return 0
	}
	return time.Duration(float64(ahead+1) * float64(mean) / float64(inFlight))
}
