package engine

import (
	"math"
	"time"
)

type (
	// latencies holds the mean time that targets take for calls of similar aims. Calls
	// of one service may take very different times: the mean of all would have the short
	// ones refused as if they took as long as the others. The zero value is empty.
	latencies struct {
		byAim map[int]latency
	}

	// latency holds the moving averages, over n answers, of the latency and of its absolute
	// deviation from the mean.
	latency struct {
		mean, deviation time.Duration
		n               int
	}
)

const (
	// aimRatio is the ratio of two aims from which calls are told apart.
	aimRatio = 1.2
	// latencyWeight is the weight of one answer in the average.
	latencyWeight = 0.05
	// minLatencySamples is the number of answers from which an average is used.
	minLatencySamples = 10
)

// observe records that a call with an aim was answered after the time d.
func (l *latencies) observe(aim, d time.Duration) {
	if aim <= 0 {
		return
	}
	if l.byAim == nil {
		l.byAim = make(map[int]latency)
	}
	key := aimKey(aim)
	v := l.byAim[key]
	weight := max(latencyWeight, 1/float64(v.n+1))
	if v.n > 0 {
		v.deviation += time.Duration(float64((d-v.mean).Abs()-v.deviation) * weight)
	}
	v.mean += time.Duration(float64(d-v.mean) * weight)
	v.n = min(v.n+1, minLatencySamples)
	l.byAim[key] = v
}

// expect returns the time to expect for a call with an aim, or other if too few of its
// kind were answered.
func (l *latencies) expect(aim, other time.Duration) time.Duration {
	if v := l.byAim[aimKey(aim)]; aim > 0 && v.n >= minLatencySamples {
		return v.mean
	}
	return other
}

// spread returns the mean absolute deviation of the latencies of calls with an aim, or 0 if
// too few of its kind were answered.
func (l *latencies) spread(aim time.Duration) time.Duration {
	if v := l.byAim[aimKey(aim)]; aim > 0 && v.n >= minLatencySamples {
		return v.deviation
	}
	return 0
}

// aimKey returns the number of the class of aims that aim, which is above 0, falls into.
func aimKey(aim time.Duration) int {
	return int(math.Round(math.Log(float64(max(aim, time.Millisecond))/float64(time.Millisecond)) / math.Log(aimRatio)))
}
