package feed_test

import (
	"fmt"
	"log/slog"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"cardamomspool/core/member"
	"cardamomspool/core/plan"
	"cardamomspool/core/roster"
	"cardamomspool/io/feed"
)

// targetIn returns a ready target of service "s" in a data centre.
func targetIn(id, dataCentre string) roster.Target {
	t := target(id, 1, member.Ready)
	t.DataCentre = dataCentre
	t.Address = netip.MustParseAddrPort("127.0.0.1:" + strconv.Itoa(len(id)*1000+int(id[len(id)-1])))
	return t
}

// names returns a function that returns the names of the targets of service "s".
func names(state *feed.State) func() []string {
	return func() []string {
		list := []string{}
		for _, r := range state.Records("s") {
			list = append(list, r.Target)
		}
		return list
	}
}

var _ = ginkgo.Describe("The evacuated data centres", func() {
	// Guards against a scheduler that still gets targets of an evacuated data centre, and
	// against an old control host that brings a withdrawn order back.
	ginkgo.It("are left out of records, by the list of the highest revision", func() {
		var (
			mu        sync.Mutex
			delivered []string
		)
		out := gbytes.NewBuffer()
		state := feed.NewState(feed.WithLogger(slog.New(slog.NewTextHandler(out, nil))), feed.OnTargets(func(_ string, records []member.Record) {
			mu.Lock()
			defer mu.Unlock()
			delivered = nil
			for _, r := range records {
				delivered = append(delivered, r.Target)
			}
		}))
		last := func() []string {
			mu.Lock()
			defer mu.Unlock()
			return delivered
		}
		state.UpdateTargets(true, targetIn("t-1", "buda"), targetIn("t-2", "pest"))
		gomega.Expect(state.SetEvacuation(4, []string{"buda"})).To(gomega.BeTrue())
		gomega.Expect(out).To(gbytes.Say("evacuation in force.*revision=4.*buda"))
		gomega.Expect(last()).To(gomega.Equal([]string{"t-2"}))
		gomega.Expect(state.SetEvacuation(3, nil)).To(gomega.BeFalse())
		gomega.Expect(names(state)()).To(gomega.Equal([]string{"t-2"}))
		gomega.Expect(state.Targets()).To(gomega.HaveLen(2), "the targets stay known")
		state.UpdateTargets(true, targetIn("t-3", "buda"))
		gomega.Eventually(func() bool { _, known := state.Target("t-3"); return known }, time.Second).Should(gomega.BeTrue())
		gomega.Expect(names(state)()).To(gomega.Equal([]string{"t-2"}))
		gomega.Expect(state.SetEvacuation(5, nil)).To(gomega.BeTrue())
		gomega.Expect(out).To(gbytes.Say("evacuation withdrawn.*revision=5.*buda"))
		gomega.Expect(last()).To(gomega.Equal([]string{"t-1", "t-2", "t-3"}))
		gomega.Expect(state.SetEvacuation(4, []string{"buda"})).To(gomega.BeFalse(), "a withdrawn order stays withdrawn")
	})

	// Guards against a follower that missed the withdrawal, as when it was cut off, and
	// follows a control host that has started since.
	ginkgo.It("reach followers, also when the list has become empty", func() {
		s := newControls(2)
		s[0].SetEvacuation(7, []string{"buda"})
		s[1].SetEvacuation(6, nil)
		state := feed.NewState()
		follow(state, s[0].address, s[1].address)
		evacuated := func() string { revision, list := state.Evacuation(); return fmt.Sprint(revision, list) }
		gomega.Eventually(evacuated, waitTimeout).Should(gomega.Equal("7 [buda]"))
		s[0].stop()
		s[1].SetEvacuation(8, nil)
		gomega.Eventually(evacuated, waitTimeout).Should(gomega.Equal("8 []"))
	})

	// Guards against calls that are decided without an order that was acknowledged just
	// before all hosts lost power: the only host that has it does not know yet whether a
	// majority does.
	ginkgo.It("are known before the plan counts as confirmed", func() {
		s := newControls(3)
		view := feed.View{Epoch: 1}
		for _, v := range s {
			view.Members = append(view.Members, feed.Member{Host: v.address.Addr()})
		}
		for _, v := range s {
			v.SetView(view)
			v.SetPlan(&plan.Plan{Version: 1})
		}
		s[2].stop() // The majority is that of the other two.
		s[1].SetUnsettled(true)
		state := feed.NewState()
		f := follow(state, s[0].address)
		gomega.Eventually(f.Streams, waitTimeout).Should(gomega.Equal(2))
		gomega.Consistently(f.Confirmed(), 500*time.Millisecond).ShouldNot(gomega.BeClosed())
		s[1].SetEvacuation(2, []string{"buda"})
		s[1].SetUnsettled(false)
		gomega.Eventually(f.Confirmed(), waitTimeout).Should(gomega.BeClosed())
		gomega.Expect(state.IsEvacuated("buda")).To(gomega.BeTrue())
	})
})

var _ = ginkgo.Describe("A target that becomes cold again", func() {
	// Guards against followers that send a cold target calls at full rate: the change is
	// neither streamed, nor sent to a follower that holds the target by its digest.
	ginkgo.It("is streamed, also to a host that follows again", func() {
		s := newControls(2)
		s[0].UpdateTargets(true, target("t", 1, member.Ready))
		state := feed.NewState()
		follow(state, s[0].address, s[1].address)
		warmAt := func() time.Time {
			if list := state.Records("s"); len(list) == 1 {
				return list[0].WarmAt
			}
			return time.Unix(0, 0)
		}
		gomega.Eventually(warmAt, waitTimeout).Should(gomega.BeZero())
		cold := target("t", 2, member.Ready)
		cold.WarmAt = time.Now().Add(20 * time.Second)
		s[0].UpdateTargets(true, cold)
		gomega.Eventually(warmAt, waitTimeout).Should(gomega.BeTemporally("~", cold.WarmAt, time.Second))
		s[0].stop()
		colder := target("t", 3, member.Ready)
		colder.WarmAt = time.Now().Add(40 * time.Second)
		s[1].UpdateTargets(true, colder)
		gomega.Eventually(warmAt, waitTimeout).Should(gomega.BeTemporally("~", colder.WarmAt, time.Second))
	})
})
