package peer

import (
	"time"

	"cardamomspool/core/crash"
	"cardamomspool/io/peer/peerpb"
)

// FromLostCalls converts reports to protobuf messages that are sent at now.
func FromLostCalls(reports []crash.Report, now time.Time) []*peerpb.LostCall {
	messages := make([]*peerpb.LostCall, 0, len(reports))
	for _, r := range reports {
		messages = append(messages, &peerpb.LostCall{
			Head: r.Head, Content: r.Content, Caller: r.Caller, Target: r.Target, Clearance: uint32(r.Clearance),
			AgeMs: uint32(min(max(now.Sub(r.At), 0), crash.MaxAge).Milliseconds()),
		})
	}
	return messages
}

// ToLostCalls converts protobuf messages that arrived at now to reports. A clearance that
// this version does not know counts as the highest that it knows.
func ToLostCalls(messages []*peerpb.LostCall, now time.Time) []crash.Report {
	reports := make([]crash.Report, 0, len(messages))
	for _, m := range messages {
		age := min(time.Duration(m.GetAgeMs())*time.Millisecond, crash.MaxAge)
		reports = append(reports, crash.Report{
			ID:     crash.ID{Head: m.GetHead(), Content: m.GetContent(), Caller: m.GetCaller()},
			Target: m.GetTarget(), Clearance: crash.Clearance(min(m.GetClearance(), uint32(crash.Cleared))), At: now.Add(-age),
		})
	}
	return reports
}
