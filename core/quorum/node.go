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
	// Stage is the voting state of a control host.
	Stage uint8

	// Identity is the durable state of a control host besides its registers
	// and learnt values.
	Identity struct {
		// Incarnation identifies the state of the disk.
		Incarnation Incarnation `json:"incarnation"`
		// Stage tells whether the host votes.
		Stage Stage `json:"stage"`
		// Unvoted is true in StageDamaged if the host was blank as it learnt a value: it has
		// not voted in this incarnation, and may be one of the founders.
		Unvoted bool `json:"unvoted,omitempty"`
		// Founders are the incarnations that bootstrapped the cluster.
		Founders Incarnations `json:"founders,omitempty"`
		// Known holds the newest known incarnation of every control host.
		Known Incarnations `json:"known,omitempty"`
		// Registers lists the documents that have a register on disk.
		Registers []string `json:"registers,omitempty"`
	}

	// Saved is the content of a control host's disk at the start.
	Saved struct {
		// Identity is nil if the disk holds none.
		Identity *Identity
		// Damaged reports that a file is missing or could not be read. The
		// registers are then not used.
		Damaged bool
		// Registers are the registers on disk.
		Registers []Register
		// Learnt are the learnt values on disk.
		Learnt []Learnt
	}

	// Record is the sealed set of records that the caller must sync to disk:
	// Identity, Register and Learnt.
	Record interface {
		record()
	}

	// Result is the outcome of an Apply or a Read.
	Result struct {
		// Ticket is the number that Apply or Read returned for this change or
		// read.
		Ticket uint64
		// Request is the accepted request of an Apply; zero if Err is not nil.
		Request Request
		// Value is the document as accepted by a majority; zero if Err is
		// ErrNoMajority or ErrRecovering.
		Value Value
		// Err is nil, ErrNoMajority, ErrRecovering, a *ConflictError, a
		// *RequestReusedError or a *ViewEndedError.
		Err error
	}

	// Output is what the caller must do after a step: sync Saves in order,
	// then send Sends, deliver Results and Learnt, and log Events. If a save
	// fails, the caller must do none of the rest and not use the node again.
	Output struct {
		Saves   []Record
		Sends   []Envelope
		Results []Result
		// Learnt are newly learnt values.
		Learnt []Value
		Events []Event
	}

	// Counters holds the node's totals since its start, as described in Status.
	Counters struct {
		Proposals   int64
		BallotsLost int64
		Recoveries  int64
	}

	// Option configures a Node.
	Option func(*Node)

	// Node is the state machine of one control host: proposer, acceptor and
	// learner. Use NewNode. It is not safe for concurrent use.
	Node struct {
		host  string
		peers []string // the other control hosts, sorted
		// clusterDigest is the digest of the list of control hosts and the epoch.
		clusterDigest uint64
		rng           *rand.Rand
		acceptor      Acceptor
		identity      Identity
		// syncedKnown is identity.Known as of the last save.
		syncedKnown   Incarnations
		registerNames map[string]bool
		// highestRound is the highest round seen in any ballot.
		highestRound uint64
		lastTicket   uint64
		// queues holds the proposals by document; the first one of each queue is
		// active, that is, in progress.
		queues map[string][]*proposal
		// rivals holds, by document, the proposer of another host that proposals wait for.
		rivals map[string]rival
		// announced holds, by document, the highest version that another host proposes.
		announced map[string]announcement
		// lastReceived is when the last message of each peer arrived.
		lastReceived map[string]time.Time
		// confirmedAt holds the start of the latest fetch that each peer has
		// answered in full.
		confirmedAt map[string]time.Time
		// fetchSequence and fetchStarted describe the latest fetch.
		fetchSequence uint64
		fetchStarted  time.Time
		// unlearntSince holds, by document, when a value was accepted that has
		// not been learnt yet. When a read of the value starts, the entry is set to a
		// random time up to unlearntReadDelay ahead, which delays the next read.
		unlearntSince map[string]time.Time
		recovery      recovery
		hasMajority   bool
		counters      Counters
		out           Output
	}
)

// Stages of a control host.
const (
	// StageBlank is the stage of a host with an empty disk; it does not vote.
	StageBlank Stage = iota
	// StageDamaged is the stage of a host that may have lost votes; it does
	// not vote.
	StageDamaged
	// StageVoting is the stage of a host that votes.
	StageVoting
)

const (
	// TickPeriod is the maximum time between two calls of Tick.
	TickPeriod = 50 * time.Millisecond
	// MaxContactAge is the maximum age of a confirmation for a host to count as
	// current, and of a message for its sender to count as reachable.
	MaxContactAge = 4 * time.Second

	// fetchPeriod is the time between two fetches of a current host.
	fetchPeriod = time.Second
	// unconfirmedFetchPeriod is the time between two fetches of a host that is
	// not current.
	unconfirmedFetchPeriod = 200 * time.Millisecond
	// unlearntReadDelay is the time after which an accepted value that has not
	// been learnt is read through a majority.
	unlearntReadDelay = time.Second
	// epochMultiplier spreads the bits of an epoch before it is combined with
	// the digest of the hosts; it is odd, so that no two epochs collide.
	epochMultiplier = 0x9e3779b97f4a7c15
	// recoverPeriod is the time after which a host that does not vote yet
	// starts another round of its recovery.
	recoverPeriod = 250 * time.Millisecond
)

// ErrHosts reports a list of control hosts that lacks this host or contains a
// host twice.
var ErrHosts = errors.New("quorum: the list of control hosts must hold this host, and each host once")

func (Identity) record() {}
func (Register) record() {}
func (Learnt) record()   {}

// String returns the name of the stage, "unknown" for an undefined one.
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

// WithEpoch sets the epoch of the view. Nodes of the same hosts but different
// epochs ignore each other's messages. The default is 0.
func WithEpoch(epoch uint64) Option {
	return func(n *Node) {
		if epoch > 0 {
			n.clusterDigest ^= epoch * epochMultiplier
		}
	}
}

// NewNode returns the node of host, which must be one of hosts. It returns
// ErrHosts otherwise, or if a host is listed twice. rng supplies nonces of
// incarnations and backoff jitter; it must differ between processes of a host.
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
		host: host, clusterDigest: digest.Sum64(), rng: rng,
		peers:         slices.DeleteFunc(sorted, func(h string) bool { return h == host }),
		registerNames: make(map[string]bool),
		queues:        make(map[string][]*proposal),
		rivals:        make(map[string]rival),
		announced:     make(map[string]announcement),
		lastReceived:  make(map[string]time.Time),
		confirmedAt:   make(map[string]time.Time),
		unlearntSince: make(map[string]time.Time),
	}
	for _, opt := range opts {
		opt(n)
	}
	return n, nil
}

// Start restores the state from disk. It must be the first call.
func (n *Node) Start(now time.Time, saved Saved) Output {
	n.hasMajority = true
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
	case saved.unvoted():
		// A new incarnation would not be one of the founders, and would need the votes of more
		// hosts to recover than this one does.
		n.identity = *saved.Identity
		n.identity.Known = n.identity.Known.clone()
	default:
		var last uint64
		if saved.Identity != nil {
			last = saved.Identity.Incarnation.Number
			n.identity.Known = saved.Identity.Known
		}
		n.newIncarnation(StageDamaged, last+1)
	}
	if n.identity.Stage != StageVoting {
		n.emit(Event{Kind: EventRecovering, Detail: n.identity.Stage.String()})
		n.requestSnapshots(now)
		return n.takeOutput()
	}
	n.syncedKnown = n.identity.Known.clone()
	n.trackAllUnlearnt(now)
	return n.takeOutput()
}

// unvoted reports whether the host has not voted in the incarnation on its disk.
func (s *Saved) unvoted() bool {
	return s.Identity != nil && !s.Damaged && s.Identity.Stage == StageDamaged && s.Identity.Unvoted && len(s.Registers) == 0
}

// intact reports whether the disk holds all votes of its incarnation. This is
// also true of a blank disk without registers, because a blank host never votes.
func (n *Node) intact(saved Saved) bool {
	if saved.Identity == nil || saved.Damaged {
		return false
	}
	switch saved.Identity.Stage {
	case StageBlank:
		return len(saved.Registers) == 0
	case StageDamaged:
		return false // The host may have voted in this incarnation.
	case StageVoting:
	}
	found := make(map[string]bool, len(saved.Registers))
	for _, r := range saved.Registers {
		found[r.Name] = true
	}
	for _, name := range saved.Identity.Registers {
		if !found[name] {
			return false
		}
	}
	return true
}

// restore loads the registers that the identity lists. Other registers belong
// to an earlier incarnation, or to a crash before the list was synced, when no
// promise had been sent yet.
func (n *Node) restore(registers []Register) {
	if n.identity.Stage != StageVoting {
		return
	}
	for _, r := range registers {
		if !slices.Contains(n.identity.Registers, r.Name) {
			continue
		}
		n.acceptor.Restore(r)
		n.registerNames[r.Name] = true
		n.highestRound = max(n.highestRound, r.Promised.Round)
	}
}

// newIncarnation discards all registers and starts an incarnation with the given
// number in the given stage, StageBlank or StageDamaged; it does not vote.
func (n *Node) newIncarnation(stage Stage, number uint64) {
	n.acceptor.registers = nil
	clear(n.registerNames)
	n.identity = Identity{
		Incarnation: Incarnation{Number: number, Nonce: n.rng.Uint64()},
		Stage:       stage, Known: n.identity.Known.clone(),
	}
	n.identity.Known[n.host] = n.identity.Incarnation
	n.recovery = recovery{round: n.recovery.round}
	n.save(n.identity)
}

// Receive handles a message from another control host.
func (n *Node) Receive(now time.Time, e Envelope) Output {
	if e.ClusterDigest != n.clusterDigest || e.To != n.host || !slices.Contains(n.peers, e.From) {
		// The message is not from this cluster, or misdirected.
		n.emit(Event{Kind: EventOtherCluster, Host: e.From})
		return n.takeOutput()
	}
	n.lastReceived[e.From] = now
	n.identity.Known.merge(e.Known)
	n.identity.Known.update(e.From, e.Incarnation)
	if n.identity.Known[n.host].Compare(n.identity.Incarnation) > 0 {
		// A peer knows a newer incarnation of this host, so the votes of this one
		// are void.
		n.replaceIncarnation(now)
		return n.takeOutput()
	}
	switch m := e.Message.(type) {
	case *Prepare:
		n.handlePrepare(now, e.From, m)
	case *Promise:
		n.handlePromise(now, e, m)
	case *Accept:
		n.handleAccept(now, e.From, m)
	case *Accepted:
		n.handleAccepted(now, e, m)
	case *Query:
		n.handleQuery(e.From, m)
	case *Answer:
		n.handleAnswer(now, e, m)
	case *Learn:
		n.endRival(m.Value.Name, e.From)
		n.learn(m.Value)
	case *Fetch:
		n.handleFetch(e.From, m)
	case *Values:
		n.handleValues(e.From, m)
	case *Recover:
		n.handleRecover(e, m)
	case *Snapshot:
		n.handleSnapshot(now, e, m)
	}
	return n.takeOutput()
}

// Tick runs timeouts and periodic work. It must be called at least every
// TickPeriod.
func (n *Node) Tick(now time.Time) Output {
	n.tickProposals(now)
	if n.identity.Stage != StageVoting {
		if now.Sub(n.recovery.requestedAt) >= recoverPeriod {
			n.requestSnapshots(now)
		}
		return n.takeOutput()
	}
	period := fetchPeriod
	if !n.Current(now) {
		period = unconfirmedFetchPeriod // Peers that start at the same time may have missed the last fetch.
	}
	if now.Sub(n.fetchStarted) >= period {
		n.broadcastFetch(now)
	}
	n.readUnlearnt(now)
	n.watchMajority(now)
	return n.takeOutput()
}

// Current reports whether this host votes and a majority, counting this host, has
// confirmed that it has learnt all values that the hosts of the majority had. Only
// replies to fetches that started at most MaxContactAge ago confirm it.
func (n *Node) Current(now time.Time) bool {
	confirmed := 1
	for _, at := range n.confirmedAt {
		if now.Sub(at) <= MaxContactAge {
			confirmed++
		}
	}
	return n.identity.Stage == StageVoting && confirmed >= n.majority()
}

// Status returns the state of the host. The caller fills in DiskSyncs and
// DiskFailures.
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
	for _, h := range n.peers {
		last, ok := n.lastReceived[h]
		p := PeerStatus{Host: h, LastContact: last, Incarnation: n.identity.Known[h].String()}
		p.Reachable = ok && now.Sub(last) <= MaxContactAge
		if p.Reachable {
			s.Reachable++
		}
		s.Peers = append(s.Peers, p)
	}
	return s
}

// Chosen returns the newest learnt value of every document, sorted by name.
func (n *Node) Chosen() []Value {
	return n.acceptor.Chosen(nil)
}

// Accepted returns the value that this host has accepted for the document called name,
// whether it is chosen or not, and false while the host does not vote. If a majority of the
// voting hosts has accepted no newer value, none had been chosen when the first of them was
// asked.
func (n *Node) Accepted(name string) (Value, bool) {
	if n.identity.Stage != StageVoting {
		return Value{}, false
	}
	return n.acceptor.Register(name).Value, true
}

// Learnt returns the learner state of the document called name, empty if there
// is none.
func (n *Node) Learnt(name string) Learnt {
	return n.acceptor.Learnt(name)
}

// watchMajority emits an event when contact with a majority is lost or regained.
func (n *Node) watchMajority(now time.Time) {
	reachable := 1
	for _, at := range n.lastReceived {
		if now.Sub(at) <= MaxContactAge {
			reachable++
		}
	}
	hasMajority := reachable >= n.majority()
	if hasMajority == n.hasMajority {
		return
	}
	n.hasMajority = hasMajority
	kind := EventMajorityLost
	if hasMajority {
		kind = EventMajorityFound
	}
	n.emit(Event{Kind: kind})
}

func (n *Node) majority() int {
	return Majority(len(n.peers) + 1)
}

// takeOutput returns the collected output and resets it.
func (n *Node) takeOutput() Output {
	out := n.out
	n.out = Output{}
	return out
}

// save adds a record to the output; the caller syncs it before it sends anything.
func (n *Node) save(r Record) {
	if v, ok := r.(Identity); ok {
		v.Known = v.Known.clone()
		n.syncedKnown = v.Known
		v.Registers = slices.Sorted(maps.Keys(n.registerNames))
		r = v
	}
	n.out.Saves = append(n.out.Saves, r)
}

// saveRegister saves a register, and the identity too if the identity does not
// list the register yet.
func (n *Node) saveRegister(r Register) {
	n.save(r)
	if !n.registerNames[r.Name] {
		n.registerNames[r.Name] = true
		n.save(n.identity)
	}
}

// send adds a message to another host to the output.
func (n *Node) send(to string, m Message) {
	n.out.Sends = append(n.out.Sends, Envelope{
		From: n.host, To: to, Incarnation: n.identity.Incarnation,
		ClusterDigest: n.clusterDigest, Known: n.identity.Known.clone(), Message: m,
	})
}

// broadcast adds a message to each peer to the output.
func (n *Node) broadcast(m Message) {
	for _, h := range n.peers {
		n.send(h, m)
	}
}

// emit adds an event to the output.
func (n *Node) emit(e Event) {
	n.out.Events = append(n.out.Events, e)
}
