package route_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/route"
)

// loseProbes makes the first n targets of a table lose their probes.
func loseProbes(table *route.Table, n int, now time.Time) {
	for range 5 {
		for i := range n {
			table.ApplyProbe("t"+strconv.Itoa(i), route.Probe{Result: route.ProbeLost}, now)
		}
	}
}

// Some targets have gone dark and the others are full, as in a surge after a crash. The
// calls must wait for the others: each attempt at a dark target takes the time in which
// a slot would have been free.
func TestDarkTargetsGetNoCallsWhileOthersAreFull(t *testing.T) {
	g := gomega.NewWithT(t)
	const targets, dark, slots = 10, 3, 2
	rng, table := newRand(), newTable(targets)
	loseProbes(table, dark, start)
	q := route.Query{Slots: slots, Now: start, Host: 1}
	for range (targets - dark) * slots {
		pick, ok := table.Choose(route.Fastest{}, q, rng)
		g.Expect(ok).To(gomega.BeTrue())
		table.Begin(pick.Name, start)
	}
	_, ok := table.Choose(route.Fastest{}, q, rng)
	g.Expect(ok).To(gomega.BeFalse())
}

// A host that can't hear most targets must not send all calls to the few others.
func TestTargetsAreUsedWhenMostSeemDark(t *testing.T) {
	g := gomega.NewWithT(t)
	const targets, dark = 10, 8
	rng, table := newRand(), newTable(targets)
	loseProbes(table, dark, start)
	q := route.Query{Slots: 1, Now: start, Host: 1}
	for range targets {
		pick, ok := table.Choose(route.Fastest{}, q, rng)
		g.Expect(ok).To(gomega.BeTrue())
		table.Begin(pick.Name, start)
	}
}
