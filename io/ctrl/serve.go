package ctrl

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"cardamomspool/core/quorum"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
)

type (
	agreement struct {
		peerpb.UnimplementedAgreementServer
		host *Host
	}

	configuration struct {
		peerpb.UnimplementedConfigurationServer
		host *Host
		stop context.Context
	}

	// watcher is one stream of documents.
	watcher struct {
		*configuration
		stream   peerpb.Configuration_WatchServer
		held     map[string]uint64
		pending  []*peerpb.Held
		complete bool
	}
)

const (
	// confirmWait is how long a watcher is kept waiting for a majority's
	// confirmation before it is sent to another control host.
	confirmWait = 2 * time.Second
	// heartbeatPeriod is the time between heartbeats on a stream of documents.
	heartbeatPeriod = 2 * time.Second
)

var (
	_ peerpb.AgreementServer     = (*agreement)(nil)
	_ peerpb.ConfigurationServer = (*configuration)(nil)

	// errNotConfirmed ends the streams of a host that may be out of date.
	errNotConfirmed = status.Error(codes.Unavailable, "no majority of control hosts confirms this host's documents")
)

// Exchange hands a message to the node. Its answer goes back with the call, all
// else that the node has to say goes its own way.
func (a *agreement) Exchange(_ context.Context, m *peerpb.Envelope) (*peerpb.Envelope, error) {
	var (
		e   quorum.Envelope
		err error
	)
	if e, err = peer.ToEnvelope(m); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	reply := &peerpb.Envelope{}
	out := a.host.do(func(now time.Time) quorum.Output { return a.host.node.Receive(now, e) })
	for _, send := range out {
		if reply.Message == nil && send.To == e.From && isAnswer(send.Message) {
			reply = peer.FromEnvelope(send)
			continue
		}
		a.host.send(send)
	}
	return reply, nil
}

func isAnswer(m quorum.Message) bool {
	switch m.(type) {
	case *quorum.Promise, *quorum.Accepted, *quorum.Answer, *quorum.Values, *quorum.Snapshot:
		return true
	}
	return false
}

// Watch sends every learnt document that is newer than the revisions held,
// then an update marked complete, then each new one as it is learnt. Nothing
// is sent, and the stream ends, unless a majority of control hosts has lately
// confirmed that this host has learnt everything: the watcher then finds
// another control host.
func (c *configuration) Watch(m *peerpb.WatchRequest, stream peerpb.Configuration_WatchServer) error {
	c.host.log.Info("entry host watches", "entry", m.GetHost(), "documents_held", len(m.GetHeld()))
	w := &watcher{configuration: c, stream: stream, held: revisions(m.GetHeld())}
	confirmed := time.NewTimer(confirmWait)
	defer confirmed.Stop()
	beat := time.NewTicker(heartbeatPeriod)
	defer beat.Stop()
	for {
		if !w.complete {
			// Taken before the learnt documents, so that one learnt in between
			// is in one list or the other.
			w.pending = c.host.pending()
		}
		values, current, changed := c.host.chosen()
		if current {
			if err := w.send(values); err != nil {
				return err
			}
		}
		if !current && w.complete {
			return errNotConfirmed
		}
		select {
		case <-changed:
		case <-confirmed.C:
			if !w.complete {
				return errNotConfirmed
			}
		case <-beat.C:
			if err := stream.Send(&peerpb.Update{}); err != nil {
				return err
			}
		case <-stream.Context().Done():
			return nil
		case <-c.stop.Done():
			return status.Error(codes.Unavailable, "control host stops")
		}
	}
}

func (w *watcher) send(values []quorum.Value) error {
	for _, v := range values {
		if v.Revision <= w.held[v.Name] {
			continue
		}
		update := &peerpb.Update{Name: v.Name, Revision: v.Revision, Deleted: v.Deleted, Body: v.Body}
		if err := w.stream.Send(update); err != nil {
			return err
		}
		w.held[v.Name] = v.Revision
	}
	if w.complete {
		return nil
	}
	w.complete = true
	return w.stream.Send(&peerpb.Update{Complete: true, Pending: w.pending})
}

func revisions(held []*peerpb.Held) map[string]uint64 {
	m := make(map[string]uint64, len(held))
	for _, h := range held {
		m[h.GetName()] = h.GetRevision()
	}
	return m
}
