package member

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

type (
	// Node is the membership of one entry host. Use NewNode.
	Node struct {
		host     string
		ring     []string
		address  netip.AddrPort
		interval time.Duration
		rng      *rand.Rand
		table    table

		started  time.Time
		vouched  int
		synced   bool
		nextID   uint64
		sent     map[uint64]sending
		waiting  map[uint64]waiting
		pending  []pending
		contact  map[string]time.Time
		down     map[string]time.Time
		announce map[string]netip.AddrPort
		order    []string

		nextFlush  time.Time
		nextDigest time.Time
		nextSweep  time.Time
	}

	// Option sets one property of a Node.
	Option func(*Node)

	// sending is a message that has no reply yet.
	sending struct {
		to      string
		message Message
		// tried are the hosts that a Spread has been sent to.
		tried []string
		// retries counts how often the change has been spread again.
		retries int
	}

	// waiting is an announcement that is answered once another entry host
	// has acknowledged the record.
	waiting struct {
		key      Key
		deadline time.Time
	}

	// pending is a change that has not been spread yet.
	pending struct {
		key     Key
		from    string
		retries int
	}
)

// Times and bounds of the membership.
const (
	// TombstoneTime is how long a departed or lapsed target is remembered.
	TombstoneTime = 24 * time.Hour
	// LeaseIntervals is the number of announcements that a target may miss.
	LeaseIntervals = 5
	// LongestInterval bounds the interval that targets are told.
	LongestInterval = time.Minute
	// GoneAfter is how long a suspect target whose calls fail stays usable
	// after its last answer.
	GoneAfter = 10 * time.Second
	// UnusedAfter is how long a suspect target without any call stays usable.
	UnusedAfter = 15 * time.Minute
	// OrphanAfter is how long a voucher is silent before its targets are
	// taken to have lapsed.
	OrphanAfter = 10 * time.Minute
	// AckLimit bounds the wait of a leaving target for an acknowledgement by
	// a second entry host.
	AckLimit = time.Second
	// MaxTargets bounds the targets that are held, departed ones included.
	MaxTargets = 20_000

	// announceSpacing is the least mean time between two announcements to one
	// entry host.
	announceSpacing = time.Second
	flushDelay      = 20 * time.Millisecond
	spreadRetry     = 150 * time.Millisecond
	mostRetries     = 5
	digestInterval  = time.Second
	sweepInterval   = time.Second
	downTime        = 2 * time.Second
	shortestSilence = 30 * time.Second
	unheardLease    = LeaseIntervals * LongestInterval
	shortestExpiry  = time.Hour
	// freshLife is how long records learnt by repair are not sent on.
	freshLife   = 10 * time.Second
	othersNamed = 3
	maxContacts = 4096
)

// WithInterval sets the shortest interval between two announcements of a
// target; the default is one second.
func WithInterval(d time.Duration) Option {
	return func(n *Node) { n.interval = d }
}

// WithAnnounceAddress sets where this entry host takes announcements.
func WithAnnounceAddress(a netip.AddrPort) Option {
	return func(n *Node) { n.address = a }
}

// NewNode returns the membership of host among peers, the other entry hosts.
func NewNode(host string, peers []string, rng *rand.Rand, opts ...Option) *Node {
	n := &Node{
		host: host, ring: append([]string{host}, peers...), interval: time.Second, rng: rng,
		sent: make(map[uint64]sending), waiting: make(map[uint64]waiting),
		contact: make(map[string]time.Time), down: make(map[string]time.Time),
		announce: make(map[string]netip.AddrPort),
	}
	for _, opt := range opts {
		opt(n)
	}
	slices.Sort(n.ring)
	n.ring = slices.Compact(n.ring)
	return n
}

// Handle takes one event at now, appends the actions that follow to dst and
// returns it. Time must not go back between calls.
func (n *Node) Handle(dst []Action, e Event, now time.Time) []Action {
	if n.started.IsZero() {
		n.started = now
	}
	dst = n.dispatch(dst, e, now)
	if len(n.pending) > 0 && n.nextFlush.IsZero() {
		n.nextFlush = now.Add(flushDelay)
	}
	return dst
}

func (n *Node) dispatch(dst []Action, e Event, now time.Time) []Action {
	switch e := e.(type) {
	case Announce:
		return n.hear(dst, e, now)
	case Observe:
		return n.observe(dst, e, now)
	case Evidence:
		return n.evidence(dst, e)
	case Receive:
		return n.receive(dst, e, now)
	case Replied:
		return n.replied(dst, e, now)
	case Failed:
		return n.failed(dst, e, now)
	case Tick:
		return n.tick(dst, now)
	}
	return dst
}

// Service appends the usable targets of one service to dst and returns it:
// those that have neither left nor stopped answering. Targets that are cold
// or draining are among them.
func (n *Node) Service(dst []Record, service string) []Record {
	for i := range n.table.records {
		r := n.table.records[i]
		if r.Service != service || r.State == Leaving || n.table.gone[i] {
			continue
		}
		r.Suspect = !n.table.suspected[i].IsZero()
		dst = append(dst, r)
	}
	return dst
}

// All appends every record, departed targets included, to dst and returns it.
func (n *Node) All(dst []Record) []Record {
	for i, r := range n.table.records {
		r.Suspect = !n.table.suspected[i].IsZero()
		dst = append(dst, r)
	}
	return dst
}

// Suspects appends the keys of all suspect targets to dst and returns it.
func (n *Node) Suspects(dst []Key) []Key {
	for i := range n.table.records {
		if !n.table.suspected[i].IsZero() {
			dst = append(dst, n.table.records[i].Key)
		}
	}
	return dst
}

// Usable returns the number of targets that have neither left nor stopped
// answering.
func (n *Node) Usable() int {
	count := 0
	for i := range n.table.records {
		if n.table.records[i].State != Leaving && !n.table.gone[i] {
			count++
		}
	}
	return count
}

// Sum returns the hash of the table. Two entry hosts with equal sums hold the
// same records.
func (n *Node) Sum() uint64 {
	return n.table.total
}

// Wake returns when the next Tick is due.
func (n *Node) Wake() time.Time {
	next := n.nextSweep
	if !n.alone() && n.nextDigest.Before(next) {
		next = n.nextDigest
	}
	if !n.nextFlush.IsZero() && n.nextFlush.Before(next) {
		next = n.nextFlush
	}
	for _, w := range n.waiting {
		if w.deadline.Before(next) {
			next = w.deadline
		}
	}
	return next
}

// alone reports whether there is no other entry host.
func (n *Node) alone() bool {
	return len(n.ring) == 1
}

// silent reports whether nothing was heard of a host for d.
func (n *Node) silent(host string, d time.Duration, now time.Time) bool {
	if host == n.host {
		return false
	}
	last := n.contact[host]
	if last.IsZero() {
		last = n.started
	}
	return now.Sub(last) >= d
}

// silence returns how long a voucher is not heard before it is called silent.
// Digests reach every host once in a round of the ring.
func (n *Node) silence() time.Duration {
	return max(shortestSilence, 3*time.Duration(len(n.ring))*digestInterval)
}
