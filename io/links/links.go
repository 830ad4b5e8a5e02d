package links

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"cardamomspool/io/telem"
)

type (
	// Links reaches targets over this host's own connections, and knows which links are lost
	// and which other entry hosts can carry a call instead. It is safe for concurrent use. Use
	// New.
	Links struct {
		*pool
		*ways
		log     *slog.Logger
		metrics *telem.Registry
		// queueDelay is the delay of a new connection behind callers' uploads.
		queueDelay func() time.Duration
		work       context.Context // Ends the checks of links.
	}

	// Need is what an attempt needs of a connection.
	Need struct {
		// AnyIdle says that a connection may be used however long it has been idle.
		// Others must have been heard from within MaxTrustedSilence.
		AnyIdle bool
		// CarriedIn says that this host is a carrier of the call.
		CarriedIn bool
		// ResetsWhenFull says that the targets of the service reset connections when they
		// are full.
		ResetsWhenFull bool
		// Fresh says that the connection must not have carried a request.
		Fresh bool
		// Avoid holds connections that must not be used.
		Avoid []*Conn
		// Until ends the wait for a connection when it ends; nil for no such end.
		Until context.Context
	}

	// Option sets one property of Links.
	Option func(*Links)
)

// WithLogger sets the logger; the default discards.
func WithLogger(log *slog.Logger) Option {
	return func(l *Links) { l.log = log }
}

// WithMetrics sets the metrics that count connections and lost links.
func WithMetrics(metrics *telem.Registry) Option {
	return func(l *Links) { l.metrics = metrics }
}

// WithQueueDelay sets a function that returns the estimated delay of a new connection behind
// callers' uploads; by default there is none.
func WithQueueDelay(delay func() time.Duration) Option {
	return func(l *Links) { l.queueDelay = delay }
}

// New returns the links of a host in dataCentre, whose connections are opened from source; see
// dialFrom.
func New(source netip.Addr, dataCentre string, opts ...Option) *Links {
	l := &Links{
		ways: newWays(dataCentre), log: slog.New(slog.DiscardHandler), metrics: telem.NewRegistry(),
		queueDelay: func() time.Duration { return 0 }, work: context.Background(),
	}
	for _, opt := range opts {
		opt(l)
	}
	l.pool = newPool(source, l.metrics)
	return l
}

// SetWork sets the context that ends the checks of links. It must be called before the first
// call.
func (l *Links) SetWork(ctx context.Context) {
	l.work = ctx
}

// ConnectCarrier returns a connection to a carrier, marked as carrying a request, as
// beginRequest does.
func (l *Links) ConnectCarrier(ctx context.Context, carrier netip.AddrPort, anyIdle bool) (*Conn, error) {
	if conn := l.reuse(carrier, trustedSince(anyIdle, time.Now()), nil); conn != nil {
		return conn, nil
	}
	dialCtx, cancel := context.WithTimeout(ctx, Patience)
	defer cancel()
	return l.dial(dialCtx, carrier)
}

// Probe opens a connection to a target, and keeps it for calls if it stays open.
func (l *Links) Probe(ctx context.Context, address netip.AddrPort) error {
	conn, err := l.dial(ctx, address)
	if err != nil {
		return err
	}
	go l.settle(l.work, conn)
	return nil
}
