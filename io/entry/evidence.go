package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"cardamomspool/core/member"
	"cardamomspool/core/wire"
)

type (
	// evidence notes which targets answer this host's calls. The zero value
	// is empty; all methods may be called at once from many goroutines.
	evidence struct {
		rows sync.Map // member.Key to *lastSeen
		mark func(member.Observe)
	}

	// lastSeen holds times in nanoseconds since 1970, 0 for never.
	lastSeen struct {
		answered atomic.Int64
		failed   atomic.Int64
		// mark is the latest state with its incarnation, in one number.
		mark atomic.Uint64
	}
)

func (e *evidence) row(k member.Key) *lastSeen {
	if row, ok := e.rows.Load(k); ok {
		return row.(*lastSeen)
	}
	row, _ := e.rows.LoadOrStore(k, new(lastSeen))
	return row.(*lastSeen)
}

// answered notes an answer of a target and the state that it wrote there.
func (e *evidence) answered(service, target string, heard wire.Heard) {
	k := member.Key{Service: service, Target: target}
	row := e.row(k)
	row.answered.Store(time.Now().UnixNano())
	if heard.Incarnation == 0 {
		return
	}
	mark := heard.Incarnation*uint64(member.Leaving+1) + uint64(heard.State)
	if row.mark.Swap(mark) != mark && heard.State > member.Ready {
		e.mark(member.Observe{Key: k, Incarnation: heard.Incarnation, State: heard.State})
	}
}

// failed notes an attempt at a target that had no answer.
func (e *evidence) failed(service, target string) {
	e.row(member.Key{Service: service, Target: target}).failed.Store(time.Now().UnixNano())
}

// of returns what is known of a target.
func (e *evidence) of(k member.Key) member.Evidence {
	row := e.row(k)
	return member.Evidence{Key: k, Answered: fromNano(row.answered.Load()), Failed: fromNano(row.failed.Load())}
}

// keep forgets all targets but those in keys.
func (e *evidence) keep(keys map[member.Key]bool) {
	e.rows.Range(func(k, _ any) bool {
		if !keys[k.(member.Key)] {
			e.rows.Delete(k)
		}
		return true
	})
}

func fromNano(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}
