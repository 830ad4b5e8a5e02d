package entry

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/plan"
	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
)

// Guards against retries that count as first attempts after a start, and so take the slots
// of calls that can still be in time: the first caller heard may be one that comes back.
func TestRetriesAreKnownAfterAStart(t *testing.T) {
	g := gomega.NewWithT(t)
	p := &plan.Plan{Version: 1, Routes: []plan.Route{{Name: "r", Host: "shop.example", PathPrefix: "/a/", Timeout: strict.Duration(4 * time.Second), Aim: strict.Duration(800 * time.Millisecond)}}}
	v := &activePlan{plan: p, table: plan.NewTable(p)}
	f := new(fleet)
	retry, first := httptest.NewRequest("GET", "http://shop.example/a/1", nil), httptest.NewRequest("GET", "http://shop.example:80/a/2", nil)
	f.noteEarly(retry, 2500*time.Millisecond)
	f.noteEarly(first, 4*time.Second)
	f.noteEarly(httptest.NewRequest("GET", "http://other.example/", nil), time.Hour)
	f.learnEarly(v)
	g.Expect(f.early).To(gomega.BeEmpty())
	late, fresh := spec.Class{Aim: 800 * time.Millisecond}, spec.Class{Aim: 800 * time.Millisecond}
	v.deductElapsed(&p.Routes[0], 2500*time.Millisecond, &late)
	v.deductElapsed(&p.Routes[0], 3900*time.Millisecond, &fresh)
	g.Expect(late.Late).To(gomega.BeTrue())
	g.Expect(fresh.Late).To(gomega.BeFalse())
	g.Expect(fresh.Aim).To(gomega.Equal(700 * time.Millisecond))
}

// Guards against late calls that keep a control host busy after a loss of power, while calls
// that can still be in time wait for its decisions.
func TestFewLateCallsWaitForADecision(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newTestFleet()
	late, fresh := &call{class: spec.Class{Late: true}}, &call{}
	ends := make([]func(), 0, maxLateUndecided)
	for range maxLateUndecided {
		ends = append(ends, f.awaitTurn(t.Context(), late))
	}
	turn := make(chan func(), 1)
	go func() { turn <- f.awaitTurn(t.Context(), late) }()
	f.awaitTurn(t.Context(), fresh)()
	g.Consistently(turn, 50*time.Millisecond).ShouldNot(gomega.Receive())
	ends[0]()
	ends[0]()
	var end func()
	g.Eventually(turn, testTimeout).Should(gomega.Receive(&end))
	end()
	g.Expect(f.lateUndecided).To(gomega.HaveLen(maxLateUndecided - 1))

	ended, cancel := context.WithCancel(t.Context())
	cancel()
	f.awaitTurn(ended, late)()
	f.awaitTurn(t.Context(), late)
	f.awaitTurn(ended, late)()
	g.Expect(f.lateUndecided).To(gomega.HaveLen(maxLateUndecided))
}
