package quorum

import (
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
)

type (
	// Stage tells whether a control host votes.
	Stage uint8

	// Identity is what a control host keeps of itself.
	Identity struct {
		// Incarnation identifies the life of the disk.
		Incarnation Incarnation `json:"incarnation"`
		// Stage tells whether the host votes.
		Stage Stage `json:"stage"`
		// Founders are the incarnations that the cluster began with.
		Founders Roster `json:"founders,omitempty"`
		// Known holds the newest incarnation of every control host.
		Known Roster `json:"known,omitempty"`
		// Registers lists the documents that have a register on disk.
		Registers []string `json:"registers,omitempty"`
	}

	// Saved is what a control host finds on its disk.
	Saved struct {
		// Identity is nil when there is none.
		Identity *Identity
		// Damaged reports that a file could not be read, or that one is
		// missing. Nothing of the votes then counts.
		Damaged bool
		// Registers are the votes.
		Registers []Register
		// Learnt are the learnt values.
		Learnt []Learnt
	}

	// Record is what must be synced: Identity, Register or Learnt.
	Record interface {
		record()
	}

	// Result ends an Apply or a Read.
	Result struct {
		// Ticket is what Apply or Read returned.
		Ticket uint64
		// Done is the accepted request, of an Apply.
		Done Request
		// Value is the document as a majority holds it.
		Value Value
		// Err is nil, ErrNoMajority, ErrRecovering, a *ConflictError or a
		// *ReusedError.
		Err error
	}

	// Output is what the caller must do after a step: sync Saves in their
	// order, then send Sends and hand out Results and Learnt. When a save
	// fails, nothing else may be done and the node must not be used again.
	Output struct {
		Saves   []Record
		Sends   []Envelope
		Results []Result
		// Learnt are newly learnt values.
		Learnt []Value
		Events []Event
	}

	// Counters count since the start.
	Counters struct {
		Proposals   int64
		BallotsLost int64
		Recoveries  int64
	}

	// Option sets one property of a Node.
	Option func(*Node)

	// Node is one control host's part in the agreement, as a state machine.
	// Use NewNode. It is not safe for concurrent use.
	Node struct {
		host     string
		others   []string
		cluster  uint64
		rng      *rand.Rand
		acceptor Acceptor
		identity Identity
		// durable holds the incarnations in the identity as last synced.
		durable  Roster
		names    map[string]bool
		round    uint64
		tickets  uint64
		queues   map[string][]*proposal
		heard    map[string]time.Time
		synced   map[string]time.Time
		fetches  uint64
		fetched  time.Time
		unlearnt map[string]time.Time
		recovery recovery
		hasQuota bool
		counters Counters
		out      Output
	}
)

// Stages of a control host.
const (
	// StageBlank is a host that has an empty disk and does not vote.
	StageBlank Stage = iota
	// StageDamaged is a host that has lost votes and does not vote.
	StageDamaged
	// StageVoting is a host that votes.
	StageVoting
)

const (
	// TickPeriod is the longest time between two calls of Tick.
	TickPeriod = 50 * time.Millisecond
	// CurrentAge is how long ago a majority may have confirmed what a host
	// has learnt for the host to count as current.
	CurrentAge = 4 * time.Second

	fetchPeriod = time.Second
	// firstFetchPeriod holds until a majority has confirmed this host.
	firstFetchPeriod = 200 * time.Millisecond
	finishAfter      = time.Second
	// epochMix spreads epochs over the digest of the hosts; it is odd, so that
	// no two epochs collide.
	epochMix      = 0x9e3779b97f4a7c15
	recoverPeriod = 250 * time.Millisecond
)

// ErrHosts reports a list of control hosts that does not hold the own host or
// holds one twice.
var ErrHosts = errors.New("quorum: the list of control hosts must hold this host, and each host once")

func (Identity) record() {}
func (Register) record() {}
func (Learnt) record()   {}

// String names the stage.
func (s Stage) String() string {
	switch s {
	case StageBlank:
		return "blank"
	case StageDamaged:
		return "damaged"
	case StageVoting:
		return "voting"
	}
	return "unknown"
}

// WithEpoch tells views of the same hosts apart, so that they do not hear each
// other; 0 is the default.
func WithEpoch(epoch uint64) Option {
	return func(n *Node) {
		if epoch > 0 {
			n.cluster ^= epoch * epochMix
		}
	}
}

// NewNode returns the node of host among hosts. The randomness of rng is used
// for incarnations and back-off; it must differ between lives of a host.
func NewNode(host string, hosts []string, rng *rand.Rand, opts ...Option) (*Node, error) {
	sorted := slices.Sorted(slices.Values(hosts))
	if !slices.Contains(sorted, host) || len(slices.Compact(slices.Clone(sorted))) != len(sorted) {
		return nil, ErrHosts
	}
	digest := fnv.New64a()
	for _, h := range sorted {
		digest.Write([]byte(h + "\n"))
	}
	n := &Node{
		host: host, cluster: digest.Sum64(), rng: rng,
		others:   slices.DeleteFunc(sorted, func(h string) bool { return h == host }),
		names:    make(map[string]bool),
		queues:   make(map[string][]*proposal),
		heard:    make(map[string]time.Time),
		synced:   make(map[string]time.Time),
		unlearnt: make(map[string]time.Time),
	}
	for _, opt := range opts {
		opt(n)
	}
	return n, nil
}

// Start takes in what the disk holds. It must be the first call.
func (n *Node) Start(now time.Time, saved Saved) Output {
	n.hasQuota = true
	for _, l := range saved.Learnt {
		n.acceptor.RestoreLearnt(l)
	}
	switch {
	case n.intact(saved):
		n.identity = *saved.Identity
		n.identity.Known = n.identity.Known.clone()
		n.restore(saved.Registers)
	case saved.Identity == nil && !saved.Damaged && len(saved.Registers)+len(saved.Learnt) == 0:
		n.newIncarnation(StageBlank, 1)
	default:
		var last uint64
		if saved.Identity != nil {
			last = saved.Identity.Incarnation.Number
			n.identity.Known = saved.Identity.Known
		}
		n.newIncarnation(StageDamaged, last+1)
	}
	if n.identity.Stage != StageVoting {
		n.event(Event{Kind: EventRecovering, Detail: n.identity.Stage.String()})
		n.recover(now)
		return n.take()
	}
	n.durable = n.identity.Known.clone()
	n.findUnlearnt(now)
	return n.take()
}

// intact reports whether the disk holds every vote given, or the host never
// voted in its incarnation.
func (n *Node) intact(saved Saved) bool {
	if saved.Identity == nil || saved.Damaged {
		return false
	}
	switch saved.Identity.Stage {
	case StageBlank:
		return len(saved.Registers) == 0
	case StageDamaged:
		return false // It may have voted in this incarnation before.
	case StageVoting:
	}
	held := make(map[string]bool, len(saved.Registers))
	for _, r := range saved.Registers {
		held[r.Name] = true
	}
	for _, name := range saved.Identity.Registers {
		if !held[name] {
			return false
		}
	}
	return true
}

// restore takes in the registers that the identity lists. Others are left over
// from a former incarnation, or from a crash before the list was synced, when
// nothing had been promised yet.
func (n *Node) restore(registers []Register) {
	if n.identity.Stage != StageVoting {
		return
	}
	for _, r := range registers {
		if !slices.Contains(n.identity.Registers, r.Name) {
			continue
		}
		n.acceptor.Restore(r)
		n.names[r.Name] = true
		n.round = max(n.round, r.Promised.Round)
	}
}

// newIncarnation begins another life that does not vote.
func (n *Node) newIncarnation(stage Stage, number uint64) {
	n.acceptor.registers = nil
	clear(n.names)
	n.identity = Identity{
		Incarnation: Incarnation{Number: number, Nonce: n.rng.Uint64()},
		Stage:       stage, Known: n.identity.Known.clone(),
	}
	n.identity.Known[n.host] = n.identity.Incarnation
	n.recovery = recovery{round: n.recovery.round}
	n.save(n.identity)
}

// Receive handles a message of another control host.
func (n *Node) Receive(now time.Time, e Envelope) Output {
	if e.Cluster != n.cluster || e.To != n.host || !slices.Contains(n.others, e.From) {
		n.event(Event{Kind: EventStranger, Host: e.From})
		return n.take()
	}
	n.heard[e.From] = now
	n.identity.Known.merge(e.Known)
	n.identity.Known.raise(e.From, e.Incarnation)
	if n.identity.Known[n.host].Compare(n.identity.Incarnation) > 0 {
		n.superseded(now)
		return n.take()
	}
	switch m := e.Message.(type) {
	case *Prepare:
		n.prepare(e.From, m)
	case *Promise:
		n.promised(now, e, m)
	case *Accept:
		n.accept(now, e.From, m)
	case *Accepted:
		n.accepted(now, e, m)
	case *Query:
		n.query(e.From, m)
	case *Answer:
		n.answered(now, e, m)
	case *Learn:
		n.learn(m.Value)
	case *Fetch:
		n.fetch(e.From, m)
	case *Values:
		n.values(e.From, m)
	case *Recover:
		n.snapshot(e, m)
	case *Snapshot:
		n.recovered(now, e, m)
	}
	return n.take()
}

// Tick lets time pass. It must be called at least every TickPeriod.
func (n *Node) Tick(now time.Time) Output {
	n.tickProposals(now)
	if n.identity.Stage != StageVoting {
		if now.Sub(n.recovery.asked) >= recoverPeriod {
			n.recover(now)
		}
		return n.take()
	}
	period := fetchPeriod
	if !n.Current(now) {
		period = firstFetchPeriod // Peers that start at the same time may not have heard the last one.
	}
	if now.Sub(n.fetched) >= period {
		n.startFetch(now)
	}
	n.finish(now)
	n.watchMajority(now)
	return n.take()
}

// Current reports whether a majority has lately confirmed that this host has
// learnt all that they have.
func (n *Node) Current(now time.Time) bool {
	confirmed := 1
	for _, at := range n.synced {
		if now.Sub(at) <= CurrentAge {
			confirmed++
		}
	}
	return n.identity.Stage == StageVoting && confirmed >= n.majority()
}

// Status tells how the host stands. The disk's counts are the caller's.
func (n *Node) Status(now time.Time) Status {
	s := Status{
		Host: n.host, Incarnation: n.identity.Incarnation.String(),
		Voting: n.identity.Stage == StageVoting, Current: n.Current(now),
		Registers: len(n.acceptor.learnt), Majority: n.majority(), Reachable: 1,
		BallotsLost: n.counters.BallotsLost, Recoveries: n.counters.Recoveries, Proposals: n.counters.Proposals,
	}
	if !s.Voting {
		s.Recovery = n.identity.Stage.String()
	}
	for _, h := range n.others {
		last, ok := n.heard[h]
		p := PeerStatus{Host: h, LastContact: last, Incarnation: n.identity.Known[h].String()}
		p.Reachable = ok && now.Sub(last) <= CurrentAge
		if p.Reachable {
			s.Reachable++
		}
		s.Peers = append(s.Peers, p)
	}
	return s
}

// Chosen returns the newest learnt value of every document, by name.
func (n *Node) Chosen() []Value {
	return n.acceptor.Chosen(nil)
}

// Learnt returns what is known of the document called name.
func (n *Node) Learnt(name string) Learnt {
	return n.acceptor.Learnt(name)
}

// watchMajority reports when contact with a majority is lost and found.
func (n *Node) watchMajority(now time.Time) {
	reachable := 1
	for _, at := range n.heard {
		if now.Sub(at) <= CurrentAge {
			reachable++
		}
	}
	has := reachable >= n.majority()
	if has == n.hasQuota {
		return
	}
	n.hasQuota = has
	kind := EventMajorityLost
	if has {
		kind = EventMajorityFound
	}
	n.event(Event{Kind: kind})
}

func (n *Node) majority() int {
	return Majority(len(n.others) + 1)
}

func (n *Node) take() Output {
	out := n.out
	n.out = Output{}
	return out
}

// save asks for a record to be synced before anything else leaves the node.
func (n *Node) save(r Record) {
	if v, ok := r.(Identity); ok {
		v.Known = v.Known.clone()
		n.durable = v.Known
		v.Registers = slices.Sorted(maps.Keys(n.names))
		r = v
	}
	n.out.Saves = append(n.out.Saves, r)
}

// saveRegister asks for a register to be synced, and for the identity when it
// does not list the register yet.
func (n *Node) saveRegister(r Register) {
	n.save(r)
	if !n.names[r.Name] {
		n.names[r.Name] = true
		n.save(n.identity)
	}
}

func (n *Node) send(to string, m Message) {
	n.out.Sends = append(n.out.Sends, Envelope{
		From: n.host, To: to, Incarnation: n.identity.Incarnation,
		Cluster: n.cluster, Known: n.identity.Known.clone(), Message: m,
	})
}

func (n *Node) broadcast(m Message) {
	for _, h := range n.others {
		n.send(h, m)
	}
}

func (n *Node) event(e Event) {
	n.out.Events = append(n.out.Events, e)
}
