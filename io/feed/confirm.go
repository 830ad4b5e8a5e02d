package feed

import (
	"context"
	"net/netip"
	"time"

	"cardamomspool/core/keys"
	"cardamomspool/io/peer/peerpb"
)

// Confirm asks the voting hosts that this host follows, and for which wanted returns true,
// which plan they have accepted. It does not block: answered is called for each answer that
// arrives within timeout, by several goroutines. wanted must not call methods of f.
func (f *Follower) Confirm(ctx context.Context, timeout time.Duration, wanted func(host netip.Addr) bool, answered func(host netip.Addr, a keys.Answer)) {
	view := f.state.View()
	f.mu.Lock()
	defer f.mu.Unlock()
	for address, client := range f.clients {
		if !view.Has(address.Addr()) || !wanted(address.Addr()) {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			reply, err := client.Confirm(ctx, &peerpb.ConfirmRequest{Host: f.self.Host})
			if err != nil {
				f.state.log.Debug("plan not confirmed", "address", address.String(), "error", err)
				return
			}
			answered(address.Addr(), keys.Answer{Epoch: reply.GetEpoch(), Version: reply.GetPlanVersion(), Ended: reply.GetEnded()})
		}()
	}
}

// Outdated reports whether a control host has announced a newer plan than the one in
// force.
func (f *Follower) Outdated() bool {
	held := f.state.planVersion()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.streams {
		if s.newestPlan > held {
			return true
		}
	}
	return false
}
