package peer

import (
	"context"
	"math/rand/v2"
	"time"
)

// Keep calls connect again and again, with jittered and doubling pauses, until
// ctx ends or wanted reports false. connect returns when its connection has
// ended and reports whether there was one; the pauses then begin anew.
func Keep(ctx context.Context, wanted, connect func() bool) {
	pause := firstPause
	for ctx.Err() == nil && wanted() {
		if connect() {
			pause = firstPause
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + rand.N(pause)):
		}
		pause = min(2*pause, longestRetry)
	}
}
