package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/spec"
)

// preparedSoak returns a soak whose processes and relays are prepared, but not
// started.
func preparedSoak(t *testing.T, opts ...Option) *Soak {
	t.Helper()
	s := New("system", []string{"lab"}, t.TempDir(), opts...)
	if err := s.prepare(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, r := range s.relays {
			r.Run(t.Context()) // The context has ended, so that this closes the listener.
		}
	})
	return s
}

func TestEventsAreDeterminedBySeed(t *testing.T) {
	g := gomega.NewWithT(t)
	first := preparedSoak(t, WithSeed(5)).drawEvents(time.Minute)
	g.Expect(preparedSoak(t, WithSeed(5)).drawEvents(time.Minute)).To(gomega.Equal(first))
	g.Expect(preparedSoak(t, WithSeed(6)).drawEvents(time.Minute)).NotTo(gomega.Equal(first))
	kinds := make(map[string]int)
	for _, e := range first {
		kinds[kindOf(e.Fault)]++
	}
	g.Expect(kinds).To(gomega.HaveLen(9))
	g.Expect(kinds).NotTo(gomega.HaveKey("unknown"))
}

// TestGentleEventsSpareCalls checks that the faults of a gentle run never affect the
// relays between entry hosts and targets, and that stops and isolation from other
// hosts are the only ones that affect entry hosts and targets themselves.
func TestGentleEventsSpareCalls(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, e := range preparedSoak(t, WithSeed(5), WithGentle()).drawEvents(5 * time.Minute) {
		g.Expect(e.Victim).NotTo(gomega.HavePrefix("calls>"))
		if strings.HasPrefix(e.Victim, "control-") || strings.Contains(e.Victim, ">") {
			continue
		}
		g.Expect(kindOf(e.Fault)).To(gomega.BeElementOf("stop", "isolate"), e.Victim)
	}
}

func TestShrinkKeepsFailingEvents(t *testing.T) {
	g := gomega.NewWithT(t)
	var events []Event
	for i := range 40 {
		events = append(events, Event{At: time.Duration(i), Victim: "p", Fault: Stop{}})
	}
	run := func(_ context.Context, list []Event) (Report, error) {
		found := 0
		for _, e := range list {
			if e.At == 7 || e.At == 23 {
				found++
			}
		}
		r := Report{events: list}
		if found == 2 {
			r.Faults = []string{"broken"}
		}
		return r, r.Err()
	}
	report := Shrink(t.Context(), Report{events: events, Faults: []string{"broken"}}, run)
	g.Expect(report.events).To(gomega.ContainElements(events[7], events[23]))
	g.Expect(len(report.events)).To(gomega.BeNumerically("<=", 5))
}

// fakeControl returns a soak test with one control host, which accepts every change.
// It answers reads with the revision and queue length that read returns when it is
// given the latest accepted revision.
func fakeControl(t *testing.T, read func(revision uint64) (uint64, int)) *Soak {
	t.Helper()
	revision := uint64(0)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := reply{Confirmed: true}
		if r.Method == http.MethodPut {
			revision++
			answer.Revision = revision
		} else {
			var doc spec.Service
			answer.Revision, doc.Hold.Length = read(revision)
			answer.Body, _ = json.Marshal(doc)
		}
		json.NewEncoder(w).Encode(answer)
	}))
	t.Cleanup(server.Close)
	s := New("", nil, "")
	p := &process{kind: KindControl, name: "control-1"}
	s.controls = []*process{p}
	s.adminAddress[p] = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	return s
}

func TestOperatorDetectsLostChanges(t *testing.T) {
	for name, row := range map[string]struct {
		read func(uint64) (uint64, int)
		want int
	}{
		"none":              {func(r uint64) (uint64, int) { return r, baseQueueLength + int(r) - 1 }, 0},
		"an older revision": {func(r uint64) (uint64, int) { return r - 1, baseQueueLength + int(r) - 2 }, 1},
		"another document":  {func(r uint64) (uint64, int) { return r, 7 }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := fakeControl(t, row.read)
			g.Expect(s.operator.createService(t.Context())).To(gomega.Succeed())
			rng := rand.New(rand.NewPCG(1, 1))
			s.operator.changeUntilAccepted(t.Context(), rng, 1)
			g.Expect(s.operator.read(t.Context(), s.controls[0])).To(gomega.BeTrue())
			var report Report
			s.operator.addTo(&report)
			g.Expect(report.Changes).To(gomega.Equal(2))
			g.Expect(report.LostChanges).To(gomega.Equal(row.want), "%v", report.Faults)
		})
	}
}
