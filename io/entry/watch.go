package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"cardamomspool/core/spec"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
	"cardamomspool/io/setup"
)

const (
	firstBackoff   = 50 * time.Millisecond
	longestBackoff = 5 * time.Second
)

// watch follows the documents of one control host after another until ctx
// ends, with jittered exponential backoff between attempts.
func (h *Host) watch(ctx context.Context) {
	wait := firstBackoff
	for i := rand.IntN(len(h.cfg.Controls)); ctx.Err() == nil; i++ {
		control := h.cfg.Controls[i%len(h.cfg.Controls)]
		begin := time.Now()
		err := h.follow(ctx, control)
		h.log.Warn("control host lost", "control", control.Host, "error", err)
		if time.Since(begin) > longestBackoff {
			wait = firstBackoff
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait/2 + rand.N(wait)):
		}
		wait = min(2*wait, longestBackoff)
	}
}

// follow receives documents from one control host until the stream ends.
func (h *Host) follow(ctx context.Context, control setup.Peer) error {
	var (
		conn   *grpc.ClientConn
		stream peerpb.Configuration_WatchClient
		err    error
	)
	if conn, err = peer.Dial(control.PeerAddress); err != nil {
		return errors.Wrap(err, "entry: dial control")
	}
	defer conn.Close()
	if stream, err = peerpb.NewConfigurationClient(conn).Watch(ctx, h.watchRequest()); err != nil {
		return errors.Wrap(err, "entry: watch")
	}
	for {
		var u *peerpb.Update
		if u, err = stream.Recv(); err != nil {
			return errors.Wrap(err, "entry: watch")
		}
		if u.GetComplete() {
			h.ready.Store(true)
			continue
		}
		v := spec.Versioned{Name: u.GetName(), Revision: u.GetRevision(), Deleted: u.GetDeleted(), Body: u.GetBody()}
		if err = h.apply(v); err != nil {
			h.log.Error("document refused", "service", v.Name, "revision", v.Revision, "error", err)
		}
	}
}

func (h *Host) watchRequest() *peerpb.WatchRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	req := &peerpb.WatchRequest{Host: h.cfg.Host}
	for name, revision := range h.held {
		req.Held = append(req.Held, &peerpb.Held{Name: name, Revision: revision})
	}
	return req
}
