package signs

import (
	"log/slog"
	"time"

	"cardamomspool/core/crash"
	"cardamomspool/io/feed"
	"cardamomspool/io/telem"
)

// Suspects are the calls that were at targets as these ended, of which some are blocked since
// they have probably crashed them. Use NewSuspects.
type Suspects struct {
	*crash.Table
	log     *slog.Logger
	metrics *telem.Registry
	// share passes reports to other hosts.
	share func([]crash.Report)
}

// NewSuspects returns the suspects of a table, which are shared with other hosts by means of
// share.
func NewSuspects(table *crash.Table, share func([]crash.Report), log *slog.Logger, metrics *telem.Registry) *Suspects {
	return &Suspects{Table: table, log: log, metrics: metrics, share: share}
}

// AddLost records that calls were at a target as that ended, and reports it to other
// hosts.
func (s *Suspects) AddLost(calls []LostCall) {
	reports, now := make([]crash.Report, 0, len(calls)), time.Now()
	for _, c := range calls {
		r := crash.Report{ID: c.ID, Target: crash.Target(c.Target.Service, c.Target.Target, c.Incarnation), At: now}
		feed.MergeLostCalls(s.Table, []crash.Report{r}, now, s.log)
		reports = append(reports, r)
		s.metrics.Counter("calls_lost_with_target").Add(1)
		s.log.Info("call lost with its target", "call", c.Call, "service", c.Target.Service, "target", c.Target.Target,
			"incarnation", c.Incarnation, "method", c.Method, "path", c.Path, "remote", c.Remote,
			"content", crash.Name(c.ID.Content), "caller", crash.Name(c.ID.Caller), "targets", s.Targets(c.ID),
			"sent_before_us", c.Lost.Sub(c.Sent).Microseconds())
	}
	s.share(reports)
}

// Clear clears a call that a target has answered, and tells other hosts so.
func (s *Suspects) Clear(call string, id crash.ID) {
	if cleared := s.Answered(nil, id); len(cleared) > 0 {
		s.log.Info("call cleared", "call", call, "content", crash.Name(id.Content), "caller", crash.Name(id.Caller), "reports", len(cleared))
		s.share(cleared)
	}
}
