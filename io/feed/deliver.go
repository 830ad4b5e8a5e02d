package feed

import (
	"sync"
	"time"
)

// deliveries calls OnTargets for the services whose targets have changed. It has a lock of its
// own, which it holds during that, so that calls do not overlap and the last one has the
// newest targets. Use newDeliveries.
type deliveries struct {
	deliver func(service string)

	mu sync.Mutex
	// stale holds the services whose targets have changed since deliver was last called for
	// them. timer, if not nil, will call it; ranAt is when it was last called.
	stale map[string]bool
	timer *time.Timer
	ranAt time.Time
}

// newDeliveries returns deliveries that call deliver for each service.
func newDeliveries(deliver func(service string)) *deliveries {
	return &deliveries{deliver: deliver, stale: make(map[string]bool)}
}

// mark records that the targets of services have changed. It must be called after the change.
func (d *deliveries) mark(services ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, service := range services {
		d.stale[service] = true
	}
}

// run delivers now.
func (d *deliveries) run() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runStale()
}

// runMarked delivers now if the targets of any service have changed.
func (d *deliveries) runMarked() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.stale) > 0 {
		d.runStale()
	}
}

// runSoon delivers, now or as soon as the time interval since the last time is over.
func (d *deliveries) runSoon(now time.Time, interval time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil {
		return
	}
	wait := d.ranAt.Add(interval).Sub(now)
	if wait <= 0 {
		d.runStale()
		return
	}
	d.timer = time.AfterFunc(wait, d.run)
}

// runStale calls deliver for the services whose targets have changed. The caller holds mu.
func (d *deliveries) runStale() {
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	d.ranAt = time.Now()
	for service := range d.stale {
		d.deliver(service)
	}
	clear(d.stale)
}
