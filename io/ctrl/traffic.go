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
	// TCP headers. Watch streams are counted apart from the agreement.
	traffic struct {
		agreement, watch direction
	}

	direction struct {
		in, out, messages *expvar.Int
	}

	methodKey struct{}
)

var _ stats.Handler = (*traffic)(nil)

func newTraffic(s *telem.Set) *traffic {
	of := func(name string) direction {
		return direction{in: s.Count(name + "_bytes_in"), out: s.Count(name + "_bytes_out"), messages: s.Count(name + "_messages")}
	}
	return &traffic{agreement: of("agreement"), watch: of("watch")}
}

// TagRPC notes which service a call belongs to.
func (t *traffic) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	d := &t.agreement
	if strings.HasSuffix(info.FullMethodName, "/Watch") {
		d = &t.watch
	}
	return context.WithValue(ctx, methodKey{}, d)
}

// HandleRPC counts payloads.
func (*traffic) HandleRPC(ctx context.Context, s stats.RPCStats) {
	d, ok := ctx.Value(methodKey{}).(*direction)
	if !ok {
		return
	}
	switch p := s.(type) {
	case *stats.InPayload:
		d.in.Add(int64(p.WireLength))
		d.messages.Add(1)
	case *stats.OutPayload:
		d.out.Add(int64(p.WireLength))
		d.messages.Add(1)
	}
}

// TagConn notes nothing.
func (*traffic) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn counts nothing.
func (*traffic) HandleConn(context.Context, stats.ConnStats) {}
