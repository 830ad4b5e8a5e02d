package ctrl

import (
	"context"
	"math/rand/v2"
	"time"

	"cardamomspool/core/quorum"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
)

type answer[T any] struct {
	reply T
	err   error
}

const (
	roundTimeout  = 2 * time.Second
	proposeTries  = 8
	retryPause    = 20 * time.Millisecond
	catchUpPeriod = time.Second
)

// Apply makes one change and returns once a majority of control hosts holds
// it on disk. It returns a *quorum.ConflictError when the document has moved
// on, and quorum.ErrNoMajority when the outcome is not known.
func (h *Host) Apply(ctx context.Context, c quorum.Change) (quorum.Request, error) {
	for range proposeTries {
		done, ok, err := h.propose(ctx, c)
		if ok || err != nil {
			return done, err
		}
		select {
		case <-ctx.Done():
			return quorum.Request{}, quorum.ErrNoMajority
		case <-time.After(retryPause + rand.N(retryPause)):
		}
	}
	return quorum.Request{}, quorum.ErrNoMajority
}

// propose runs both rounds once. It reports false when another proposal got
// in between and the change should be tried again.
func (h *Host) propose(ctx context.Context, c quorum.Change) (quorum.Request, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	ballot := h.nextBallot()
	promises := h.prepareAll(ctx, c.Name, ballot)
	if len(promises) < h.majority() {
		return quorum.Request{}, false, nil
	}
	current := quorum.Newest(promises)
	next, done, refusal := quorum.Apply(current, c)
	if !h.acceptAll(ctx, ballot, next) {
		return quorum.Request{}, false, nil
	}
	if next.Revision > 0 {
		h.spreadChosen(ctx, next)
	}
	return done, true, refusal
}

func (h *Host) majority() int {
	return quorum.Majority(len(h.peers) + 1)
}

func (h *Host) nextBallot() quorum.Ballot {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.round++
	return quorum.Ballot{Round: h.round, Host: h.cfg.Host}
}

// seen raises the round of the next ballot above one that outbid ours.
func (h *Host) seen(b quorum.Ballot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.round = max(h.round, b.Round)
}

// ask sends one request to every peer at once.
func ask[T any](h *Host, send func(peerpb.AgreementClient) (T, error)) <-chan answer[T] {
	answers := make(chan answer[T], len(h.peers))
	for _, p := range h.peers {
		go func() {
			reply, err := send(p.client)
			answers <- answer[T]{reply: reply, err: err}
		}()
	}
	return answers
}

func (h *Host) prepareAll(ctx context.Context, name string, b quorum.Ballot) []quorum.Promise {
	req := &peerpb.PrepareRequest{Name: name, Ballot: peer.FromBallot(b)}
	answers := ask(h, func(c peerpb.AgreementClient) (*peerpb.PrepareReply, error) { return c.Prepare(ctx, req) })
	var promises []quorum.Promise
	if own, err := h.prepare(name, b); err == nil && own.OK {
		promises = append(promises, own)
	}
	for range h.peers {
		if len(promises) >= h.majority() {
			break
		}
		a := <-answers
		if a.err != nil {
			continue
		}
		if !a.reply.GetOk() {
			h.seen(peer.ToBallot(a.reply.GetPromised()))
			continue
		}
		promises = append(promises, quorum.Promise{
			OK: true, Accepted: peer.ToBallot(a.reply.GetAccepted()), Value: peer.ToValue(a.reply.GetValue()),
		})
	}
	return promises
}

func (h *Host) acceptAll(ctx context.Context, b quorum.Ballot, v quorum.Value) bool {
	req := &peerpb.AcceptRequest{Ballot: peer.FromBallot(b), Value: peer.FromValue(v)}
	answers := ask(h, func(c peerpb.AgreementClient) (*peerpb.AcceptReply, error) { return c.Accept(ctx, req) })
	accepted := 0
	if ok, err := h.accept(b, v); err == nil && ok {
		accepted++
	}
	for range h.peers {
		if accepted >= h.majority() {
			break
		}
		a := <-answers
		if a.err != nil {
			continue
		}
		if !a.reply.GetOk() {
			h.seen(peer.ToBallot(a.reply.GetPromised()))
			continue
		}
		accepted++
	}
	return accepted >= h.majority()
}

// spreadChosen tells every control host of a chosen value, without waiting
// for peers; those that miss it catch up later.
func (h *Host) spreadChosen(ctx context.Context, v quorum.Value) {
	if err := h.learn(v); err != nil {
		h.log.Error("chosen document not kept", "service", v.Name, "error", err)
	}
	req := &peerpb.LearnRequest{Value: peer.FromValue(v)}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), roundTimeout)
	answers := ask(h, func(c peerpb.AgreementClient) (*peerpb.LearnReply, error) { return c.Learn(ctx, req) })
	go func() {
		defer cancel()
		for range h.peers {
			<-answers
		}
	}()
}

// catchUp fetches chosen values that this host has missed, until ctx ends.
func (h *Host) catchUp(ctx context.Context) {
	ticker := time.NewTicker(catchUpPeriod)
	defer ticker.Stop()
	for {
		for _, p := range h.peers {
			h.fetch(ctx, p)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (h *Host) fetch(ctx context.Context, p remote) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	values, _ := h.chosen()
	req := &peerpb.FetchRequest{}
	for _, v := range values {
		req.Held = append(req.Held, &peerpb.Held{Name: v.Name, Revision: v.Revision})
	}
	var (
		reply *peerpb.FetchReply
		err   error
	)
	if reply, err = p.client.Fetch(ctx, req); err != nil {
		h.log.Debug("no answer from control host", "peer", p.host, "error", err)
		return
	}
	h.heard(p.host)
	for _, v := range reply.GetValues() {
		if err = h.learn(peer.ToValue(v)); err != nil {
			h.log.Error("chosen document not kept", "service", v.GetName(), "error", err)
		}
	}
}

func (h *Host) heard(host string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.contacts[host] = time.Now()
}
