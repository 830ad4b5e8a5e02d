package admit

import "time"

// EstimateWait estimates how long a call waits until the calls ahead of it and
// itself have left the queue, with inFlight calls at the targets that take mean
// each. It returns 0 when inFlight or mean is 0.
//
// Slots are freed at a rate of inFlight/mean by Little's law. The estimate holds
// from the start of a surge, when a rate measured over past answers would still
// reflect the idle time before. Source: J. D. C. Little, "A Proof for the
// Queuing Formula L = lambda W", Operations Research 9(3), 1961.
func EstimateWait(ahead, inFlight int, mean time.Duration) time.Duration {
	if inFlight <= 0 || mean <= 0 {
		return 0
	}
	return time.Duration(float64(ahead+1) * float64(mean) / float64(inFlight))
}
