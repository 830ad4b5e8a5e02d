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
)

// heartbeatPeriod is the time between heartbeats on a stream of documents.
const heartbeatPeriod = 2 * time.Second

var (
	_ peerpb.AgreementServer     = (*agreement)(nil)
	_ peerpb.ConfigurationServer = (*configuration)(nil)
)

func (h *Host) prepare(name string, b quorum.Ballot) (quorum.Promise, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	promise, register := h.acceptor.Prepare(name, b)
	if !promise.OK {
		return promise, nil
	}
	return promise, h.folder.Save(register.Name, register)
}

func (h *Host) accept(b quorum.Ballot, v quorum.Value) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	ok, register := h.acceptor.Accept(b, v)
	if !ok {
		return false, nil
	}
	return true, h.folder.Save(register.Name, register)
}

// Prepare promises a ballot; see quorum.Acceptor.
func (a *agreement) Prepare(_ context.Context, m *peerpb.PrepareRequest) (*peerpb.PrepareReply, error) {
	promise, err := a.host.prepare(m.GetName(), peer.ToBallot(m.GetBallot()))
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &peerpb.PrepareReply{
		Ok: promise.OK, Promised: peer.FromBallot(promise.Promised),
		Accepted: peer.FromBallot(promise.Accepted), Value: peer.FromValue(promise.Value),
	}, nil
}

// Accept stores a value under a ballot; see quorum.Acceptor.
func (a *agreement) Accept(_ context.Context, m *peerpb.AcceptRequest) (*peerpb.AcceptReply, error) {
	value := peer.ToValue(m.GetValue())
	ok, err := a.host.accept(peer.ToBallot(m.GetBallot()), value)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &peerpb.AcceptReply{Ok: ok}, nil
}

// Learn takes in a chosen value.
func (a *agreement) Learn(_ context.Context, m *peerpb.LearnRequest) (*peerpb.LearnReply, error) {
	if err := a.host.learn(peer.ToValue(m.GetValue())); err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &peerpb.LearnReply{}, nil
}

// Fetch returns the chosen values newer than the ones held by the asker.
func (a *agreement) Fetch(_ context.Context, m *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	held := revisions(m.GetHeld())
	reply := &peerpb.FetchReply{}
	values, _ := a.host.chosen()
	for _, v := range values {
		if v.Revision > held[v.Name] {
			reply.Values = append(reply.Values, peer.FromValue(v))
		}
	}
	return reply, nil
}

// Watch sends every chosen document that is newer than the revisions held,
// then an update marked complete, then each new one as it is chosen.
func (c *configuration) Watch(m *peerpb.WatchRequest, stream peerpb.Configuration_WatchServer) error {
	held := revisions(m.GetHeld())
	c.host.log.Info("entry host watches", "entry", m.GetHost(), "documents_held", len(held))
	complete := false
	beat := time.NewTicker(heartbeatPeriod)
	defer beat.Stop()
	// Taken before the chosen documents, so that one chosen in between is in
	// one list or the other.
	pending := c.host.pending()
	for {
		values, changed := c.host.chosen()
		for _, v := range values {
			if v.Revision <= held[v.Name] {
				continue
			}
			update := &peerpb.Update{Name: v.Name, Revision: v.Revision, Deleted: v.Deleted, Body: v.Body}
			if err := stream.Send(update); err != nil {
				return err
			}
			held[v.Name] = v.Revision
		}
		if !complete {
			complete = true
			if err := stream.Send(&peerpb.Update{Complete: true, Pending: pending}); err != nil {
				return err
			}
		}
		select {
		case <-changed:
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

func revisions(held []*peerpb.Held) map[string]uint64 {
	m := make(map[string]uint64, len(held))
	for _, h := range held {
		m[h.GetName()] = h.GetRevision()
	}
	return m
}
