package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"cardamomspool/core/crash"
	"cardamomspool/core/member"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
	"cardamomspool/io/setup"
	"cardamomspool/io/telem"
)

// membership runs the member.Node of this host: it sends the node's messages to
// other entry hosts and passes their messages to the node. Package member explains
// the records, Ticks, evidence, digests and repairs.
type membership struct {
	peerpb.UnimplementedMembershipServer
	log      *slog.Logger
	metrics  *telem.Registry
	activity activityTracker
	crashes  *crash.Table         // That of the host.
	peers    map[string]*peerConn // Connections to the other entry hosts, by host name.
	// onTargets receives the changed targets of a service. It is called with mu
	// held, so that the newest targets are delivered last.
	onTargets func(service string, targets []member.Record)

	// synced is closed when another entry host has first shown what it knows, or there is
	// none.
	synced     chan struct{}
	syncedOnce sync.Once

	mu                   sync.Mutex
	ctx                  context.Context
	node                 *member.Node
	nextID               uint64                        // The ID of the last member.Announce.
	pendingAnnouncements map[uint64]chan member.Action // By the ID of member.Announce.
	// wake makes run deliver a Tick before nextTick.
	wake chan struct{}
	// nextTick is when run delivers the next Tick to the node.
	nextTick time.Time
}

const (
	// evidenceInterval is the shortest time between two calls of reportEvidence.
	evidenceInterval = time.Second
)

var _ peerpb.MembershipServer = (*membership)(nil)

func newMembership(cfg *setup.Entry, log *slog.Logger, metrics *telem.Registry) *membership {
	m := &membership{
		log: log, metrics: metrics, peers: make(map[string]*peerConn),
		onTargets: func(string, []member.Record) {}, ctx: context.Background(),
		pendingAnnouncements: make(map[uint64]chan member.Action), wake: make(chan struct{}, 1),
		synced: make(chan struct{}),
	}
	traffic := trafficOf(metrics, "peer")
	var names []string
	for _, p := range cfg.Entries {
		if p.Host == cfg.Host {
			continue
		}
		names = append(names, p.Host)
		m.peers[p.Host] = newPeerConn(cfg.Host, p, traffic)
	}
	if len(names) == 0 {
		m.setSynced()
	}
	m.node = member.NewNode(cfg.Host, names, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		member.WithInterval(cfg.AnnounceInterval.Std()), member.WithAnnounceAddress(cfg.AnnounceAddress))
	m.activity.onState = func(o member.Observe) { m.handle(o) }
	return m
}

// trafficOf returns the byte counters of one kind of control traffic.
func trafficOf(metrics *telem.Registry, kind string) peer.Traffic {
	return peer.Traffic{In: metrics.Counter(kind + "_bytes_in"), Out: metrics.Counter(kind + "_bytes_out")}
}

// run delivers Ticks and evidence to the node until ctx ends, and then closes the
// connections to other entry hosts.
func (m *membership) run(ctx context.Context) {
	m.mu.Lock()
	m.ctx = ctx
	m.mu.Unlock()
	defer m.close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for nextEvidence := time.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		case <-timer.C:
		}
		if now := time.Now(); !now.Before(nextEvidence) {
			nextEvidence = now.Add(evidenceInterval)
			m.reportEvidence()
		}
		m.handle(member.Tick{})
		timer.Reset(time.Until(m.scheduleTick()))
	}
}

// scheduleTick sets and returns the time of the next Tick.
func (m *membership) scheduleTick() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nextTick = m.node.NextTick()
	return m.nextTick
}

// close closes the connections to other entry hosts for good.
func (m *membership) close() {
	for _, p := range m.peers {
		p.close()
	}
}

// reportEvidence tells the node when suspect targets last answered or failed a
// call here, and removes targets that the node does not know from m.activity.
func (m *membership) reportEvidence() {
	m.mu.Lock()
	suspects := m.node.Suspects(nil)
	known := make(map[member.Key]bool)
	for _, r := range m.node.Records(nil) {
		known[r.Key] = true
	}
	m.mu.Unlock()
	m.activity.retainOnly(known)
	for _, k := range suspects {
		m.handle(m.activity.evidenceFor(k))
	}
}

// handle passes an event to the node, executes the resulting actions and returns
// the reply to another host's message, or nil.
func (m *membership) handle(e member.Event) member.Reply {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.execute(m.node.Handle(nil, e, time.Now()))
}

// execute executes the node's actions and returns the reply among them, or nil.
// The caller holds mu.
func (m *membership) execute(actions []member.Action) member.Reply {
	var reply member.Reply
	changed := make(map[string]bool)
	for _, action := range actions {
		switch a := action.(type) {
		case member.Send:
			go m.send(m.ctx, a)
		case member.Respond:
			reply = a.Reply
		case member.Accept:
			m.deliverResult(a.ID, a)
		case member.Reject:
			m.deliverResult(a.ID, a)
		case member.RecordChanged:
			m.logChange(a.Record)
		case member.TargetsChanged:
			changed[a.Service] = true
		}
	}
	for service := range changed {
		m.onTargets(service, m.node.UsableTargets(nil, service))
	}
	if m.node.NextTick().Before(m.nextTick) {
		m.wakeUp()
	}
	return reply
}

// wakeUp makes run deliver a Tick now.
func (m *membership) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// deliverResult completes the announcement with the given ID. The caller holds
// mu.
func (m *membership) deliverResult(id uint64, a member.Action) {
	if c, ok := m.pendingAnnouncements[id]; ok {
		c <- a
		delete(m.pendingAnnouncements, id)
	}
}

func (m *membership) logChange(r member.Record) {
	m.metrics.Counter("target_changes").Add(1)
	m.log.Info("target changed", "service", r.Service, "target", r.Target, "address", r.Address.String(),
		"state", r.State.String(), "incarnation", r.Incarnation, "voucher", r.Owner, "epoch", r.Epoch, "lapsed", r.LeaseExpired)
}

// send sends one message to another entry host and passes the reply, or that there
// is none, to the node.
func (m *membership) send(ctx context.Context, s member.Send) {
	reply, err := m.peers[s.To].send(ctx, s.Message)
	if err != nil {
		m.metrics.Counter("peer_messages_failed").Add(1)
		m.log.Debug("message to entry host failed", "peer", s.To, "error", err)
		m.handle(member.SendFailed{ID: s.ID})
		return
	}
	m.handle(member.SendReplied{ID: s.ID, Reply: reply})
	switch r := reply.(type) {
	case member.DigestReply:
		if r.Same {
			m.setSynced()
		}
	case member.RepairReply:
		m.setSynced()
	}
}

// setSynced records that this host knows what another one knows.
func (m *membership) setSynced() {
	m.syncedOnce.Do(func() { close(m.synced) })
}

// awaitTargets waits for the targets of a service, if this host has just started and knows
// of none, as long as awaitAll says for a call with the given time.
func (m *membership) awaitTargets(ctx context.Context, service string, timeout time.Duration) {
	if isClosed(m.synced) {
		return
	}
	m.mu.Lock()
	known := len(m.node.UsableTargets(nil, service)) > 0
	m.mu.Unlock()
	if !known {
		awaitAll(ctx, timeout, m.synced)
	}
}

// announce passes an announcement to the node and waits for its result, which is
// a member.Accept or a member.Reject. It returns the error of ctx when that ends
// first.
func (m *membership) announce(ctx context.Context, r member.Record) (member.Action, error) {
	result := make(chan member.Action, 1)
	m.mu.Lock()
	m.nextID++
	id := m.nextID
	m.pendingAnnouncements[id] = result
	m.execute(m.node.Handle(nil, member.Announce{ID: id, Record: r}, time.Now()))
	m.mu.Unlock()
	select {
	case a := <-result:
		return a, nil
	case <-ctx.Done():
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.pendingAnnouncements, id)
		return nil, ctx.Err()
	}
}

// publishTargets calls onTargets for one service.
func (m *membership) publishTargets(service string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onTargets(service, m.node.UsableTargets(nil, service))
}

// all returns every record, including those of departed targets.
func (m *membership) all() []member.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.Records(nil)
}

// usable returns the number of usable targets.
func (m *membership) usable() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.UsableCount()
}

// find returns the record of a target, and false when it is not known.
func (m *membership) find(k member.Key) (member.Record, bool) {
	for _, r := range m.all() {
		if r.Key == k {
			return r, true
		}
	}
	return member.Record{}, false
}

// receive passes another host's message to the node and returns the reply. It
// returns a gRPC status error when the node gives none.
func (m *membership) receive(from string, message member.Message) (member.Reply, error) {
	if p, ok := m.peers[from]; ok {
		p.resetBackoff()
	}
	reply := m.handle(member.Receive{From: from, Message: message})
	if reply == nil {
		return nil, status.Error(codes.Internal, "the message has no response")
	}
	return reply, nil
}

// Spread receives records that changed at another entry host.
func (m *membership) Spread(_ context.Context, req *peerpb.SpreadRequest) (*peerpb.SpreadReply, error) {
	if _, err := m.receive(req.GetHost(), member.Spread{Records: m.decodeRecords(req.GetHost(), req.GetRecords())}); err != nil {
		return nil, err
	}
	return &peerpb.SpreadReply{}, nil
}

// Digest compares the checksum of another host's records with the checksum of this
// host's. If they differ, the reply has this host's checksum of each bucket.
func (m *membership) Digest(_ context.Context, req *peerpb.DigestRequest) (*peerpb.DigestReply, error) {
	digest := member.Digest{Sum: req.GetSum(), AnnounceAddress: peer.ParseAddress(req.GetAnnounceAddress())}
	response, err := m.receive(req.GetHost(), digest)
	if err != nil {
		return nil, err
	}
	reply, _ := response.(member.DigestReply)
	return &peerpb.DigestReply{Same: reply.Same, Sums: reply.Sums, AnnounceAddress: reply.AnnounceAddress.String()}, nil
}

// Repair receives the records of the buckets that differ and replies with the records
// of this host.
func (m *membership) Repair(_ context.Context, req *peerpb.RepairRequest) (*peerpb.RepairReply, error) {
	repair := member.Repair{Mask: req.GetMask(), Records: m.decodeRecords(req.GetHost(), req.GetRecords())}
	response, err := m.receive(req.GetHost(), repair)
	if err != nil {
		return nil, err
	}
	reply, _ := response.(member.RepairReply)
	return &peerpb.RepairReply{Records: peer.FromRecords(reply.Records)}, nil
}

// decodeRecords decodes records from the named host. It logs how many were invalid
// and leaves them out.
func (m *membership) decodeRecords(from string, messages []*peerpb.Record) []member.Record {
	records, refused := peer.ToRecords(messages)
	if refused > 0 {
		m.log.Warn("invalid records from entry host refused", "peer", from, "count", refused)
	}
	return records
}
