package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"cardamomspool/core/member"
	"cardamomspool/core/wire"
)

type (
	// activityTracker records which targets answer this host's calls. The zero
	// value is empty, but onState must be set before use. All methods are safe
	// for concurrent use.
	activityTracker struct {
		targets sync.Map // member.Key to *targetActivity
		onState func(member.Observe)
	}

	// targetActivity holds the times of a target's last response and failure, in
	// nanoseconds since 1970, where 0 means never, and its last reported state.
	targetActivity struct {
		answered atomic.Int64
		failed   atomic.Int64
		// state combines the incarnation and state reported last in one number,
		// which is compared only for equality; 0 means never.
		state atomic.Uint64
	}
)

// activityOf returns the activity of a target, adding it when there is none.
func (t *activityTracker) activityOf(k member.Key) *targetActivity {
	if activity, ok := t.targets.Load(k); ok {
		return activity.(*targetActivity)
	}
	activity, _ := t.targets.LoadOrStore(k, new(targetActivity))
	return activity.(*targetActivity)
}

// recordResponse records a response of a target and the state reported in it.
// It calls onState when this state is draining or leaving and differs from the state
// reported before.
func (t *activityTracker) recordResponse(service, target string, targetInfo wire.AnswerInfo) {
	k := member.Key{Service: service, Target: target}
	activity := t.activityOf(k)
	activity.answered.Store(time.Now().UnixNano())
	if targetInfo.Incarnation == 0 {
		return
	}
	state := targetInfo.Incarnation*uint64(member.Leaving+1) + uint64(targetInfo.State)
	if activity.state.Swap(state) != state && targetInfo.State > member.Ready {
		t.onState(member.Observe{Key: k, Incarnation: targetInfo.Incarnation, State: targetInfo.State})
	}
}

// recordFailure records an attempt at a target that got no response.
func (t *activityTracker) recordFailure(service, target string) {
	t.activityOf(member.Key{Service: service, Target: target}).failed.Store(time.Now().UnixNano())
}

// evidenceFor returns the times of the last response and failure of a target; a zero
// time means never.
func (t *activityTracker) evidenceFor(k member.Key) member.Evidence {
	activity := t.activityOf(k)
	return member.Evidence{Key: k, Answered: fromNano(activity.answered.Load()), Failed: fromNano(activity.failed.Load())}
}

// retainOnly removes all targets that are not in keys.
func (t *activityTracker) retainOnly(keys map[member.Key]bool) {
	t.targets.Range(func(k, _ any) bool {
		if !keys[k.(member.Key)] {
			t.targets.Delete(k)
		}
		return true
	})
}

// fromNano converts nanoseconds since 1970; 0 becomes the zero time.
func fromNano(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}
