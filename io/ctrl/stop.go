package ctrl

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"

	"cardamomspool/core/halt"
	"cardamomspool/io/drain"
)

// stop refuses new streams, answers the open requests, brings the followers up to date and
// ends the host's part in the consensus protocol, as described at Run. begin is the time of
// the signal. Changes that have found no majority are refused before the cut.
func (h *Host) stop(begin time.Time, p halt.Phases, peers *grpc.Server, endFollowers func(), servers ...*drain.Server) {
	ctx, cancel := context.WithDeadline(context.Background(), begin.Add(p.Cut))
	defer cancel()
	refuse := time.AfterFunc(time.Until(begin.Add(p.Refuse)), h.stopVoting)
	defer refuse.Stop()
	var group, streams sync.WaitGroup
	streams.Go(peers.GracefulStop)
	for _, s := range servers {
		group.Go(func() {
			// An error says that requests are open, which are then cut off.
			_ = s.Shutdown(ctx)
		})
	}
	group.Wait()
	h.requests.cutOff(time.Now())
	for _, s := range servers {
		s.Close()
	}
	endFollowers()
	h.stopVoting()
	// Hosts that do not read, as their process is frozen, fetch what they miss from another
	// control host.
	forceStop := time.AfterFunc(min(time.Until(begin.Add(p.Exit)), peerStopGrace), peers.Stop)
	streams.Wait()
	forceStop.Stop()
}

// waitingChanges returns the number of changes and reads that wait for a majority.
func (h *Host) waitingChanges() int {
	h.stepMu.Lock()
	defer h.stepMu.Unlock()
	return len(h.waiting)
}
