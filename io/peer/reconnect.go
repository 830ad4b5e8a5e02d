package peer

import (
	"context"
	"math/rand/v2"
	"time"
)

// Reconnect calls connect repeatedly, with jittered exponential backoff, until
// ctx ends or wanted returns false. connect must return when its connection has
// ended and report whether the connection was established; if so, the backoff
// starts again from minReconnectDelay.
func Reconnect(ctx context.Context, wanted, connect func() bool) {
	delay := minReconnectDelay
	for ctx.Err() == nil && wanted() {
		if connect() {
			delay = minReconnectDelay
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay/2 + rand.N(delay)):
		}
		delay = min(2*delay, maxRetryDelay)
	}
}
