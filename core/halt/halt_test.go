package halt_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cardamomspool/core/halt"
)

var check = halt.Check{Interval: time.Second, Failures: 2}

func TestPhases(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name string
		host halt.Host
		want halt.Phases
	}{
		{"3 s", halt.Host{Time: 3 * time.Second, Check: check}, halt.Phases{1350 * ms, 2550 * ms, 2700 * ms, 2850 * ms}},
		{"6 s", halt.Host{Time: 6 * time.Second, Check: check}, halt.Phases{2500 * ms, 5100 * ms, 5400 * ms, 5700 * ms}},
		{"10 s", halt.Host{Time: 10 * time.Second, Check: check}, halt.Phases{2500 * ms, 8500 * ms, 9000 * ms, 9500 * ms}},
		{"30 s", halt.Host{Time: 30 * time.Second, Check: check}, halt.Phases{2500 * ms, 28500 * ms, 29000 * ms, 29500 * ms}},
		{
			"drain as set",
			halt.Host{Time: 10 * time.Second, Drain: 7 * time.Second, Grace: time.Minute},
			halt.Phases{7000 * ms, 8500 * ms, 9000 * ms, 9500 * ms},
		},
		{
			"time not known",
			halt.Host{Drain: 2 * time.Second, Grace: 4 * time.Second},
			halt.Phases{2000 * ms, 5800 * ms, 6000 * ms, 6000 * ms},
		},
		{
			"time not known, check known",
			halt.Host{Drain: 2 * time.Second, Grace: time.Minute, Check: check},
			halt.Phases{2500 * ms, 62000 * ms, 62500 * ms, 62500 * ms},
		},
		{"no time at all", halt.Host{}, halt.Phases{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			gomega.NewWithT(t).Expect(c.host.Phases()).To(gomega.Equal(c.want))
		})
	}
}

// For any settings the phases come in order, the reserve is less than a sixth of the time,
// and a drain that is derived leaves half of the time to open calls.
func TestPhasesComeInOrder(t *testing.T) {
	duration := func(t *rapid.T, least, most time.Duration, label string) time.Duration {
		return time.Duration(rapid.Int64Range(int64(least), int64(most)).Draw(t, label))
	}
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		h := halt.Host{Drain: duration(t, 0, time.Minute, "drain"), Grace: duration(t, 0, time.Minute, "grace")}
		if rapid.Bool().Draw(t, "time is known") {
			h.Time = duration(t, time.Second, time.Hour, "time")
		}
		if rapid.Bool().Draw(t, "check is known") {
			h.Check = halt.Check{Interval: duration(t, 1, 10*time.Second, "interval"), Failures: rapid.IntRange(1, 5).Draw(t, "failures")}
		}
		p := h.Phases()
		g.Expect(p.Drain).To(gomega.BeNumerically("<=", p.Refuse))
		g.Expect(p.Refuse).To(gomega.BeNumerically("<=", p.Cut))
		g.Expect(p.Cut).To(gomega.BeNumerically("<=", p.Exit))
		if h.Time == 0 {
			return
		}
		g.Expect(p.Exit).To(gomega.BeNumerically("<", h.Time))
		g.Expect(h.Time - p.Cut).To(gomega.BeNumerically("<", h.Time/6))
		g.Expect(p.Refuse).To(gomega.BeNumerically(">", h.Time*5/6))
		if h.Check != (halt.Check{}) {
			g.Expect(p.Drain).To(gomega.BeNumerically("<=", p.Cut/2))
		}
	})
}
