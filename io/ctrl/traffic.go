package ctrl

import (
	"context"
	"expvar"
	"strings"

	"google.golang.org/grpc/stats"

	"cardamomspool/io/telem"
)

type (
	// traffic counts the payload bytes of gRPC messages, without HTTP/2 and
	// TCP headers. Watch streams are counted separately from the consensus
	// messages.
	traffic struct {
		agreement, watch counters
	}

	// counters counts the bytes received and sent, and the messages of both
	// directions.
	counters struct {
		in, out, messages *expvar.Int
	}

	// countersKey is the key of an RPC's *counters in its context.
	countersKey struct{}
)

var _ stats.Handler = (*traffic)(nil)

// newTraffic returns a traffic whose counters are in metrics.
func newTraffic(metrics *telem.Registry) *traffic {
	newCounters := func(name string) counters {
		return counters{in: metrics.Counter(name + "_bytes_in"), out: metrics.Counter(name + "_bytes_out"), messages: metrics.Counter(name + "_messages")}
	}
	return &traffic{agreement: newCounters("agreement"), watch: newCounters("watch")}
}

// TagRPC adds the counters of the call's kind to its context.
func (t *traffic) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	c := &t.agreement
	if strings.HasSuffix(info.FullMethodName, "/Watch") {
		c = &t.watch
	}
	return context.WithValue(ctx, countersKey{}, c)
}

// HandleRPC counts the bytes and messages of payloads.
func (*traffic) HandleRPC(ctx context.Context, s stats.RPCStats) {
	c, ok := ctx.Value(countersKey{}).(*counters)
	if !ok {
		return
	}
	switch p := s.(type) {
	case *stats.InPayload:
		c.in.Add(int64(p.WireLength))
		c.messages.Add(1)
	case *stats.OutPayload:
		c.out.Add(int64(p.WireLength))
		c.messages.Add(1)
	}
}

// TagConn returns ctx unchanged.
func (*traffic) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn does nothing.
func (*traffic) HandleConn(context.Context, stats.ConnStats) {}
