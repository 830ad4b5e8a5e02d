package feed

import (
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/member"
	"cardamomspool/core/plan"
	"cardamomspool/core/roster"
	"cardamomspool/io/peer/peerpb"
)

// Guards against a stream that sleeps although a table has changed since it was read, against
// changes of a target that are recorded in another order than they were made, so that the
// newest state is not relayed, and against deliveries that end with older targets.
func TestStreamsGetTheNewestStateOfEachTable(t *testing.T) {
	const rounds, targets = 200, 400
	g := gomega.NewWithT(t)
	var delivered sync.Map // Target to its number of slots.
	state := NewState(OnTargets(func(_ string, records []member.Record) {
		for _, r := range records {
			delivered.Store(r.Target, r.Slots)
		}
	}))
	// Each target has one slot as another control host tells, and then two as heard here.
	report := func(i, slots int) []roster.Target {
		return []roster.Target{{
			ID: "t" + strconv.Itoa(i), Service: "s", State: member.Ready, Slots: slots, Sequence: uint64(slots), Born: time.Unix(1, 0), Heard: time.Now(),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 1000),
		}}
	}
	other := netip.MustParseAddrPort("10.0.0.1:8640")
	var group sync.WaitGroup
	for i := range targets {
		group.Go(func() { state.updateTargets(false, other, report(i, 1)) })
		group.Go(func() { state.updateTargets(true, netip.AddrPort{}, report(i, 2)) })
	}
	for _, change := range []func(i int){
		func(i int) { state.SetView(View{Epoch: uint64(i)}) },
		func(i int) { state.SetPlan(&plan.Plan{Version: uint64(i)}) },
		func(i int) { state.SetEvacuation(uint64(i), []string{strconv.Itoa(i)}) },
		func(i int) { state.SetCurrent(i%2 == 0) },
		func(int) { state.Expire(time.Now()) },
	} {
		group.Go(func() {
			for i := range rounds {
				change(i + 1)
			}
		})
	}
	out := newUpdateStream(state, &peerpb.FollowRequest{FetchesPlan: true}, time.Now())
	slots := make(map[string]uint32)
	isNewest := func(u *peerpb.FleetUpdate) bool {
		for _, m := range u.GetTargets() {
			slots[m.GetId()] = m.GetSlots()
		}
		for _, n := range slots {
			if n != 2 {
				return false
			}
		}
		return len(slots) == targets && out.epoch == rounds && out.evacuation == rounds && u.GetPlanVersion() == rounds && u.GetCurrent()
	}
	for {
		u, wake, _ := out.next(time.Now())
		if isNewest(u) {
			break
		}
		select {
		case <-wake.changed:
		case <-time.After(waitTime):
			t.Fatalf("the stream was not woken: %d targets, epoch %d, evacuation %d, plan %d", len(slots), out.epoch, out.evacuation, u.GetPlanVersion())
		}
	}
	group.Wait()
	g.Eventually(func() bool {
		newest := true
		delivered.Range(func(_, n any) bool {
			newest = newest && n == 2
			return newest
		})
		return newest
	}, waitTime).Should(gomega.BeTrue(), "the last delivery has the newest targets")
}
