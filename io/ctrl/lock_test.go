package ctrl

import (
	"context"
	"io"
	"log/slog"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/grpc"

	"cardamomspool/core/member"
	"cardamomspool/core/plan"
	"cardamomspool/core/roster"
	"cardamomspool/core/wire"
	"cardamomspool/io/peer/peerpb"
	"cardamomspool/io/setup"
	"cardamomspool/io/telem"
)

// arrivingCalls is the stream of an entry host whose calls arrive one at a time.
type arrivingCalls struct {
	grpc.ServerStream
	services []string
}

func (s *arrivingCalls) Context() context.Context { return context.Background() }

func (s *arrivingCalls) Send(*peerpb.CallDecisions) error { return nil }

func (s *arrivingCalls) Recv() (*peerpb.CallEvents, error) {
	if len(s.services) == 0 {
		return nil, io.EOF
	}
	name := s.services[0]
	s.services = s.services[1:]
	return &peerpb.CallEvents{Events: []*peerpb.CallEvent{{
		Call: uint64(len(s.services)), Service: name,
		Event: &peerpb.CallEvent_Arrive{Arrive: &peerpb.CallArrive{LeftMs: 1000, Attempts: 1, Weight: 1}},
	}}}, nil
}

// After a loss of power the targets become known again while the first calls of each
// service arrive.
func TestFirstCallsAndTargetsDoNotBlockEachOther(t *testing.T) {
	const services, changes = 2000, 50
	g := gomega.NewWithT(t)
	f := newFleet(&Host{cfg: setup.DefaultControl(), log: slog.New(slog.DiscardHandler), metrics: telem.NewRegistry(), dialect: wire.Spool()})
	p := &plan.Plan{Version: 1}
	for i := range services {
		p.Services = append(p.Services, plan.Service{Name: "s" + strconv.Itoa(i)})
	}
	f.state.SetPlan(p)
	done := make(chan struct{}, 2)
	go func() {
		defer func() { done <- struct{}{} }()
		for start := range int64(changes) {
			for i := range services {
				f.state.UpdateTargets(true, roster.Target{
					ID: "t" + strconv.Itoa(i), Service: "s" + strconv.Itoa(i), State: member.Ready, Sequence: 1, Heard: time.Now(),
					Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+i)), Born: time.Unix(start+1, 0),
				})
			}
		}
	}()
	go func() {
		defer func() { done <- struct{}{} }()
		calls := &arrivingCalls{}
		for i := range services {
			calls.services = append(calls.services, "s"+strconv.Itoa(i))
		}
		g.Expect(f.placement.Serve(calls)).To(gomega.MatchError(io.EOF))
	}()
	for range 2 {
		g.Eventually(done, 20*time.Second).Should(gomega.Receive())
	}
}
