package feed

import (
	"context"
	"log/slog"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"cardamomspool/core/crash"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
)

const (
	// minSharedTargets is the number of targets with which a call was lost from which all of
	// its reports are sent to followers. Most calls that are lost with a target are so once.
	minSharedTargets = 2
	// lostCallsTimeout bounds the time for which a control host is told of lost calls,
	// and lostCallsAttempts how often that is tried. One that is out of touch for longer
	// is told when it is followed again.
	lostCallsTimeout  = 500 * time.Millisecond
	lostCallsAttempts = 4
)

// Crashes returns the table of calls that were at targets as these ended.
func (s *State) Crashes() *crash.Table {
	return s.crashes
}

// MergeLostCalls merges reports into a table at now, logs those on blocked calls and reports
// whether any were new.
func MergeLostCalls(table *crash.Table, reports []crash.Report, now time.Time, log *slog.Logger) bool {
	blocked, changed := table.Merge(reports, now)
	for _, r := range blocked {
		log.Info("call blocked", "content", crash.Name(r.Content), "caller", crash.Name(r.Caller), "targets", table.Targets(r.ID))
	}
	return changed
}

// addLostCalls merges reports that arrived at now, and wakes all streams if they are new.
func (s *State) addLostCalls(reports []crash.Report, now time.Time) {
	if !MergeLostCalls(s.crashes, reports, now, s.log) {
		return
	}
	s.waker.notifyUrgent()
}

// LostCalls merges the reports of an entry host, which are streamed to all followers.
func (s *Server) LostCalls(_ context.Context, r *peerpb.LostCallsRequest) (*peerpb.LostCallsReply, error) {
	now := time.Now()
	s.state.addLostCalls(peer.ToLostCalls(r.GetCalls(), now), now)
	return &peerpb.LostCallsReply{}, nil
}

// SendLostCalls reports lost calls to all control hosts that are followed. It does not
// block.
func (f *Follower) SendLostCalls(ctx context.Context, reports []crash.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, client := range f.clients {
		go f.sendLostCalls(ctx, client, reports)
	}
}

// sendAllLostCalls reports the calls that were lost with several targets, as far as known
// here, to a control host that may have started just now.
func (f *Follower) sendAllLostCalls(ctx context.Context, client peerpb.FleetClient) {
	if reports, _ := f.state.crashes.AppendChanged(nil, 0, minSharedTargets); len(reports) > 0 {
		f.sendLostCalls(ctx, client, reports)
	}
}

// sendLostCalls reports lost calls to one control host.
func (f *Follower) sendLostCalls(ctx context.Context, client peerpb.FleetClient, reports []crash.Report) {
	for range lostCallsAttempts {
		err := sendLostCalls(ctx, client, f.self.Host, reports)
		if err == nil || ctx.Err() != nil {
			return
		}
		f.state.log.Info("lost calls not reported", "calls", len(reports), "error", err)
		if status.Code(err) == codes.Unimplemented {
			return // A control host of an earlier version.
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(lostCallsTimeout):
		}
	}
}

func sendLostCalls(ctx context.Context, client peerpb.FleetClient, host string, reports []crash.Report) error {
	ctx, cancel := context.WithTimeout(ctx, lostCallsTimeout)
	defer cancel()
	_, err := client.LostCalls(ctx, &peerpb.LostCallsRequest{Host: host, Calls: peer.FromLostCalls(reports, time.Now())})
	return err
}
