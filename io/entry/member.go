package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"cardamomspool/core/member"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
	"cardamomspool/io/setup"
	"cardamomspool/io/telem"
)

// membership runs the member.Node of this host. It carries the node's
// messages to other entry hosts and serves theirs.
type membership struct {
	peerpb.UnimplementedMembershipServer
	log      *slog.Logger
	metrics  *telem.Set
	evidence evidence
	peers    map[string]*peerConn
	// retarget is called with the mutex held, so that the newest targets of a
	// service are handed over last.
	retarget func(service string, targets []member.Record)

	mu      sync.Mutex
	ctx     context.Context
	node    *member.Node
	nextID  uint64
	answers map[uint64]chan member.Action
	// wake tells run that a Tick is due before the one it waits for.
	wake chan struct{}
	// armed is when run gives the node its next Tick.
	armed time.Time
}

const (
	evidencePeriod = time.Second
)

var _ peerpb.MembershipServer = (*membership)(nil)

func newMembership(cfg *setup.Entry, log *slog.Logger, metrics *telem.Set) *membership {
	m := &membership{
		log: log, metrics: metrics, peers: make(map[string]*peerConn),
		retarget: func(string, []member.Record) {}, ctx: context.Background(),
		answers: make(map[uint64]chan member.Action), wake: make(chan struct{}, 1),
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
	m.node = member.NewNode(cfg.Host, names, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		member.WithInterval(cfg.AnnounceInterval.Std()), member.WithAnnounceAddress(cfg.AnnounceAddress))
	m.evidence.mark = func(o member.Observe) { m.handle(o) }
	return m
}

// trafficOf returns the counters of one kind of control traffic.
func trafficOf(metrics *telem.Set, kind string) peer.Traffic {
	return peer.Traffic{In: metrics.Count(kind + "_bytes_in"), Out: metrics.Count(kind + "_bytes_out")}
}

// run lets time pass in the node until ctx ends, and then closes the
// connections to other entry hosts.
func (m *membership) run(ctx context.Context) {
	m.mu.Lock()
	m.ctx = ctx
	m.mu.Unlock()
	defer m.close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for next := time.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		case <-timer.C:
		}
		if now := time.Now(); !now.Before(next) {
			next = now.Add(evidencePeriod)
			m.giveEvidence()
		}
		m.handle(member.Tick{})
		timer.Reset(time.Until(m.arm()))
	}
}

// arm sets when run gives the node its next Tick and returns it.
func (m *membership) arm() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.armed = m.node.Wake()
	return m.armed
}

func (m *membership) close() {
	for _, p := range m.peers {
		p.close()
	}
}

// giveEvidence tells the node which suspect targets answer calls.
func (m *membership) giveEvidence() {
	m.mu.Lock()
	suspects := m.node.Suspects(nil)
	known := make(map[member.Key]bool)
	for _, r := range m.node.All(nil) {
		known[r.Key] = true
	}
	m.mu.Unlock()
	m.evidence.keep(known)
	for _, k := range suspects {
		m.handle(m.evidence.of(k))
	}
}

// handle gives the node one event, carries out the actions that follow and
// returns the response to another host's message, if there is one.
func (m *membership) handle(e member.Event) member.Reply {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.carryOut(m.node.Handle(nil, e, time.Now()))
}

func (m *membership) carryOut(actions []member.Action) member.Reply {
	var response member.Reply
	moved := make(map[string]bool)
	for _, action := range actions {
		switch a := action.(type) {
		case member.Send:
			go m.send(m.ctx, a)
		case member.Respond:
			response = a.Reply
		case member.Accept:
			m.answer(a.ID, a)
		case member.Reject:
			m.answer(a.ID, a)
		case member.Changed:
			m.logChange(a.Record)
		case member.Retarget:
			moved[a.Service] = true
		}
	}
	for service := range moved {
		m.retarget(service, m.node.Service(nil, service))
	}
	if m.node.Wake().Before(m.armed) {
		m.wakeUp()
	}
	return response
}

func (m *membership) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *membership) answer(id uint64, a member.Action) {
	if c, ok := m.answers[id]; ok {
		c <- a
		delete(m.answers, id)
	}
}

func (m *membership) logChange(r member.Record) {
	m.metrics.Count("target_changes").Add(1)
	m.log.Info("target changed", "service", r.Service, "target", r.Target, "address", r.Address.String(),
		"state", r.State.String(), "incarnation", r.Incarnation, "voucher", r.Voucher, "epoch", r.Epoch, "lapsed", r.Lapsed)
}

func (m *membership) send(ctx context.Context, s member.Send) {
	reply, err := m.peers[s.To].send(ctx, s.Message)
	if err != nil {
		m.metrics.Count("peer_messages_failed").Add(1)
		m.log.Debug("entry host does not answer", "peer", s.To, "error", err)
		m.handle(member.Failed{ID: s.ID})
		return
	}
	m.handle(member.Replied{ID: s.ID, Reply: reply})
}

// announced gives the node an announcement and waits for its answer.
func (m *membership) announced(ctx context.Context, r member.Record) (member.Action, error) {
	answer := make(chan member.Action, 1)
	m.mu.Lock()
	m.nextID++
	id := m.nextID
	m.answers[id] = answer
	m.carryOut(m.node.Handle(nil, member.Announce{ID: id, Record: r}, time.Now()))
	m.mu.Unlock()
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.answers, id)
		return nil, ctx.Err()
	}
}

// handOver calls the retarget function for one service.
func (m *membership) handOver(service string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.retarget(service, m.node.Service(nil, service))
}

// all returns every record, departed targets included.
func (m *membership) all() []member.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.All(nil)
}

func (m *membership) usable() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.Usable()
}

// receive gives the node a message of another host and returns the response.
func (m *membership) receive(from string, message member.Message) (member.Reply, error) {
	if p, ok := m.peers[from]; ok {
		p.heard()
	}
	reply := m.handle(member.Receive{From: from, Message: message})
	if reply == nil {
		return nil, status.Error(codes.Internal, "the message has no response")
	}
	return reply, nil
}

// Spread takes records that changed at another entry host.
func (m *membership) Spread(_ context.Context, req *peerpb.SpreadRequest) (*peerpb.SpreadReply, error) {
	if _, err := m.receive(req.GetHost(), member.Spread{Records: m.records(req.GetHost(), req.GetRecords())}); err != nil {
		return nil, err
	}
	return &peerpb.SpreadReply{}, nil
}

// Digest compares this host's table with another's.
func (m *membership) Digest(_ context.Context, req *peerpb.DigestRequest) (*peerpb.DigestReply, error) {
	digest := member.Digest{Sum: req.GetSum(), AnnounceAddress: peer.ToAddress(req.GetAnnounceAddress())}
	response, err := m.receive(req.GetHost(), digest)
	if err != nil {
		return nil, err
	}
	reply, _ := response.(member.DigestReply)
	return &peerpb.DigestReply{Same: reply.Same, Sums: reply.Sums, AnnounceAddress: reply.AnnounceAddress.String()}, nil
}

// Repair exchanges the records of some buckets.
func (m *membership) Repair(_ context.Context, req *peerpb.RepairRequest) (*peerpb.RepairReply, error) {
	repair := member.Repair{Mask: req.GetMask(), Records: m.records(req.GetHost(), req.GetRecords())}
	response, err := m.receive(req.GetHost(), repair)
	if err != nil {
		return nil, err
	}
	reply, _ := response.(member.RepairReply)
	return &peerpb.RepairReply{Records: peer.FromRecords(reply.Records)}, nil
}

func (m *membership) records(from string, messages []*peerpb.Record) []member.Record {
	records, refused := peer.ToRecords(messages)
	if refused > 0 {
		m.log.Warn("records refused", "peer", from, "count", refused)
	}
	return records
}
