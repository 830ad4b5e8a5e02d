package pace_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/pace"
)

// A control host that probes a thousand targets 1,300 times a second falls behind as the
// whole fleet starts. The lateness grows with its work; a third of the rate fits.
func TestThrottleFindsTheRateThatFits(t *testing.T) {
	const (
		wanted, fits = 1300.0, 430.0
		step         = 10 * time.Millisecond
	)
	g := gomega.NewWithT(t)
	var (
		throttle pace.Throttle
		backlog  float64 // Probes that are due and not begun.
		now      = time.Unix(1000, 0)
		sum      float64
		count    int
	)
	for i := range 3000 {
		now = now.Add(step)
		rate := wanted * throttle.Factor()
		backlog = max(backlog+(rate-fits)*step.Seconds(), 0)
		throttle.Observe(time.Duration(backlog/fits*float64(time.Second)), now)
		if i > 1000 {
			sum += rate
			count++
		}
	}
	mean := sum / float64(count)
	t.Logf("%.0f probes a second where %.0f fit", mean, fits)
	g.Expect(mean).To(gomega.BeNumerically("<=", 1.1*fits))
	g.Expect(mean).To(gomega.BeNumerically(">=", 0.4*fits))

	for range 1000 {
		now = now.Add(step)
		throttle.Observe(time.Millisecond, now)
	}
	g.Expect(throttle.Factor()).To(gomega.Equal(1.0), "the full rate is back on an idle host")
	g.Expect(throttle.Late()).To(gomega.BeFalse())
}

func TestThrottleKeepsAPart(t *testing.T) {
	g := gomega.NewWithT(t)
	var throttle pace.Throttle
	now := time.Unix(1000, 0)
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		throttle.Observe(time.Second, now)
	}
	g.Expect(throttle.Factor()).To(gomega.BeNumerically("~", 0.06, 0.01))
	g.Expect(throttle.Late()).To(gomega.BeTrue())
}
