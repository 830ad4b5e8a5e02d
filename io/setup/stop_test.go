package setup_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/strict"
	"cardamomspool/io/setup"
)

func TestStopTimeIsBounded(t *testing.T) {
	for stopTime, faulty := range map[time.Duration]bool{
		0: false, time.Second: false, time.Hour: false, -time.Second: true, 999 * time.Millisecond: true, time.Hour + 1: true,
	} {
		g := gomega.NewWithT(t)
		c := setup.DefaultControl()
		c.StopTime = strict.Duration(stopTime)
		err := c.Validate().Err() // The other settings are missing.
		g.Expect(err).To(gomega.HaveOccurred())
		g.Expect(strings.Contains(err.Error(), "stop_time")).To(gomega.Equal(faulty), err.Error())
	}
}

// Earlier builds refuse fields that they do not know.
func TestUnknownSettingsOfStopsAreNotWritten(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, v := range []any{setup.DefaultEntry(), setup.DefaultControl()} {
		data, err := json.Marshal(v)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(data)).NotTo(gomega.Or(gomega.ContainSubstring("stop_time"), gomega.ContainSubstring("balancer_check")))
	}
}

func TestDrainMustLeaveTimeForOpenCalls(t *testing.T) {
	const second = strict.Duration(time.Second)
	for _, c := range []struct {
		name  string
		stop  strict.Duration
		drain strict.Duration
		check setup.BalancerCheck
		fault string // Empty for none.
	}{
		{"default drain in a short stop", 5 * second, 5 * second, setup.BalancerCheck{}, "drain_delay: is 5s, which leaves nothing for open calls: with a stop_time of 5s it must be below 4.25s"},
		{"just below", 5 * second, 4249 * second / 1000, setup.BalancerCheck{}, ""},
		{"time not known", 0, 5 * second, setup.BalancerCheck{}, ""},
		{"derived", 3 * second, 5 * second, setup.BalancerCheck{Interval: second, Failures: 2}, ""},
		{"no failures", 3 * second, 0, setup.BalancerCheck{Interval: second}, "balancer_check: has interval 1s and failures 0"},
		{"no interval", 3 * second, 0, setup.BalancerCheck{Failures: 2}, "balancer_check: has interval 0s and failures 2"},
		{"long interval", 3 * second, 0, setup.BalancerCheck{Interval: 61 * second, Failures: 2}, "balancer_check.interval"},
		{"many failures", 3 * second, 0, setup.BalancerCheck{Interval: second, Failures: 101}, "balancer_check.failures"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := setup.DefaultEntry()
			s.StopTime, s.DrainDelay, s.BalancerCheck = c.stop, c.drain, c.check
			text := s.Validate().Err().Error() // The other settings are missing.
			if c.fault == "" {
				g.Expect(text).NotTo(gomega.Or(gomega.ContainSubstring("drain_delay"), gomega.ContainSubstring("balancer_check")))
				return
			}
			g.Expect(text).To(gomega.ContainSubstring(c.fault))
		})
	}
}

func TestPhasesOfStopOfControlHost(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		stop, grace       time.Duration
		refuse, cut, exit time.Duration
	}{
		{3 * second, 2 * second, 2550 * time.Millisecond, 2700 * time.Millisecond, 2850 * time.Millisecond},
		{6 * second, 30 * second, 5100 * time.Millisecond, 5400 * time.Millisecond, 5700 * time.Millisecond},
		{10 * second, 30 * second, 8500 * time.Millisecond, 9 * second, 9500 * time.Millisecond},
		{30 * second, 30 * second, 28500 * time.Millisecond, 29 * second, 29500 * time.Millisecond},
		{0, 2 * second, 1900 * time.Millisecond, 2 * second, 3 * second},
		{0, 200 * time.Millisecond, 190 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond},
	} {
		g := gomega.NewWithT(t)
		s := setup.DefaultControl()
		s.StopTime, s.StopGrace = strict.Duration(c.stop), strict.Duration(c.grace)
		p := s.Phases()
		g.Expect([]time.Duration{p.Drain, p.Refuse, p.Cut, p.Exit}).To(gomega.Equal([]time.Duration{0, c.refuse, c.cut, c.exit}), "stop time %v, grace %v", c.stop, c.grace)
	}
}
