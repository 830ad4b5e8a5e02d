package links

import (
	"context"
	"time"

	"cardamomspool/core/reach"
)

const (
	// The list of carriers is renewed every carriersInterval, and when a link is lost,
	// but not within minCarriersInterval of the last time.
	carriersInterval    = 15 * time.Second
	minCarriersInterval = time.Second
)

// ListCarriers renews the list of carriers, which entries returns, until ctx ends. It calls
// listed with each new list.
func (l *Links) ListCarriers(ctx context.Context, entries func(context.Context) ([]reach.Carrier, error), listed func([]reach.Carrier)) {
	for {
		interval := carriersInterval
		if list, err := entries(ctx); err == nil {
			l.AddCarriers(list)
			listed(list)
		} else {
			interval = minCarriersInterval
			l.log.Debug("entry hosts not listed", "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(minCarriersInterval):
		}
		select {
		case <-ctx.Done():
			return
		case <-l.needed:
		case <-time.After(interval - minCarriersInterval):
		}
	}
}
