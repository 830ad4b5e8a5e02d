package engine

import (
	"time"

	"cardamomspool/core/route"
)

// Stats describes the calls and targets of a Scheduler at one moment.
type Stats struct {
	// OpenCalls is the number of calls that have arrived and not ended, QueuedCalls
	// the number of those that are queued, and OverdueCalls the number of those
	// whose deadline has passed.
	OpenCalls, QueuedCalls, OverdueCalls int
	// InFlight is the number of calls at targets.
	InFlight int
	// Targets describes the ready targets, with load reports of at most
	// maxReportAge. An InFlight much larger than the reported calls means that the
	// Scheduler has not learnt that calls have ended.
	Targets route.Occupancy
	// MeanLatency is the moving average latency of all targets.
	MeanLatency time.Duration
	// ResetsWhenFull says that the targets have shown that they reset connections when they
	// are full.
	ResetsWhenFull bool
	// AccountsWaiting is the number of client accounts that have queued calls, counted once
	// for each rank, and LargestShare the largest share of the open calls that one has, from
	// 0 to 1. Both are 0 until the first call with an account.
	AccountsWaiting int
	LargestShare    float64
}

// maxReportAge is the age up to which a load report counts in Stats.Targets.
const maxReportAge = time.Second

// Stats returns the state of the Scheduler at now. It takes time proportional to the
// number of open calls and targets.
func (s *Scheduler) Stats(now time.Time) Stats {
	stats := Stats{
		OpenCalls: len(s.calls), QueuedCalls: s.queue.Len(),
		InFlight: s.targets.InFlight(), MeanLatency: s.targets.MeanLatency(), ResetsWhenFull: s.targets.ResetsWhenFull(now),
	}
	for _, c := range s.calls {
		if now.After(c.deadline) {
			stats.OverdueCalls++
		}
	}
	s.fair.accountStats(&stats)
	stats.Targets = s.targets.Occupancy(route.Query{Slots: s.doc.Targets.Slots, Now: now}, maxReportAge)
	return stats
}
