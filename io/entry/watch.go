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

// watchState is the state of the watch stream to one control host. The mutex of
// the configuration guards its fields other than peer.
type watchState struct {
	peer     setup.Peer
	inUse    bool          // A call of watchControls has claimed it and not released it.
	reported bool          // On this stream it has sent all documents that it knows to be chosen.
	backoff  time.Duration // Doubled when a stream is lost, 0 after a report.
	retryAt  time.Time     // When the stream may be opened again.
}

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 3 * time.Second
	// streamTimeout is how long a stream may be without any message; control
	// hosts send a heartbeat every two seconds.
	streamTimeout = 5 * time.Second
)

var errSilent = errors.New("entry: the control host has sent nothing for too long")

// run watches a majority of the control hosts until ctx ends. A single control host
// may be partitioned from the others without noticing, or hang; every chosen
// document reaches at least one host of any majority.
func (c *configuration) run(ctx context.Context) {
	var group sync.WaitGroup
	for range quorum.Majority(len(c.controls)) {
		group.Go(func() { c.watchControls(ctx) })
	}
	group.Go(func() { c.warnWhileWaiting(ctx) })
	group.Wait()
}

// watchControls watches one control host at a time until ctx ends, and claims
// another one when the stream ends.
func (c *configuration) watchControls(ctx context.Context) {
	for ctx.Err() == nil {
		k, wait := c.claim()
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		err := c.watchControl(ctx, k)
		if ctx.Err() != nil {
			return
		}
		c.host.metrics.Counter("streams_lost").Add(1)
		c.host.log.Warn("control host lost", "control", k.peer.Host, "error", err)
		c.release(k)
	}
}

// claim reserves the control host, of those not in use, that may be connected to
// first, choosing at random between equals, and returns how long to wait until then.
func (c *configuration) claim() (*watchState, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best *watchState
	for _, i := range rand.Perm(len(c.controls)) {
		k := c.controls[i]
		if !k.inUse && (best == nil || k.retryAt.Before(best.retryAt)) {
			best = k
		}
	}
	best.inUse = true
	return best, time.Until(best.retryAt)
}

// release frees a control host and sets its next retry time, with exponential
// backoff.
func (c *configuration) release(k *watchState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k.inUse = false
	k.reported = false
	k.backoff = min(max(2*k.backoff, minBackoff), maxBackoff)
	k.retryAt = time.Now().Add(k.backoff/2 + rand.N(k.backoff))
}

// markReported records that a control host has sent all documents that it knows
// to be chosen on the current stream, and resets its backoff.
func (c *configuration) markReported(k *watchState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k.reported = true
	k.backoff = 0
}

// watchControl receives documents from one control host until the stream ends or
// times out. It returns the error that ended the stream.
func (c *configuration) watchControl(ctx context.Context, k *watchState) error {
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
	silence := time.AfterFunc(streamTimeout, func() { cancel(errSilent) })
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
		silence.Reset(streamTimeout)
		c.receive(k, u)
	}
}

// receive handles one message of a control host.
func (c *configuration) receive(k *watchState, u *peerpb.Update) {
	switch {
	case u.GetComplete():
		accepted := make(map[string]uint64, len(u.GetPending()))
		for _, p := range u.GetPending() {
			accepted[p.GetName()] = p.GetRevision()
		}
		c.markReported(k)
		c.recordReport(k.peer.Host, accepted)
	case u.GetName() != "" && !spec.ValidDocumentName(u.GetName()):
		c.host.metrics.Counter("documents_refused").Add(1)
		c.host.log.Error("document refused: invalid name", "control", k.peer.Host, "name", u.GetName())
	case u.GetName() != "":
		c.update(spec.Versioned{Name: u.GetName(), Revision: u.GetRevision(), Deleted: u.GetDeleted(), Body: u.GetBody()})
	}
}

// watchRequest returns the request for a stream, with the revisions of the
// documents that this host has received. The document of the accounts is named in any case:
// control hosts send it only to hosts that know its kind.
func (c *configuration) watchRequest() *peerpb.WatchRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	req := &peerpb.WatchRequest{Host: c.host.cfg.Host}
	received := c.follower.Received()
	if _, ok := received[spec.AccountsName]; !ok {
		req.Held = append(req.Held, &peerpb.Held{Name: spec.AccountsName})
	}
	for name, revision := range received {
		req.Held = append(req.Held, &peerpb.Held{Name: name, Revision: revision})
	}
	return req
}
