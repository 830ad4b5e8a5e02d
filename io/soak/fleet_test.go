package soak

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a fleet that handles calls or orders wrongly over the loss of a host, of a disk
// and of power. Its calls are too few for a cold target to get more than it takes, so that this
// does not depend on the load of the machine; runs by hand have more.
func TestFleetSoak(t *testing.T) {
	system, _ := programs(t)
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	events := []Event{
		{At: time.Second, Victim: "control-1", Fault: LoseDisk{}},
		{At: 2 * time.Second, Victim: "entry-1", Fault: Freeze{For: fleetKeyLease}},
		{At: 3 * time.Second, Victim: "control-2", Fault: Kill{}},
		{At: 5 * time.Second, Victim: "entry-2", Fault: Stop{}},
		{At: 8 * time.Second, Victim: "control-1", Fault: PowerLoss{}},
	}
	report, err := NewFleet(system, t.TempDir(), WithEvents(events), WithCalls(900), WithPause(150*time.Millisecond)).Run(ctx)
	g.Expect(err).NotTo(gomega.HaveOccurred(), "%+v", report)
	g.Expect(report.Events).To(gomega.Equal(len(events)))
	g.Expect(report.Answered).To(gomega.BeNumerically(">", 900/4))
	g.Expect(report.Orders).To(gomega.BeNumerically(">", 0))
	g.Expect(report.Forbidden).To(gomega.BeNumerically(">", 0))
	t.Logf("by status %v; at most %d calls of the limited account in %s, %d at a cold target in a second", report.ByStatus, report.WorstQuota, quotaWindow, report.WorstCold)
}

// Guards against a replacement by the same version that loses calls.
func TestHostsAreReplacedWithoutALostCall(t *testing.T) {
	system, _ := programs(t)
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	report, err := NewUpgrade(system, system, t.TempDir(), WithSize(1, 2, 2), WithPause(150*time.Millisecond)).Run(ctx)
	g.Expect(err).NotTo(gomega.HaveOccurred(), "%+v", report)
	g.Expect(report.ByStatus[http.StatusOK]).To(gomega.BeNumerically(">", 0))
	t.Logf("by status %v", report.ByStatus)
}

// TestFleetChecksDetectEachFault checks a run in which each check finds one fault, beside calls
// that are right.
func TestFleetChecksDetectEachFault(t *testing.T) {
	g := gomega.NewWithT(t)
	begin := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return begin.Add(time.Duration(seconds * float64(time.Second))) }
	touched, frozen := &process{name: "entry-1"}, &process{name: "entry-2", outages: []interval{{begin: at(5), end: at(7)}}}
	near, far := &fleetTarget{name: "near"}, &fleetTarget{name: "far", dataCentre: evacuatedDataCentre, cold: []interval{{begin: at(60), end: at(63)}}}
	f := NewFleet("", "")
	f.servers = []*fleetTarget{near, far}
	f.changes = []change{{sent: at(0), acknowledged: at(1)}, {sent: at(20), acknowledged: at(21)}}
	f.orders = []change{{sent: at(0), acknowledged: at(1)}, {sent: at(9), acknowledged: at(10)}}
	add := func(server *fleetTarget, id string, entry *process, seconds float64, status int, key callKey) {
		f.callRecords = append(f.callRecords, callRecord{id: id, entry: entry, key: key, begin: at(seconds), end: at(seconds + 0.1), status: status, intact: true, outcome: fleetOutcome(&http.Response{StatusCode: status})})
		if server != nil {
			server.arrivals = append(server.arrivals, arrivalRecord{id: id, at: at(seconds), sighting: sighting{account: key.account}})
		}
	}
	steady, changing := callKey{account: steadyAccount, valid: true}, callKey{text: changingKey(0), account: changingAccount}
	add(far, "before the order binds", touched, 5.9, http.StatusOK, steady)
	add(far, "evacuated", touched, 6.1, http.StatusOK, steady)
	add(far, "from a frozen host", frozen, 6.1, http.StatusOK, steady)
	add(far, "after the withdrawal was sent", touched, 9.1, http.StatusOK, steady)
	add(nil, "just added", touched, 1.5, http.StatusUnauthorized, changing)
	add(nil, "in force", touched, 3, http.StatusUnauthorized, changing)
	add(nil, "withdrawn", touched, 20.1, http.StatusUnauthorized, changing)
	add(nil, "not found", touched, 3, http.StatusNotFound, steady)
	for i := range 87 {
		add(near, "limited", touched, 30+float64(i)*0.05, http.StatusOK, callKey{account: limitedAccount, valid: true})
	}
	for range 15 {
		add(far, "cold", touched, 62.5, http.StatusOK, callKey{account: steadyAccount, valid: true})
	}
	for range 15 {
		add(far, "warm", touched, 63.5, http.StatusOK, callKey{account: steadyAccount, valid: true})
	}
	for i := range f.callRecords {
		f.callRecords[i].idempotent = true // The calls of a loop have one name.
	}
	f.lost = []string{"a plan"}
	r := f.report()
	g.Expect([]int{r.Evacuated, r.ValidRefused, r.NotFound, r.LostChanges, r.WorstQuota, r.WorstCold}).To(gomega.Equal([]int{1, 1, 1, 1, 87, 15}), "%v", r.Faults)
	g.Expect(r.Faults).To(gomega.HaveLen(6), "%v", r.Faults)
}
