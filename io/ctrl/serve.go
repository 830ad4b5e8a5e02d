package ctrl

import (
	"context"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"cardamomspool/core/quorum"
	"cardamomspool/core/spec"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
)

type (
	// agreementServer serves the consensus protocol.
	agreementServer struct {
		peerpb.UnimplementedAgreementServer
		host *Host
	}

	// configurationServer streams documents to entry hosts; its streams end
	// when the context stop ends.
	configurationServer struct {
		peerpb.UnimplementedConfigurationServer
		host *Host
		stop context.Context
	}

	// watcher is the state of one stream of documents to an entry host. sent
	// holds, by name, the newest revision of each document that the entry host
	// has. pending goes with the first batch (see pendingRevisions), and
	// initialSent is set once that batch has been sent.
	watcher struct {
		*configurationServer
		stream      peerpb.Configuration_WatchServer
		sent        map[string]uint64
		pending     []*peerpb.Held
		initialSent bool
	}
)

const (
	// confirmTimeout is how long a new stream waits for a majority's
	// confirmation that this host is current. Then the stream ends, so that the
	// entry host tries another control host.
	confirmTimeout = 2 * time.Second
	// heartbeatPeriod is the time between heartbeats on a stream of documents.
	heartbeatPeriod = 2 * time.Second
)

var (
	_ peerpb.AgreementServer     = (*agreementServer)(nil)
	_ peerpb.ConfigurationServer = (*configurationServer)(nil)

	// errNotConfirmed ends the streams of a control host that is not current.
	errNotConfirmed = status.Error(codes.Unavailable, "no majority of control hosts confirms this host's documents")
)

// Exchange delivers a message to the node. The node's answer to this message is
// the RPC's reply, which is empty without one; all other messages that the node
// emits are sent separately. Exchange fails with code InvalidArgument when the
// message cannot be decoded.
func (a *agreementServer) Exchange(_ context.Context, req *peerpb.Envelope) (*peerpb.Envelope, error) {
	var (
		e   quorum.Envelope
		err error
	)
	if e, err = peer.ToEnvelope(req); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	reply := &peerpb.Envelope{}
	out := a.host.runStep(func(now time.Time) quorum.Output { return a.host.node.Receive(now, e) })
	for _, send := range out {
		if reply.Message == nil && send.To == e.From && isAnswer(send.Message) {
			reply = peer.FromEnvelope(send)
			continue
		}
		a.host.send(send)
	}
	return reply, nil
}

// isAnswer reports whether m is of a kind that answers another message.
func isAnswer(m quorum.Message) bool {
	switch m.(type) {
	case *quorum.Promise, *quorum.Accepted, *quorum.Answer, *quorum.Values, *quorum.Snapshot:
		return true
	}
	return false
}

// Watch sends every learnt document that is newer than the entry host's revision,
// then an update marked complete, then each new document as it is learnt. While
// no majority of control hosts has recently confirmed that this host has learnt
// everything, no document is sent. The stream then ends with code Unavailable, a
// new stream after confirmTimeout, so that the entry host tries another control
// host.
func (c *configurationServer) Watch(req *peerpb.WatchRequest, stream peerpb.Configuration_WatchServer) error {
	c.host.log.Info("entry host watches", "entry", req.GetHost(), "documents_held", len(req.GetHeld()))
	w := &watcher{configurationServer: c, stream: stream, sent: revisionsByName(req.GetHeld())}
	confirmed := time.NewTimer(confirmTimeout)
	defer confirmed.Stop()
	heartbeat := time.NewTicker(heartbeatPeriod)
	defer heartbeat.Stop()
	for {
		if !w.initialSent {
			// The pending revisions are read before the learnt documents, so
			// that a document that is learnt in between is in at least one of
			// the two lists.
			w.pending = c.host.pendingRevisions()
		}
		values, current, changed := c.host.learntValues()
		if current {
			if err := w.send(values); err != nil {
				return err
			}
		}
		if !current && w.initialSent {
			return errNotConfirmed
		}
		select {
		case <-changed:
		case <-confirmed.C:
			if !w.initialSent {
				return errNotConfirmed
			}
		case <-heartbeat.C:
			if err := stream.Send(&peerpb.Update{}); err != nil {
				return err
			}
		case <-stream.Context().Done():
			return nil
		case <-c.stop.Done():
			return errStops
		}
	}
}

// send sends the values that are newer than what the entry host has. After the
// first batch it sends an update marked complete.
func (w *watcher) send(values []quorum.Value) error {
	for _, v := range values {
		if v.Revision <= w.sent[v.Name] || !w.takes(v.Name) {
			continue
		}
		update := &peerpb.Update{Name: v.Name, Revision: v.Revision, Deleted: v.Deleted, Body: w.host.publicBody(v)}
		if err := w.stream.Send(update); err != nil {
			return err
		}
		w.sent[v.Name] = v.Revision
	}
	if w.initialSent {
		return nil
	}
	w.initialSent = true
	w.pending = slices.DeleteFunc(w.pending, func(h *peerpb.Held) bool { return !w.takes(h.GetName()) })
	return w.stream.Send(&peerpb.Update{Complete: true, Pending: w.pending})
}

// takes reports whether the entry host knows the kind of the document called name. Those of
// versions that know client accounts name their document among those that they hold, with
// revision 0 before they have it. Others would refuse the name, and never be confirmed while
// they wait for a revision.
func (w *watcher) takes(name string) bool {
	if name != spec.AccountsName {
		return true
	}
	_, ok := w.sent[name]
	return ok
}

// publicBody returns the body of a document as entry hosts get it: that of the accounts has
// digests for keys. It is empty if this version cannot read the accounts; entry hosts refuse
// that and keep the accounts in force.
func (h *Host) publicBody(v quorum.Value) []byte {
	if v.Name != spec.AccountsName || v.Deleted {
		return v.Body
	}
	doc, faults := spec.ParseAccounts(v.Body)
	if err := faults.Err(); err != nil {
		h.log.Error("accounts not sent to entry hosts: this version cannot read them", "revision", v.Revision, "error", err)
		return nil
	}
	return spec.CanonicalAccounts(doc.Digested())
}

// revisionsByName returns the revision of each document in list, by name.
func revisionsByName(list []*peerpb.Held) map[string]uint64 {
	m := make(map[string]uint64, len(list))
	for _, h := range list {
		m[h.GetName()] = h.GetRevision()
	}
	return m
}
