package feed

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/plan"
	"cardamomspool/io/peer/peerpb"
)

var (
	firstControl  = netip.MustParseAddrPort("127.0.0.1:1")
	secondControl = netip.MustParseAddrPort("127.0.0.1:2")
)

// newAccountServer returns a server that has run for long enough to count entry hosts,
// with a plan of the given accounts and two entry hosts that follow.
func newAccountServer(list ...plan.Account) *Server {
	s := NewServer(context.Background(), NewState(), nil)
	s.started = time.Now().Add(-time.Minute)
	s.state.SetPlan(&plan.Plan{Version: 1, Accounts: list})
	s.addEntry(netip.MustParseAddrPort("127.0.0.3:1"), "")
	s.addEntry(netip.MustParseAddrPort("127.0.0.4:1"), "")
	return s
}

// nextUpdate returns the next update of a stream to an entry host and whether quotas have
// changed in it.
func nextUpdate(s *Server, out *updateStream) (*peerpb.FleetUpdate, bool) {
	u := &peerpb.FleetUpdate{}
	changed := s.addAccounts(u, out, time.Now())
	return u, changed
}

// Guards against bytes that deployments without accounts did not have before.
func TestUpdatesWithoutAccountsSayNothingOfQuotas(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newAccountServer()
	s.state.SetLimited([]string{"a"})
	u, changed := nextUpdate(s, &updateStream{})
	g.Expect(changed).To(gomega.BeFalse())
	g.Expect(u.GetEntryHosts()).To(gomega.BeZero())
	g.Expect(u.GetLimitedAccounts()).To(gomega.BeNil())
}

func TestLimitedAccountsAreSentWhenTheyChange(t *testing.T) {
	g := gomega.NewWithT(t)
	s, out := newAccountServer(plan.Account{Name: "a", Rate: 1}), &updateStream{}
	s.state.SetLimited([]string{"a"})
	u, changed := nextUpdate(s, out)
	g.Expect(changed).To(gomega.BeTrue())
	g.Expect(u.GetEntryHosts()).To(gomega.BeEquivalentTo(2))
	g.Expect(u.GetLimitedAccounts().GetAccounts()).To(gomega.Equal([]string{"a"}))
	s.state.SetLimited([]string{"a"})
	u, changed = nextUpdate(s, out)
	g.Expect(changed).To(gomega.BeFalse())
	g.Expect(u.GetLimitedAccounts()).To(gomega.BeNil())
	s.state.SetLimited(nil)
	u, _ = nextUpdate(s, out)
	g.Expect(u.LimitedAccounts).NotTo(gomega.BeNil(), "an empty list is a change")
}

// Guards against hosts that take too large a part of a quota because others have been cut
// off, or have not come back yet after a loss of power.
func TestLostEntryHostsAreCountedForAWhile(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newAccountServer()
	address := netip.MustParseAddrPort("127.0.0.5:1")
	s.addEntry(address, "")()
	count := func(now time.Time) [2]int {
		following, lost := s.EntryHosts(now)
		return [2]int{following, lost}
	}
	g.Expect(count(time.Now())).To(gomega.Equal([2]int{2, 1}))
	s.addEntry(address, "")
	g.Expect(count(time.Now())).To(gomega.Equal([2]int{3, 0}))
	s.addEntry(address, "")()
	g.Expect(count(time.Now())).To(gomega.Equal([2]int{3, 0}), "it has another stream")
	s.addEntry(netip.MustParseAddrPort("127.0.0.6:1"), "")()
	g.Expect(count(time.Now().Add(lostEntryTime + time.Second))).To(gomega.Equal([2]int{3, 0}))
	s.started = time.Now()
	g.Expect(count(time.Now())).To(gomega.Equal([2]int{0, 0}), "not known yet")
}

// Guards against an entry host that forgets which accounts are over their quotas as it
// loses the control hosts, and against one that believes a lost control host for ever.
func TestReportsOfControlHostsAreMerged(t *testing.T) {
	g := gomega.NewWithT(t)
	var (
		a       accounts
		entries int
		limited []string
	)
	a.onAccounts = func(n int, list []string) { entries, limited = n, list }
	now := time.Now()
	report := func(from netip.AddrPort, n uint32, names ...string) {
		a.merge(from, &peerpb.FleetUpdate{EntryHosts: n, LimitedAccounts: &peerpb.LimitedAccounts{Accounts: names}}, now)
	}
	a.merge(firstControl, &peerpb.FleetUpdate{}, now)
	g.Expect(a.reports).To(gomega.BeEmpty(), "a fleet without accounts")
	report(firstControl, 119, "b", "a")
	report(secondControl, 3, "c", "a")
	g.Expect(entries).To(gomega.Equal(119))
	g.Expect(limited).To(gomega.Equal([]string{"a", "b", "c"}))
	now = now.Add(time.Minute)
	g.Expect(limited).To(gomega.HaveLen(3), "all control hosts are lost")
	a.merge(secondControl, &peerpb.FleetUpdate{EntryHosts: 118}, now)
	g.Expect(entries).To(gomega.Equal(118))
	g.Expect(limited).To(gomega.Equal([]string{"a", "c"}), "the first one is lost")
	a.merge(secondControl, &peerpb.FleetUpdate{}, now)
	g.Expect(entries).To(gomega.Equal(118), "an unknown number does not replace a known one")
}
