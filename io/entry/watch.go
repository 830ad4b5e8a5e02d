package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"cardamomspool/core/quorum"
	"cardamomspool/core/spec"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
	"cardamomspool/io/setup"
)

// control is one control host as this host sees it. Its fields are guarded by
// the mutex of the configuration.
type control struct {
	peer    setup.Peer
	inUse   bool
	open    bool
	backoff time.Duration
	retryAt time.Time
}

const (
	firstBackoff   = 50 * time.Millisecond
	longestBackoff = 3 * time.Second
	// streamSilence is how long a stream may be without any message; control
	// hosts send a heartbeat every two seconds.
	streamSilence = 5 * time.Second
)

var errSilent = errors.New("entry: the control host has sent nothing for too long")

// run follows a majority of the control hosts until ctx ends. One of them may
// be cut off from the others without knowing, or fall silent: every document
// that was chosen reaches at least one of a majority.
func (c *configuration) run(ctx context.Context) {
	var group sync.WaitGroup
	for range quorum.Majority(len(c.controls)) {
		group.Go(func() { c.followControls(ctx) })
	}
	group.Go(func() { c.warnWhileWaiting(ctx) })
	group.Wait()
}

// followControls follows one control host after another until ctx ends.
func (c *configuration) followControls(ctx context.Context) {
	for ctx.Err() == nil {
		k, wait := c.take()
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		err := c.follow(ctx, k)
		if ctx.Err() != nil {
			return
		}
		c.host.metrics.Count("streams_lost").Add(1)
		c.host.log.Warn("control host lost", "control", k.peer.Host, "error", err)
		c.release(k)
	}
}

// take claims the unused control host that may be tried first, ties by lot,
// and returns how long to wait before.
func (c *configuration) take() (*control, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best *control
	for _, i := range rand.Perm(len(c.controls)) {
		k := c.controls[i]
		if !k.inUse && (best == nil || k.retryAt.Before(best.retryAt)) {
			best = k
		}
	}
	best.inUse = true
	return best, time.Until(best.retryAt)
}

// release gives a control host back and sets when it may be tried again.
func (c *configuration) release(k *control) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k.inUse = false
	k.open = false
	k.backoff = min(max(2*k.backoff, firstBackoff), longestBackoff)
	k.retryAt = time.Now().Add(k.backoff/2 + rand.N(k.backoff))
}

// opened notes that a control host has reported on a stream.
func (c *configuration) opened(k *control) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k.open = true
	k.backoff = 0
}

// follow receives documents from one control host until the stream ends or
// falls silent.
func (c *configuration) follow(ctx context.Context, k *control) error {
	var (
		conn   *grpc.ClientConn
		stream peerpb.Configuration_WatchClient
		err    error
	)
	if conn, err = peer.Dial(k.peer.PeerAddress, peer.WithTraffic(trafficOf(c.host.metrics, "config"))); err != nil {
		return errors.Wrap(err, "entry: dial control")
	}
	defer conn.Close()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(streamSilence, func() { cancel(errSilent) })
	defer silence.Stop()
	if stream, err = peerpb.NewConfigurationClient(conn).Watch(ctx, c.watchRequest()); err != nil {
		return errors.Wrap(err, "entry: watch")
	}
	for {
		var u *peerpb.Update
		if u, err = stream.Recv(); err != nil {
			if errors.Is(context.Cause(ctx), errSilent) {
				err = errSilent
			}
			return errors.Wrap(err, "entry: watch")
		}
		silence.Reset(streamSilence)
		c.receive(k, u)
	}
}

func (c *configuration) receive(k *control, u *peerpb.Update) {
	switch {
	case u.GetComplete():
		accepted := make(map[string]uint64, len(u.GetPending()))
		for _, p := range u.GetPending() {
			accepted[p.GetName()] = p.GetRevision()
		}
		c.opened(k)
		c.report(k.peer.Host, accepted)
	case u.GetName() != "" && !spec.ValidName(u.GetName()):
		c.host.metrics.Count("documents_refused").Add(1)
		c.host.log.Error("document refused: its name is no service name", "control", k.peer.Host, "name", u.GetName())
	case u.GetName() != "":
		c.update(spec.Versioned{Name: u.GetName(), Revision: u.GetRevision(), Deleted: u.GetDeleted(), Body: u.GetBody()})
	}
}

func (c *configuration) watchRequest() *peerpb.WatchRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	req := &peerpb.WatchRequest{Host: c.host.cfg.Host}
	for name, revision := range c.follower.Held() {
		req.Held = append(req.Held, &peerpb.Held{Name: name, Revision: revision})
	}
	return req
}
