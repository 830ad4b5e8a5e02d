package place

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"cardamomspool/core/engine"
	"cardamomspool/core/rank"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
	"cardamomspool/io/telem"
)

type (
	// ClientPool keeps one stream from an entry host to each control host. Use
	// NewClientPool.
	ClientPool struct {
		controlAddresses func() []netip.AddrPort
		informed         func(netip.AddrPort) (informed, known bool)
		log              *slog.Logger
		metrics          *telem.Registry
		traffic          peer.Traffic

		mu        sync.Mutex
		running   map[netip.AddrPort]*runningStream // Control hosts with a running maintainStream.
		connected map[netip.AddrPort]*Client        // Control hosts with an open stream.
	}

	// runningStream is what is known of a control host since maintainStream began.
	runningStream struct {
		begin  time.Time
		opened bool // A stream was open.
	}

	// Client is the entry host's side of a stream to one control host. It is obtained
	// from ClientPool.Pick, and of no use once the stream has ended.
	Client struct {
		address  netip.AddrPort
		log      *slog.Logger
		outgoing *queue[*peerpb.CallEvent]

		mu        sync.Mutex
		callbacks map[uint64]Callbacks // Of the registered calls, by their ID at this entry host.
		closed    bool                 // The stream has ended.
		// avoidUntil is when the control host may be picked again after missed
		// decisions.
		avoidUntil      time.Time
		missedDecisions int           // Missed since the last decision that arrived in time.
		avoidFor        time.Duration // How long to avoid the control host the next time.
		lastReceived    time.Time     // When the last decision arrived, late ones included.
	}

	// Callbacks receive the decisions about one call. Neither may block.
	Callbacks struct {
		// OnDecision receives a decision.
		OnDecision func(engine.Action)
		// OnStreamLost is called when the stream ends before the call does.
		OnStreamLost func()
	}
)

const (
	// discoveryInterval is the time between two calls of controlAddresses that look
	// for new control hosts.
	discoveryInterval = 100 * time.Millisecond
	// maxMissedDecisions is the number of consecutive missed decisions after
	// which a control host is not picked for avoidDuration. That doubles, up to
	// maxAvoidDuration, while it goes on missing them.
	maxMissedDecisions = 2
	avoidDuration      = time.Second
	maxAvoidDuration   = 4 * time.Second
	// silenceLimit is how long a control host that misses decisions may send nothing
	// at all until the stream counts as broken. A busy host goes on sending; opening
	// another stream to it would add to its load.
	silenceLimit = time.Second
	// settleTime is how long after it was found a control host counts as the one that
	// other hosts ask although there is no stream to it yet, or it has not said whether
	// it is informed.
	settleTime = time.Second
	// maxCandidates is more than the control hosts of a fleet; others are not asked.
	maxCandidates = 64
)

// errUnresponsive is the cause with which this host ends a stream whose control host
// does not answer; see Client.unresponsive.
var errUnresponsive = errors.New("place: the control host does not answer")

// NewClientPool returns a pool of clients for the control hosts whose addresses
// controlAddresses returns. informed reports whether a control host knows what the others
// have acknowledged, and whether it has said so yet. The pool adds the bytes of the
// streams to traffic.
func NewClientPool(controlAddresses func() []netip.AddrPort, informed func(netip.AddrPort) (informed, known bool), traffic peer.Traffic, log *slog.Logger, metrics *telem.Registry) *ClientPool {
	return &ClientPool{
		controlAddresses: controlAddresses, informed: informed, log: log, metrics: metrics, traffic: traffic,
		running: make(map[netip.AddrPort]*runningStream), connected: make(map[netip.AddrPort]*Client),
	}
}

// Run maintains a stream to each control host until ctx ends. It looks for new
// control hosts every discoveryInterval.
func (p *ClientPool) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(discoveryInterval)
	defer ticker.Stop()
	for {
		for _, address := range p.controlAddresses() {
			p.mu.Lock()
			start := p.running[address] == nil
			if start {
				p.running[address] = &runningStream{begin: time.Now()}
			}
			p.mu.Unlock()
			if start {
				group.Go(func() { p.maintainStream(ctx, address) })
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Pick returns the client of the control host that decides for a service, as rank.Choose
// says for those that are connected. It returns nil when this host must decide itself:
// there is none, or the one that all hosts will choose is not ready to be asked. Hosts
// that have just started would otherwise each ask another one, which would then decide
// without the calls of the others and probe the same targets.
func (p *ClientPool) Pick(service string, now time.Time) *Client {
	client, _ := p.choose(service, now)
	return client
}

// Settling reports whether Pick returns nil because the control host that all hosts will
// choose is not ready to be asked.
func (p *ClientPool) Settling(service string, now time.Time) bool {
	client, chosen := p.choose(service, now)
	return client == nil && chosen
}

// choose implements Pick and reports whether a control host was chosen.
func (p *ClientPool) choose(service string, now time.Time) (client *Client, chosen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var (
		clients    [maxCandidates]*Client // nil for one that must not be asked yet.
		candidates [maxCandidates]rank.Candidate
		n          int
	)
	for address, stream := range p.running {
		client := p.connected[address]
		informed, known := p.informed(address)
		settling := now.Sub(stream.begin) < settleTime && (client == nil && !stream.opened || client != nil && !known)
		if client == nil && !settling || n == maxCandidates {
			continue
		}
		candidates[n] = rank.Candidate{Host: address, Informed: informed || settling}
		if !settling {
			clients[n], candidates[n].Late = client, client.late(now)
		}
		n++
	}
	i := rank.Choose(service, candidates[:n])
	if i < 0 {
		return nil, false
	}
	return clients[i], true
}

// maintainStream reopens the stream to one control host for as long as
// controlAddresses lists it.
func (p *ClientPool) maintainStream(ctx context.Context, address netip.AddrPort) {
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.running, address)
	}()
	wanted := func() bool { return slices.Contains(p.controlAddresses(), address) }
	peer.Reconnect(ctx, wanted, func() bool { return p.runStream(ctx, address) })
}

// runStream opens a stream and exchanges events and decisions until it ends. It
// reports whether the stream was opened.
func (p *ClientPool) runStream(ctx context.Context, address netip.AddrPort) bool {
	var (
		conn   *grpc.ClientConn
		stream peerpb.Fleet_PlaceClient
		err    error
	)
	if conn, err = peer.Dial(address, peer.WithTraffic(p.traffic)); err != nil {
		p.log.Error("control host not dialled", "address", address.String(), "error", err)
		return false
	}
	defer conn.Close()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if stream, err = peerpb.NewFleetClient(conn).Place(ctx); err != nil {
		p.log.Debug("stream to control host not opened", "address", address.String(), "error", err)
		return false
	}
	client := &Client{
		address: address, log: p.log, outgoing: newQueue[*peerpb.CallEvent](), callbacks: make(map[uint64]Callbacks),
		avoidFor: avoidDuration, lastReceived: time.Now(),
	}
	p.mu.Lock()
	p.connected[address] = client
	if running := p.running[address]; running != nil {
		running.opened = true
	}
	p.mu.Unlock()
	p.log.Info("call stream to control host opened", "address", address.String())
	go func() { cancel(client.send(ctx, stream)) }()
	err = client.receive(stream)
	p.mu.Lock()
	delete(p.connected, address)
	p.mu.Unlock()
	n := client.close()
	p.log.Warn("call stream to control host lost", "address", address.String(), "calls", n, "error", err)
	p.metrics.Counter("call_streams_lost").Add(1)
	return true
}

// send sends queued events until ctx ends, a send fails or the control host is
// unresponsive, and returns the reason.
func (c *Client) send(ctx context.Context, stream peerpb.Fleet_PlaceClient) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.outgoing.wake:
		}
		events := c.outgoing.takeAll()
		if len(events) == 0 {
			continue
		}
		if err := stream.Send(&peerpb.CallEvents{Events: events}); err != nil {
			return err
		}
		if c.unresponsive(time.Now()) {
			return errUnresponsive
		}
	}
}

// receive dispatches decisions until the stream ends, and returns the error that
// ended it.
func (c *Client) receive(stream peerpb.Fleet_PlaceClient) error {
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		for _, d := range m.GetDecisions() {
			c.dispatch(d)
		}
	}
}

// dispatch passes a decision to the callbacks of its call, if the call is registered,
// and logs an invalid decision. A refusal ends the call.
func (c *Client) dispatch(d *peerpb.CallDecision) {
	action, err := toAction(d)
	if err != nil {
		c.log.Error("decision refused", "address", c.address.String(), "call", d.GetCall(), "error", err)
		return
	}
	c.mu.Lock()
	callbacks, ok := c.callbacks[d.GetCall()]
	if _, final := action.(engine.Refuse); final {
		delete(c.callbacks, d.GetCall())
	}
	c.lastReceived = time.Now()
	if ok { // Otherwise the call no longer waits for the decision.
		c.missedDecisions, c.avoidFor = 0, avoidDuration
	}
	c.mu.Unlock()
	if ok {
		callbacks.OnDecision(action)
	}
}

// Address returns the address of the control host.
func (c *Client) Address() netip.AddrPort {
	return c.address
}

// StartCall registers the callbacks of a call and sends its arrival. It returns
// false when the stream has ended; OnStreamLost may be called nevertheless.
func (c *Client) StartCall(service string, e engine.Arrive, callbacks Callbacks, now time.Time) bool {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return false
	}
	c.callbacks[e.Call] = callbacks
	c.mu.Unlock()
	return c.outgoing.add(fromArrive(service, e, now))
}

// FinishAttempt sends the result of an attempt, and unregisters the call if the
// result ends it. It returns false when no decision can follow, because the stream
// has ended or the call was no longer registered.
func (c *Client) FinishAttempt(e engine.Finish) bool {
	c.mu.Lock()
	_, ongoing := c.callbacks[e.Call]
	if e.Result.EndsCall() {
		delete(c.callbacks, e.Call)
	}
	open := !c.closed && ongoing
	c.mu.Unlock()
	return c.outgoing.add(fromFinish(e)) && open
}

// CancelCall unregisters a call and tells the control host that it has ended without
// a result.
func (c *Client) CancelCall(e engine.Cancel) {
	c.mu.Lock()
	delete(c.callbacks, e.Call)
	c.mu.Unlock()
	c.outgoing.add(&peerpb.CallEvent{Call: e.Call, Event: &peerpb.CallEvent_Cancel{Cancel: &peerpb.CallCancel{Overdue: e.DeadlinePassed}}})
}

// RecordMissedDecision counts a decision that did not arrive in time. After
// maxMissedDecisions in a row the control host is avoided, for a time that doubles with
// each further one.
func (c *Client) RecordMissedDecision(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.missedDecisions++; c.missedDecisions < maxMissedDecisions || c.avoidUntil.After(now) {
		return
	}
	c.avoidUntil = now.Add(c.avoidFor)
	c.avoidFor = min(2*c.avoidFor, maxAvoidDuration)
}

// late reports whether the control host is avoided for missed decisions.
func (c *Client) late(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.avoidUntil.After(now)
}

// unresponsive reports whether so many consecutive decisions were missed, twice
// maxMissedDecisions, and nothing was received for so long, that the stream has
// probably failed without an error.
func (c *Client) unresponsive(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.missedDecisions >= 2*maxMissedDecisions && now.Sub(c.lastReceived) >= silenceLimit
}

// close makes StartCall refuse further calls, calls OnStreamLost for every registered
// call and returns the number of the registered calls.
func (c *Client) close() int {
	c.outgoing.close()
	c.mu.Lock()
	c.closed = true
	callbacks := c.callbacks
	c.callbacks = nil
	c.mu.Unlock()
	for _, cb := range callbacks {
		cb.OnStreamLost()
	}
	return len(callbacks)
}
