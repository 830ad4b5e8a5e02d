package feed

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/member"
	"cardamomspool/core/roster"
	"cardamomspool/io/peer/peerpb"
)

// slowFollower is a stream whose updates take until free is closed.
type slowFollower struct {
	countingFollower
	sending, free chan struct{}
}

func (f *slowFollower) Send(u *peerpb.FleetUpdate) error {
	select {
	case f.sending <- struct{}{}:
	default:
	}
	<-f.free
	return f.countingFollower.Send(u)
}

// A target becomes known while an update is on its way, and the server stops. Its heartbeat
// was acknowledged, and no other host may have it.
func TestStoppingServerSendsItsLastChanges(t *testing.T) {
	const rounds = 50
	for i := range rounds {
		g := gomega.NewWithT(t)
		stop, cancel := context.WithCancel(context.Background())
		state := NewState()
		server := NewServer(stop, state, nil)
		f := &slowFollower{countingFollower: countingFollower{ctx: context.Background()}, sending: make(chan struct{}, 1), free: make(chan struct{})}
		ended := make(chan error, 1)
		go func() {
			ended <- server.Follow(&peerpb.FollowRequest{Host: "h", Entry: "10.0.0.1:7000", FetchesPlan: true}, f)
		}()
		g.Eventually(f.sending, waitTime).Should(gomega.Receive())
		state.UpdateTargets(true, roster.Target{
			ID: "t" + strconv.Itoa(i), Service: "s", State: member.Ready, Sequence: 1, Slots: 1, Born: time.Unix(1, 0), Heard: time.Now(),
		})
		cancel()
		close(f.free)
		g.Eventually(ended, waitTime).Should(gomega.Receive(gomega.HaveOccurred()))
		g.Expect(f.targets.Load()).To(gomega.BeEquivalentTo(1), "round %d", i)
	}
}
