package feed

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"
)

type (
	// changes is the log of the changes of targets. It has a lock of its own. Use newChanges.
	changes struct {
		mu sync.Mutex
		// The changes of all targets are numbered from 1, in their order.
		// log holds the ID of the changed target for each change, oldest
		// first. base is how many of the oldest changes were dropped from
		// it. records holds a record for each known target, by ID.
		records map[string]changeRecord
		log     []string
		base    uint64
	}

	// changeRecord holds the number of the last change of a target, as in
	// changes, and whether this host relays the target to its followers.
	changeRecord struct {
		change  uint64
		relayed bool
		// from is the control host that has sent the last change; invalid if this host
		// has heard it from the target, or is no longer connected to that control host.
		from netip.AddrPort
		// heardAt is when this host last heard the target itself.
		heardAt time.Time
	}
)

// maxChanges is the maximum length of changes.log. A stream that lacks an older change is
// sent all targets.
const maxChanges = 8192

func newChanges() *changes {
	return &changes{records: make(map[string]changeRecord)}
}

// record appends a changed target. If relay is true, this host has heard it itself; from is
// the control host that has sent the change, and invalid for none.
func (c *changes) record(id string, relay bool, from netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add(id, relay, from)
}

// add appends a target to log, dropping the older half of a list that is full, and updates
// its change record. The caller holds mu.
func (c *changes) add(id string, relay bool, from netip.AddrPort) {
	if len(c.log) >= maxChanges {
		c.base += uint64(len(c.log) / 2)
		c.log = slices.Clone(c.log[len(c.log)/2:])
	}
	c.log = append(c.log, id)
	r := changeRecord{change: c.last(), relayed: relay, from: from}
	if relay {
		r.heardAt = time.Now()
	}
	c.records[id] = r
}

// recordHeard records that this host has heard a target whose state it knows. A target
// that another control host has sent and still relays is not relayed once more: under
// load targets change from one control host to the next, and each change would be sent to
// all hosts. Its lease is renewed from here.
func (c *changes) recordHeard(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.records[id]
	if !r.relayed && !r.from.IsValid() {
		c.add(id, true, netip.AddrPort{})
		return
	}
	r.heardAt = time.Now()
	c.records[id] = r
}

// forgetRelay records that the control host at address can no longer be counted on to
// relay the targets that it has sent. This host relays those that it hears from then on.
func (c *changes) forgetRelay(address netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, r := range c.records {
		if r.from == address {
			r.from = netip.AddrPort{}
			c.records[id] = r
		}
	}
}

// last returns the number of the last change of any target. The caller holds mu.
func (c *changes) last() uint64 {
	return c.base + uint64(len(c.log))
}

// newest returns the number of the last change of any target.
func (c *changes) newest() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last()
}

// since returns the relayed targets that have changed after the given change number, and
// the number of the last change.
func (c *changes) since(change uint64) (ids []string, last uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if change < c.base {
		for id, r := range c.records {
			if r.relayed {
				ids = append(ids, id)
			}
		}
		return ids, c.last()
	}
	for i, id := range c.log[change-c.base:] {
		r := c.records[id]
		if r.relayed && r.change == change+uint64(i)+1 { // The target has not changed again since.
			ids = append(ids, id)
		}
	}
	return ids, c.last()
}

// heardSince returns the targets that this host has heard itself at or after t.
func (c *changes) heardSince(t time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for id, r := range c.records {
		if !r.heardAt.Before(t) {
			ids = append(ids, id)
		}
	}
	return ids
}

// ids returns the targets that have a record.
func (c *changes) ids() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.records))
}

// remove removes the records of targets.
func (c *changes) remove(ids []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		delete(c.records, id)
	}
}
