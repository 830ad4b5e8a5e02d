package entry

import (
	"cmp"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"time"

	"cardamomspool/io/telem"
)

type (
	// openCalls holds the calls that have not ended, those of other entry hosts
	// included, and measures how long they go on after the signal to stop.
	openCalls struct {
		log     *slog.Logger
		metrics *telem.Registry

		mu      sync.Mutex
		calls   map[*call]struct{}
		stopped time.Time     // When the host was told to stop; zero before.
		longest time.Duration // From stopped to the last end of a call that was not cut off.
	}

	// progress is how far a call has come, as other goroutines see it.
	progress struct {
		mu      sync.Mutex
		target  string         // The target at which the call is; empty while it is held or undecided.
		carrier netip.AddrPort // The entry host that carries it there; invalid for none.
		cutOff  bool           // The stop of the host has cut the call off.
	}
)

// maxCutOffLines bounds the log lines about calls that a stop cuts off, for each server.
const maxCutOffLines = 32

func newOpenCalls(log *slog.Logger, metrics *telem.Registry) *openCalls {
	return &openCalls{log: log, metrics: metrics, calls: make(map[*call]struct{})}
}

// add adds a call that begins.
func (o *openCalls) add(c *call) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.calls[c] = struct{}{}
}

// appendCallers appends the connections of the callers to list.
func (o *openCalls) appendCallers(list []*callerConn) []*callerConn {
	o.mu.Lock()
	defer o.mu.Unlock()
	for c := range o.calls {
		if c.callerConn != nil {
			list = append(list, c.callerConn)
		}
	}
	return list
}

// stop records the signal to stop.
func (o *openCalls) stop(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopped = now
}

// remove removes a call that has ended.
func (o *openCalls) remove(c *call) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.calls, c)
	if o.stopped.IsZero() || c.progress.isCutOff() {
		return
	}
	took := now.Sub(o.stopped)
	o.longest = max(o.longest, took)
	o.metrics.Histogram("time_after_stop", "ended").Observe(took)
}

// cutOff logs and counts the calls that are cut off now, either those of callers or those
// carried for other entry hosts.
func (o *openCalls) cutOff(carriedIn bool, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []*call
	for c := range o.calls {
		if c.carriedIn == carriedIn {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b *call) int { return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.id, b.id)) })
	o.metrics.Counter("calls_cut_by_stop").Add(int64(len(list)))
	for i, c := range list {
		after := now.Sub(o.stopped)
		o.metrics.Histogram("time_after_stop", "cut_off").Observe(after)
		attrs := c.progress.cut()
		if i >= maxCutOffLines {
			continue
		}
		o.log.With(attrs...).Warn("call cut off by stop", "call", c.name, "service", c.service.doc.Name, "after_stop", after.String(),
			"arrived_after_stop", c.arrived.Sub(o.stopped).String(), "deadline_left", c.deadline.Sub(now).String(), "carried_in", c.carriedIn)
	}
	if left := len(list) - maxCutOffLines; left > 0 {
		o.log.Warn("further calls cut off by stop", "calls", left)
	}
}

// longestAfterStop returns the time from the signal to stop to the last end of a call that
// was not cut off, 0 without one.
func (o *openCalls) longestAfterStop() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.longest
}

// send records that the call is at a target.
func (p *progress) send(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target, p.carrier = target, netip.AddrPort{}
}

// carry records which entry host carries the call to its target.
func (p *progress) carry(carrier netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.carrier = carrier
}

// await records that the call is at no target and waits for a decision.
func (p *progress) await() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target, p.carrier = "", netip.AddrPort{}
}

// cut records that the call is cut off, and returns the log attributes of its progress.
func (p *progress) cut() []any {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutOff = true
	attrs := []any{"held", p.target == ""}
	if p.target != "" {
		attrs = append(attrs, "target", p.target)
	}
	if p.carrier.IsValid() {
		attrs = append(attrs, "carrier", p.carrier.String())
	}
	return attrs
}

func (p *progress) isCutOff() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cutOff
}
