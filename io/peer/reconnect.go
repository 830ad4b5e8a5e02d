package peer

import (
	"context"
	"math/rand/v2"
	"time"
)

// eagerTime is how long Reconnect keeps the shortest delay. Hosts that start together,
// as after a loss of power, are up within that time of each other, and callers wait for
// the last one.
const eagerTime = time.Second

// Reconnect calls connect repeatedly, with jittered exponential backoff that begins after
// eagerTime, until ctx ends or wanted returns false. connect must return when its
// connection has ended and report whether the connection was established; if so, the
// backoff starts again from minReconnectDelay.
func Reconnect(ctx context.Context, wanted, connect func() bool) {
	begin, delay := time.Now(), minReconnectDelay
	for ctx.Err() == nil && wanted() {
		if connect() || time.Since(begin) < eagerTime {
			delay = minReconnectDelay
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay/2 + rand.N(delay)):
		}
		delay = min(2*delay, maxRetryDelay)
	}
}
