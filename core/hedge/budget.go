package hedge

import (
	"time"

	"cardamomspool/core/admit"
)

// Budget limits the extra attempts in a sliding window to Share times the calls in it. At
// every extra attempt, those in the window that ends with it are at most Share times the
// calls in the same window: counts are kept in buckets, and the oldest bucket, of which
// only a part lies in the window, counts for the extra attempts and not for the calls. Set
// the fields before use; a Share or Window of 0 allows no extra attempts. Times must not
// decrease from call to call.
type Budget struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Share is the number of extra attempts allowed per call, 0.05 for one in 20.
	Share float64

	ring admit.Ring // Of calls and extra attempts.
}

// CountCall counts a call that arrives at now.
func (b *Budget) CountCall(now time.Time) {
	if b.Window > 0 {
		b.ring.First[b.ring.Advance(b.Window, now)]++
	}
}

// HasRoom reports whether the budget allows an extra attempt at now.
func (b *Budget) HasRoom(now time.Time) bool { return b.HasRoomIn(1, now) }

// HasRoomIn reports whether the part of the budget, from 0 to 1, allows an extra attempt at
// now. All extra attempts in the window count against the part.
func (b *Budget) HasRoomIn(part float64, now time.Time) bool {
	if b.Window <= 0 || b.Share <= 0 {
		return false
	}
	oldest := (b.ring.Advance(b.Window, now) + 1) % len(b.ring.First)
	calls, extras := 0, 0
	for k := range b.ring.First {
		extras += b.ring.Second[k]
		if k != oldest {
			calls += b.ring.First[k]
		}
	}
	return float64(extras+1) <= part*b.Share*float64(calls)
}

// Take counts an extra attempt at now, which HasRoom has allowed.
func (b *Budget) Take(now time.Time) {
	if b.Window > 0 {
		b.ring.Second[b.ring.Advance(b.Window, now)]++
	}
}
