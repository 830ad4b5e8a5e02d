package feed

import (
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"cardamomspool/core/member"
	"cardamomspool/core/roster"
	"cardamomspool/io/peer/peerpb"
)

// listedTarget returns the i-th target of the tests of first lists.
func listedTarget(i int, state member.State) roster.Target {
	return roster.Target{
		ID: "t" + strconv.Itoa(i), Service: "s", State: state, Sequence: uint64(1 + state), Slots: 1, Born: time.Unix(1, 0), Heard: time.Now(),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, 1}), uint16(1000+i)),
	}
}

// firstUpdate returns the first update to a follower that holds the targets with the given
// digests, as it is sent and decoded.
func firstUpdate(t *testing.T, state *State, now time.Time, known ...uint64) *peerpb.FleetUpdate {
	g := gomega.NewWithT(t)
	out := newUpdateStream(state, &peerpb.FollowRequest{Known: known}, now)
	u, _, changed := out.next(now)
	g.Expect(changed).To(gomega.BeTrue())
	plain, err := proto.Marshal(u)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	embed(u, out.encoded)
	data, err := proto.Marshal(u)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	sent, want := new(peerpb.FleetUpdate), new(peerpb.FleetUpdate)
	g.Expect(proto.Unmarshal(data, sent)).To(gomega.Succeed())
	g.Expect(proto.Unmarshal(plain, want)).To(gomega.Succeed())
	g.Expect(proto.Equal(sent, want)).To(gomega.BeTrue(), "a host of an earlier version decodes the same update")
	return sent
}

// Guards against a shared first update that differs from the one that each stream encoded
// by itself: without what the follower holds, and with all that has changed.
func TestSharedFirstUpdateHoldsWhatTheFollowerLacks(t *testing.T) {
	g := gomega.NewWithT(t)
	state, now := NewState(), time.Now()
	for i := range 3 {
		state.UpdateTargets(true, listedTarget(i, member.Ready))
	}
	cold := listedTarget(3, member.Ready)
	cold.WarmAt = now.Add(time.Minute)
	state.UpdateTargets(true, cold)
	all := firstUpdate(t, state, now)
	g.Expect(all.GetTargets()).To(gomega.HaveLen(4))
	g.Expect(all.GetHeard()).To(gomega.BeEmpty())

	held := state.targets.digests()
	some := firstUpdate(t, state, now, held[0], held[3], 1)
	g.Expect(some.GetTargets()).To(gomega.HaveLen(3), "an unknown one is sent, and a cold one in any case")
	g.Expect(some.GetHeard()).To(gomega.HaveLen(1))

	cold.WarmAt, cold.Sequence = time.Time{}, cold.Sequence+1
	state.UpdateTargets(true, cold)
	later := now.Add(2 * maxFirstListAge)
	none := firstUpdate(t, state, later, held...)
	g.Expect(none.GetTargets()).To(gomega.BeEmpty())
	g.Expect(none.GetHeard()).To(gomega.HaveLen(4))
}

// Guards against a departure that a new follower does not learn from its first update,
// because that is shared with a stream that began before the departure.
func TestSharedFirstUpdateHasTheNewestDepartures(t *testing.T) {
	g := gomega.NewWithT(t)
	state, now := NewState(), time.Now()
	state.UpdateTargets(true, listedTarget(0, member.Ready), listedTarget(1, member.Ready))
	g.Expect(firstUpdate(t, state, now).GetTargets()).To(gomega.HaveLen(2))
	state.UpdateTargets(true, listedTarget(1, member.Leaving))
	states := make(map[string]uint32)
	for _, m := range firstUpdate(t, state, now).GetTargets() {
		states[m.GetId()] = m.GetState()
	}
	g.Expect(states).To(gomega.Equal(map[string]uint32{"t0": uint32(member.Ready), "t1": uint32(member.Leaving)}))
}

// Guards against leases that a shared list extends without bound: after maxFirstListAge the
// ages are computed anew. Within it one list is shared.
func TestSharedFirstUpdateIsRenewed(t *testing.T) {
	g := gomega.NewWithT(t)
	state, now := NewState(), time.Now()
	target := listedTarget(0, member.Ready)
	target.Heard = now
	state.UpdateTargets(true, target)
	list := state.firstLists.get(state, now)
	g.Expect(state.firstLists.get(state, now.Add(maxFirstListAge/2))).To(gomega.BeIdenticalTo(list))
	g.Expect(firstUpdate(t, state, now.Add(time.Second)).GetTargets()[0].GetAgeMs()).To(gomega.BeEquivalentTo(1000))
}
