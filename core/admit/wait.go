package admit

import "time"

// EstimateWait estimates how long a call with ahead calls before it in the queue
// waits to leave the queue, while inFlight calls are at the targets and take mean
// on average. It returns 0 when inFlight or mean is 0 or less.
//
// By Little's law, calls end, and so free their slots, at a rate of inFlight/mean.
// The estimate holds from the start of a surge, when a rate measured over past
// answers would still reflect the idle time before. Source: J. D. C. Little, "A
// Proof for the Queuing Formula L = lambda W", Operations Research 9(3), 1961.
func EstimateWait(ahead, inFlight int, mean time.Duration) time.Duration {
	if inFlight <= 0 || mean <= 0 {
		return 0
	}
	return time.Duration(float64(ahead+1) * float64(mean) / float64(inFlight))
}
