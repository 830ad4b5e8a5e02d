package place

import (
	"context"
	"hash/fnv"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"cardamomspool/core/engine"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
	"cardamomspool/io/telem"
)

type (
	// Links are an entry host's streams to the control hosts. Use NewLinks.
	Links struct {
		controls func() []netip.AddrPort
		log      *slog.Logger
		metrics  *telem.Set
		traffic  peer.Traffic

		mu     sync.Mutex
		active map[netip.AddrPort]bool
		up     map[netip.AddrPort]*Link
	}

	// Link is a stream to one control host.
	Link struct {
		address netip.AddrPort
		log     *slog.Logger
		out     *queue[*peerpb.CallEvent]

		mu      sync.Mutex
		waiters map[uint64]Waiter
		closed  bool
		// avoidUntil is until when the control host is left alone, after it
		// did not answer.
		avoidUntil time.Time
		misses     int
	}

	// Waiter takes the decisions about one call. Neither function may wait.
	Waiter struct {
		// Decide takes a decision.
		Decide func(engine.Action)
		// Lose is called instead when the stream has ended.
		Lose func()
	}
)

const (
	searchPeriod = 100 * time.Millisecond
	// missLimit is the number of calls without any decision in time after
	// which a control host is left alone for avoidTime.
	missLimit = 2
	avoidTime = time.Second
)

// errLost reports a stream that was given up because its host was silent.
var errLost = errors.New("place: the control host does not answer")

// NewLinks returns links to the control hosts that controls returns.
func NewLinks(controls func() []netip.AddrPort, traffic peer.Traffic, log *slog.Logger, metrics *telem.Set) *Links {
	return &Links{
		controls: controls, log: log, metrics: metrics, traffic: traffic,
		active: make(map[netip.AddrPort]bool), up: make(map[netip.AddrPort]*Link),
	}
}

// Run keeps a stream to each control host until ctx ends.
func (l *Links) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(searchPeriod)
	defer ticker.Stop()
	for {
		for _, address := range l.controls() {
			l.mu.Lock()
			begin := !l.active[address]
			l.active[address] = true
			l.mu.Unlock()
			if begin {
				group.Go(func() { l.keep(ctx, address) })
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Pick returns the link to the control host that decides for a service: the
// first one, by rendezvous hashing, that is connected and answers. It returns
// nil when there is none. Source: D. Thaler and C. Ravishankar, "Using
// Name-Based Mappings to Increase Hit Rates", IEEE/ACM Transactions on
// Networking 6(1), 1998.
func (l *Links) Pick(service string, now time.Time) *Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	var (
		best  *Link
		score uint64
	)
	for address, link := range l.up {
		if link.avoided(now) {
			continue
		}
		if s := weigh(service, address); best == nil || s > score {
			best, score = link, s
		}
	}
	return best
}

func weigh(service string, address netip.AddrPort) uint64 {
	h := fnv.New64a()
	h.Write([]byte(service + "\n" + address.String()))
	x := h.Sum64()
	x ^= x >> 33 // FNV mixes its last bytes badly into the high bits.
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// keep holds a stream to one control host for as long as it is known.
func (l *Links) keep(ctx context.Context, address netip.AddrPort) {
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.active, address)
	}()
	wanted := func() bool { return slices.Contains(l.controls(), address) }
	peer.Keep(ctx, wanted, func() bool { return l.stream(ctx, address) })
}

// stream carries calls over one stream until it ends and reports whether it
// was open.
func (l *Links) stream(ctx context.Context, address netip.AddrPort) bool {
	var (
		conn   *grpc.ClientConn
		stream peerpb.Fleet_PlaceClient
		err    error
	)
	if conn, err = peer.Dial(address, peer.WithTraffic(l.traffic)); err != nil {
		l.log.Error("control host not dialled", "address", address.String(), "error", err)
		return false
	}
	defer conn.Close()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if stream, err = peerpb.NewFleetClient(conn).Place(ctx); err != nil {
		l.log.Debug("no stream to control host", "address", address.String(), "error", err)
		return false
	}
	link := &Link{address: address, log: l.log, out: newQueue[*peerpb.CallEvent](), waiters: make(map[uint64]Waiter)}
	l.mu.Lock()
	l.up[address] = link
	l.mu.Unlock()
	l.log.Info("calls can be decided by control host", "address", address.String())
	go func() { cancel(link.send(ctx, stream)) }()
	err = link.receive(stream)
	l.mu.Lock()
	delete(l.up, address)
	l.mu.Unlock()
	n := link.end()
	l.log.Warn("stream of calls lost", "address", address.String(), "calls", n, "error", err)
	l.metrics.Count("call_streams_lost").Add(1)
	return true
}

// send sends events until ctx ends or the host is found to be silent.
func (k *Link) send(ctx context.Context, stream peerpb.Fleet_PlaceClient) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-k.out.wake:
		}
		list := k.out.take()
		if len(list) == 0 {
			continue
		}
		if err := stream.Send(&peerpb.CallEvents{Events: list}); err != nil {
			return err
		}
		if k.silent() {
			return errLost
		}
	}
}

func (k *Link) receive(stream peerpb.Fleet_PlaceClient) error {
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		for _, d := range m.GetDecisions() {
			k.decide(d)
		}
	}
}

func (k *Link) decide(d *peerpb.CallDecision) {
	action, err := toAction(d)
	if err != nil {
		k.log.Error("decision refused", "address", k.address.String(), "call", d.GetCall(), "error", err)
		return
	}
	k.mu.Lock()
	w, ok := k.waiters[d.GetCall()]
	if _, last := action.(engine.Refuse); last {
		delete(k.waiters, d.GetCall())
	}
	k.misses = 0
	k.mu.Unlock()
	if ok {
		w.Decide(action)
	}
}

// Address returns the address of the control host.
func (k *Link) Address() netip.AddrPort {
	return k.address
}

// Arrive hands a new call of a service over, and reports whether the stream
// is open.
func (k *Link) Arrive(service string, e engine.Arrive, w Waiter, now time.Time) bool {
	k.mu.Lock()
	if k.closed {
		k.mu.Unlock()
		return false
	}
	k.waiters[e.Call] = w
	k.mu.Unlock()
	return k.out.add(fromArrive(service, e, now))
}

// Finish hands the end of an attempt over, and reports whether the stream is
// open.
func (k *Link) Finish(e engine.Finish) bool {
	k.mu.Lock()
	_, known := k.waiters[e.Call]
	if e.Result.Final() {
		delete(k.waiters, e.Call)
	}
	open := !k.closed && known
	k.mu.Unlock()
	return k.out.add(fromFinish(e)) && open
}

// Cancel ends a call.
func (k *Link) Cancel(e engine.Cancel) {
	k.mu.Lock()
	delete(k.waiters, e.Call)
	k.mu.Unlock()
	k.out.add(&peerpb.CallEvent{Call: e.Call, Event: &peerpb.CallEvent_Cancel{Cancel: &peerpb.CallCancel{Overdue: e.Overdue}}})
}

// Miss notes that the control host did not answer in time.
func (k *Link) Miss(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.misses++; k.misses >= missLimit {
		k.avoidUntil = now.Add(avoidTime)
	}
}

func (k *Link) avoided(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.closed || k.avoidUntil.After(now)
}

// silent reports whether the host has left many calls in a row unanswered, so
// that the stream may have fallen silent for good.
func (k *Link) silent() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.misses >= 2*missLimit
}

// end tells all who wait that the stream has ended.
func (k *Link) end() int {
	k.out.close()
	k.mu.Lock()
	k.closed = true
	waiters := k.waiters
	k.waiters = nil
	k.mu.Unlock()
	for _, w := range waiters {
		w.Lose()
	}
	return len(waiters)
}
