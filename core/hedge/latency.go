package hedge

import (
	"math"
	"time"
)

type (
	// Latencies holds quantiles of the latencies of calls, by class. The zero value is
	// empty.
	Latencies struct {
		classes map[int]*latency
	}

	// latency holds the quantiles of one class.
	latency struct {
		usual   quantile
		late    quantile
		samples int
		// missed is the moving average of the share of attempts that take longer than the
		// aim of their call, over outcomes attempts.
		missed   float64
		outcomes int
	}

	// quantile estimates one quantile of a distribution: the value that a share p of the
	// samples does not exceed. log is the natural logarithm of the estimate in
	// nanoseconds.
	quantile struct {
		log float64
	}
)

const (
	// UsualShare is the share of calls that Usual covers.
	UsualShare = 0.75
	// LateShare is the share of calls that Late covers.
	LateShare = 0.95
	// minSamples is the number of answers from which the quantiles of a class are used:
	// a 95th percentile needs some 20 samples to have one beyond it.
	minSamples = 20
	// The first steps of an estimate are firstStep divided by the number of samples, down
	// to minStep, each on a logarithmic scale. With minStep, 14 answers in a row above the
	// 95th percentile double the estimate.
	firstStep = 2.0
	minStep   = 0.05
	// maxClasses bounds the number of classes; samples of others are left out.
	maxClasses = 64
	// missedSamples is the number of attempts over which missed is averaged: at a share of
	// 3 in 100 its standard deviation is then 0.6 in 100.
	missedSamples = 400
	// minTail is the smallest difference of the logarithms of Usual and Late that Missing
	// uses, about 2 in 100. The estimates may meet while they move.
	minTail = 0.02
)

// Observe records that a call of a class was answered after the time d.
func (l *Latencies) Observe(class int, d time.Duration) {
	if d <= 0 {
		return
	}
	x := math.Log(float64(d))
	v := l.classes[class]
	if v == nil {
		if len(l.classes) >= maxClasses {
			return
		}
		if l.classes == nil {
			l.classes = make(map[int]*latency)
		}
		v = &latency{usual: quantile{x}, late: quantile{x}}
		l.classes[class] = v
	}
	v.samples++
	step := v.step()
	v.usual.observe(x, UsualShare, step)
	v.late.observe(x, LateShare, step)
}

// ObserveAtLeast records that an attempt of a call of a class would have taken d or more:
// it was cancelled then. A quantile of at most d counts it as a longer sample. A quantile
// above d learns nothing, since the attempt could have ended on either side of it.
func (l *Latencies) ObserveAtLeast(class int, d time.Duration) {
	v := l.classes[class]
	if v == nil || d <= 0 {
		return
	}
	x, step := math.Log(float64(d)), v.step()
	if x >= v.usual.log {
		v.usual.observe(math.Inf(1), UsualShare, step)
	}
	if x >= v.late.log {
		v.late.observe(math.Inf(1), LateShare, step)
	}
}

// Usual returns the latency that UsualShare of the calls of a class do not exceed. It
// reports false when too few calls were answered.
func (l *Latencies) Usual(class int) (time.Duration, bool) {
	v := l.classes[class]
	if v == nil || v.samples < minSamples {
		return 0, false
	}
	return v.usual.value(), true
}

// Late returns the latency that LateShare of the calls of a class do not exceed, and at
// least Usual. It reports false when too few calls were answered.
func (l *Latencies) Late(class int) (time.Duration, bool) {
	v := l.classes[class]
	if v == nil || v.samples < minSamples {
		return 0, false
	}
	return max(v.late.value(), v.usual.value()), true
}

// CountAim records with which probability an attempt of a call of a class takes longer than
// the aim of the call: 0 or 1 if it was answered, and Missing if it was cancelled before.
func (l *Latencies) CountAim(class int, missed float64) {
	v := l.classes[class]
	if v == nil {
		return
	}
	v.outcomes = min(v.outcomes+1, missedSamples)
	v.missed += (missed - v.missed) / float64(v.outcomes)
}

// Missing returns the probability that an attempt of a call of a class, which has run for
// the time elapsed without an answer, takes longer than the aim of the call: the share of
// attempts that do, divided by the share that takes longer than elapsed. The latter is that
// of a Pareto distribution with the values of Usual and Late.
func (l *Latencies) Missing(class int, elapsed time.Duration) float64 {
	v := l.classes[class]
	if v == nil || v.samples < minSamples || elapsed <= 0 {
		return 0
	}
	usual, late := v.usual.log, max(v.late.log, v.usual.log+minTail)
	beyond := (math.Log(float64(elapsed)) - usual) / (late - usual)
	left := (1 - UsualShare) * math.Pow((1-LateShare)/(1-UsualShare), beyond)
	return min(v.missed/min(left, 1), 1)
}

// step returns the step of the next sample.
func (v *latency) step() float64 {
	return max(firstStep/float64(max(v.samples, 1)), minStep)
}

// observe moves the estimate of the quantile with the share p by a sample, whose logarithm
// is x: up by p steps, or down by 1-p. The two balance where a share p of the samples lies
// below.
func (q *quantile) observe(x, p, step float64) {
	if x > q.log {
		q.log += step * p
		return
	}
	q.log -= step * (1 - p)
}

// value returns the estimate.
func (q *quantile) value() time.Duration {
	return time.Duration(math.Exp(q.log))
}
