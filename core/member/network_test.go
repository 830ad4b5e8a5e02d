package member_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"cardamomspool/core/member"
)

type (
	// network runs nodes on a fake clock and delivers their messages. It loses,
	// duplicates and delays some of them, drawn from a seed.
	network struct {
		rng    *rand.Rand
		now    time.Time
		nodes  map[string]*member.Node
		hosts  []string
		frozen map[string]bool
		killed map[string]bool
		// partition holds the partition of each host; messages arrive only
		// within one.
		partition map[string]int
		queue     []delivery
		serial    int
		// generations counts the starts of each host. Events for an earlier
		// generation are dropped.
		generations map[string]int
		// loss and duplicate are probabilities in percent.
		loss, duplicate int
		log             *strings.Builder
		// messages counts the messages sent, by type.
		messages map[string]int
		// accepted and rejected hold the replies to announcements, by ID.
		accepted map[uint64]time.Time
		rejected map[uint64]error
	}

	// delivery is an event due at a host.
	delivery struct {
		at         time.Time
		serial     int
		to         string
		generation int
		event      member.Event
		// call is the call to which the event, a Receive, belongs; nil for other
		// events and for duplicates.
		call *rpc
	}

	// rpc is a call between two hosts.
	rpc struct {
		id         uint64
		from, to   string
		generation int
		done       bool
	}
)

const (
	tickInterval = 10 * time.Millisecond
	rpcTimeout   = 500 * time.Millisecond
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newNetwork(seed uint64, count int) *network {
	n := &network{
		rng: rand.New(rand.NewPCG(seed, 1)), now: startTime, nodes: map[string]*member.Node{},
		frozen: map[string]bool{}, killed: map[string]bool{}, partition: map[string]int{}, generations: map[string]int{},
		log: new(strings.Builder), messages: map[string]int{},
		accepted: map[uint64]time.Time{}, rejected: map[uint64]error{},
	}
	for i := range count {
		n.hosts = append(n.hosts, fmt.Sprintf("e%02d", i+1))
	}
	for _, host := range n.hosts {
		n.start(host)
	}
	return n
}

// start starts a new node of host without records.
func (n *network) start(host string) {
	peers := slices.DeleteFunc(slices.Clone(n.hosts), func(h string) bool { return h == host })
	n.generations[host]++
	n.killed[host] = false
	n.nodes[host] = member.NewNode(host, peers, rand.New(rand.NewPCG(n.rng.Uint64(), 2)),
		member.WithAnnounceAddress(netip.MustParseAddrPort("127.0.0.1:1"+host[1:])))
}

// kill stops a host; its records are lost.
func (n *network) kill(host string) {
	n.killed[host] = true
	n.logf("%s killed", host)
}

// announce sends a target's announcement to host.
func (n *network) announce(host string, id uint64, r member.Record) {
	n.logf("%s hears %s/%d %s", host, r.Target, r.Incarnation, r.State)
	n.schedule(host, n.now, member.Announce{ID: id, Record: r}, nil)
}

// schedule adds an event for a host, due at the given time. call is the call to which
// a Receive belongs, or nil.
func (n *network) schedule(to string, at time.Time, e member.Event, call *rpc) {
	n.serial++
	n.queue = append(n.queue, delivery{at: at, serial: n.serial, to: to, generation: n.generations[to], event: e, call: call})
}

// run advances the clock by d in steps of tickInterval. In each step, every running
// host gets a Tick, and then the events that are due are handled.
func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(tickInterval)
		for _, host := range n.hosts {
			n.handle(host, member.Tick{}, nil)
		}
		n.deliver()
	}
}

// deliver handles all events that are due, except those for frozen hosts, which stay
// queued.
func (n *network) deliver() {
	for {
		slices.SortFunc(n.queue, func(a, b delivery) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.serial, b.serial)) })
		i := slices.IndexFunc(n.queue, func(d delivery) bool { return !d.at.After(n.now) && !n.frozen[d.to] })
		if i < 0 {
			return
		}
		d := n.queue[i]
		n.queue = slices.Delete(n.queue, i, i+1)
		if d.generation == n.generations[d.to] {
			n.handle(d.to, d.event, d.call)
		}
	}
}

// handle passes an event to the node of a running host and carries out the actions.
func (n *network) handle(host string, e member.Event, call *rpc) {
	if n.killed[host] || n.frozen[host] {
		return
	}
	for _, action := range n.nodes[host].Handle(nil, e, n.now) {
		switch a := action.(type) {
		case member.Send:
			n.send(host, a)
		case member.Respond:
			if call != nil && n.delivers(host, call.from) && n.generations[call.from] == call.generation {
				n.schedule(call.from, n.arrivalTime(), member.SendReplied{ID: call.id, Reply: a.Reply}, nil)
			}
		case member.Accept:
			n.accepted[a.ID] = n.now
			n.logf("%s accepts announcement, next in %s", host, a.Interval)
		case member.Reject:
			n.rejected[a.ID] = a.Err
			n.logf("%s rejects announcement: %v", host, a.Err)
		case member.RecordChanged:
			r := a.Record
			n.logf("%s has %s/%d %s voucher %s epoch %d lapsed %t", host, r.Target, r.Incarnation, r.State, r.Owner, r.Epoch, r.LeaseExpired)
		}
	}
}

// send sends a message, sometimes twice. The sender gets a SendFailed at once if the
// receiver is killed, and otherwise after rpcTimeout, which it ignores after a reply.
func (n *network) send(from string, s member.Send) {
	n.messages[strings.TrimPrefix(fmt.Sprintf("%T", s.Message), "member.")]++
	call := &rpc{id: s.ID, from: from, to: s.To, generation: n.generations[from]}
	if n.killed[s.To] {
		n.schedule(from, n.now, member.SendFailed{ID: s.ID}, nil)
		return
	}
	n.schedule(from, n.now.Add(rpcTimeout), member.SendFailed{ID: s.ID}, nil)
	if !n.delivers(from, s.To) {
		return
	}
	n.schedule(s.To, n.arrivalTime(), member.Receive{From: from, Message: s.Message}, call)
	if n.rng.IntN(100) < n.duplicate {
		n.schedule(s.To, n.arrivalTime().Add(300*time.Millisecond), member.Receive{From: from, Message: s.Message}, nil)
	}
}

// delivers reports whether a message between two hosts arrives; it draws losses at
// random.
func (n *network) delivers(a, b string) bool {
	return n.partition[a] == n.partition[b] && n.rng.IntN(100) >= n.loss
}

// arrivalTime returns when a message sent now arrives, drawn at random, so that
// messages overtake each other.
func (n *network) arrivalTime() time.Time {
	return n.now.Add(time.Duration(1+n.rng.IntN(30)) * time.Millisecond)
}

func (n *network) logf(format string, args ...any) {
	fmt.Fprintf(n.log, "%7.2fs  %s\n", n.now.Sub(startTime).Seconds(), fmt.Sprintf(format, args...))
}

// heal ends all partitions and message loss, and resumes or restarts all hosts.
func (n *network) heal() {
	n.loss, n.duplicate = 0, 0
	clear(n.partition)
	clear(n.frozen)
	for _, host := range n.hosts {
		if n.killed[host] {
			n.start(host)
		}
	}
}

// running returns the hosts that are neither killed nor frozen.
func (n *network) running() []string {
	return slices.DeleteFunc(slices.Clone(n.hosts), func(h string) bool { return n.killed[h] || n.frozen[h] })
}

// converged reports whether all running hosts hold the same records.
func (n *network) converged() bool {
	sums := map[uint64]bool{}
	for _, host := range n.running() {
		sums[n.nodes[host].Sum()] = true
	}
	return len(sums) == 1
}

// state returns the state of a target at host, 0 if it is unknown.
func (n *network) state(host string, k member.Key) member.State {
	for _, r := range n.nodes[host].Records(nil) {
		if r.Key == k {
			return r.State
		}
	}
	return 0
}

// usable reports whether host routes calls to the target, and whether the
// target is suspect.
func (n *network) usable(host string, k member.Key) (usable, suspect bool) {
	for _, r := range n.nodes[host].UsableTargets(nil, k.Service) {
		if r.Key == k {
			return true, r.Suspect
		}
	}
	return false, false
}

// allHave reports whether all running hosts hold the target in state s.
func (n *network) allHave(k member.Key, s member.State) bool {
	return !slices.ContainsFunc(n.running(), func(h string) bool { return n.state(h, k) != s })
}

// summary returns the number of messages by type.
func (n *network) summary() string {
	lines := []string{}
	for _, kind := range slices.Sorted(maps.Keys(n.messages)) {
		lines = append(lines, fmt.Sprintf("%s %d", kind, n.messages[kind]))
	}
	return strings.Join(lines, ", ")
}
