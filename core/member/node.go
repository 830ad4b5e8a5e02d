package member

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

type (
	// Node is the membership state machine of one entry host. Use NewNode.
	Node struct {
		host string
		// ring holds the names of all entry hosts, this one included, sorted.
		ring            []string
		announceAddress netip.AddrPort
		minInterval     time.Duration
		rng             *rand.Rand
		table           table

		started time.Time
		// ownedTargets is the number of unexpired leases of this host.
		ownedTargets int
		// synced reports whether the table has been compared, and repaired if it
		// differed, with that of another host.
		synced bool
		nextID uint64
		// inFlight holds the messages without a reply, by ID.
		inFlight map[uint64]outgoing
		// pendingAcks holds the announcements that wait for an
		// acknowledgement, by ID.
		pendingAcks map[uint64]pendingAck
		// changes holds the changes that have not been spread yet.
		changes []change
		// lastContact is when the last message or reply of each host arrived.
		lastContact map[string]time.Time
		// downUntil is the end of the time for which a host counts as down.
		downUntil         map[string]time.Time
		announceAddresses map[string]netip.AddrPort
		// digestOrder holds the hosts that have not been sent a digest in this
		// round yet.
		digestOrder []string

		nextFlush  time.Time
		nextDigest time.Time
		nextSweep  time.Time
	}

	// Option configures a Node.
	Option func(*Node)

	// outgoing is a message that has no reply yet.
	outgoing struct {
		to      string
		message Message
		// excluded are the hosts that a failed Spread is not sent to again: this
		// host, the host that the change came from, and the hosts to which the
		// Spread has been sent before.
		excluded []string
		// retries is the number of times the change has been spread again.
		retries int
	}

	// pendingAck is an announcement that is accepted once another entry host
	// has acknowledged the record.
	pendingAck struct {
		key      Key
		deadline time.Time
	}

	// change is a changed record that has not been spread yet.
	change struct {
		key Key
		// from is the host that sent the change; this host for its own changes.
		from string
		// retries is the number of times the change has been spread again.
		retries int
	}
)

// Timeouts and limits of the membership.
const (
	// TombstoneTime is how long the record of a target is kept after it has
	// left or its lease has expired.
	TombstoneTime = 24 * time.Hour
	// LeaseIntervals is the length of a lease in announcement intervals, and so
	// the number of announcements that a target may miss.
	LeaseIntervals = 5
	// MaxInterval is the maximum interval between two announcements of a
	// target.
	MaxInterval = time.Minute
	// FailingTimeout is how long a suspect target whose calls fail stays
	// usable after its last response, or after it became suspect if that was
	// later.
	FailingTimeout = 10 * time.Second
	// UnusedTimeout is how long a suspect target without any call stays
	// usable after its last response, or after it became suspect if that was
	// later.
	UnusedTimeout = 15 * time.Minute
	// OwnerTimeout is how long an owner may be silent before another host
	// expires the leases that it owns.
	OwnerTimeout = 10 * time.Minute
	// AckTimeout is how long a leaving target waits for an acknowledgement by
	// a second entry host.
	AckTimeout = time.Second
	// MaxTargets is the maximum number of records, including departed targets.
	MaxTargets = 20_000

	// announceSpacing is the minimum mean time between two announcements to
	// one entry host, as far as MaxInterval allows it.
	announceSpacing = time.Second
	// flushDelay is how long changes are collected before they are spread.
	flushDelay       = 20 * time.Millisecond
	spreadRetryDelay = 150 * time.Millisecond
	maxSpreadRetries = 5
	// digestInterval is the mean time between two digests of a host.
	digestInterval = time.Second
	sweepInterval  = time.Second
	// downPeriod is how long a host counts as down after a failed message.
	downPeriod = 2 * time.Second
	// minOwnerSilence is the lower limit of Node.ownerSilence.
	minOwnerSilence = 30 * time.Second
	// initialLease is the lease of a new record or incarnation that another
	// host has sent.
	initialLease = LeaseIntervals * MaxInterval
	// minExpiry is the minimum time for which a tombstone is kept.
	minExpiry = time.Hour
	// startupPeriod is the time after the start within which the records of the
	// first repair are not spread further.
	startupPeriod = 10 * time.Second
	// maxOthers is the maximum number of addresses in Accept.Others.
	maxOthers = 3
	// maxContacts is the size of Node.lastContact up to which hosts that are
	// not on the ring are added.
	maxContacts = 4096
)

// WithInterval sets the minimum interval between two announcements of a target.
// The default is one second.
func WithInterval(d time.Duration) Option {
	return func(n *Node) { n.minInterval = d }
}

// WithAnnounceAddress sets the address at which this entry host receives
// announcements.
func WithAnnounceAddress(a netip.AddrPort) Option {
	return func(n *Node) { n.announceAddress = a }
}

// NewNode returns the node of host. peers are the other entry hosts. rng draws the
// order and the times of digests; it may be nil if there are no peers.
func NewNode(host string, peers []string, rng *rand.Rand, opts ...Option) *Node {
	n := &Node{
		host: host, ring: append([]string{host}, peers...), minInterval: time.Second, rng: rng,
		inFlight: make(map[uint64]outgoing), pendingAcks: make(map[uint64]pendingAck),
		lastContact: make(map[string]time.Time), downUntil: make(map[string]time.Time),
		announceAddresses: make(map[string]netip.AddrPort),
	}
	for _, opt := range opts {
		opt(n)
	}
	slices.Sort(n.ring)
	n.ring = slices.Compact(n.ring)
	return n
}

// Handle handles one event at time now, appends the resulting actions to dst and
// returns it. now must not decrease between calls.
func (n *Node) Handle(dst []Action, e Event, now time.Time) []Action {
	if n.started.IsZero() {
		n.started = now
	}
	dst = n.dispatch(dst, e, now)
	if len(n.changes) > 0 && n.nextFlush.IsZero() {
		n.nextFlush = now.Add(flushDelay)
	}
	return dst
}

func (n *Node) dispatch(dst []Action, e Event, now time.Time) []Action {
	switch e := e.(type) {
	case Announce:
		return n.handleAnnounce(dst, e, now)
	case Observe:
		return n.handleObserve(dst, e, now)
	case Evidence:
		return n.handleEvidence(dst, e)
	case Receive:
		return n.handleReceive(dst, e, now)
	case SendReplied:
		return n.handleSendReplied(dst, e, now)
	case SendFailed:
		return n.handleSendFailed(dst, e, now)
	case Tick:
		return n.handleTick(dst, now)
	}
	return dst
}

// UsableTargets appends the usable targets of one service to dst and returns
// it: those that have neither left nor stopped responding. Cold and draining
// targets are included.
func (n *Node) UsableTargets(dst []Record, service string) []Record {
	for i := range n.table.records {
		r := n.table.records[i]
		if r.Service != service || r.State == Leaving || n.table.unusable[i] {
			continue
		}
		r.Suspect = !n.table.suspectSince[i].IsZero()
		dst = append(dst, r)
	}
	return dst
}

// Records appends every record to dst, including departed targets, and returns
// it.
func (n *Node) Records(dst []Record) []Record {
	for i, r := range n.table.records {
		r.Suspect = !n.table.suspectSince[i].IsZero()
		dst = append(dst, r)
	}
	return dst
}

// Suspects appends the keys of all suspect targets to dst and returns it.
func (n *Node) Suspects(dst []Key) []Key {
	for i := range n.table.records {
		if !n.table.suspectSince[i].IsZero() {
			dst = append(dst, n.table.records[i].Key)
		}
	}
	return dst
}

// UsableCount returns the number of targets that have neither left nor stopped
// responding.
func (n *Node) UsableCount() int {
	count := 0
	for i := range n.table.records {
		if n.table.records[i].State != Leaving && !n.table.unusable[i] {
			count++
		}
	}
	return count
}

// Sum returns the hash of the table. Two entry hosts with equal sums hold the
// same records.
func (n *Node) Sum() uint64 {
	return n.table.hash
}

// NextTick returns when the next Tick is due; the zero time if no Tick has run yet.
func (n *Node) NextTick() time.Time {
	next := n.nextSweep
	if !n.alone() && n.nextDigest.Before(next) {
		next = n.nextDigest
	}
	if !n.nextFlush.IsZero() && n.nextFlush.Before(next) {
		next = n.nextFlush
	}
	for _, ack := range n.pendingAcks {
		if ack.deadline.Before(next) {
			next = ack.deadline
		}
	}
	return next
}

// alone reports whether there is no other entry host.
func (n *Node) alone() bool {
	return len(n.ring) == 1
}

// silent reports whether no message or reply of a host has arrived for d or
// longer. For a host that never sent one, the time counts from the start of this
// node. This host is never silent.
func (n *Node) silent(host string, d time.Duration, now time.Time) bool {
	if host == n.host {
		return false
	}
	last := n.lastContact[host]
	if last.IsZero() {
		last = n.started
	}
	return now.Sub(last) >= d
}

// ownerSilence returns how long an owner may be silent before its targets become
// suspect. It spans three rounds of digests, each of which reaches every host.
func (n *Node) ownerSilence() time.Duration {
	return max(minOwnerSilence, 3*time.Duration(len(n.ring))*digestInterval)
}
