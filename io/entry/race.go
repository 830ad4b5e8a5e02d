package entry

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/engine"
	"cardamomspool/core/route"
	"cardamomspool/io/links"
)

type (
	// race runs the attempts of a call that may get a second one beside the first. The
	// first one whose answer header arrives wins, unless the answer is a failure while
	// another attempt is left. Only the winner writes to the caller.
	race struct {
		ended   chan *attempt // The attempts that have ended.
		pending int           // The number of attempts that runRace has not received from ended.

		mu      sync.Mutex
		changed *sync.Cond // Signals changes of the fields below.
		// running holds the attempts that have not ended.
		running []*attempt
		winner  *attempt // nil before an attempt has won.
		// answered says that the header of a final answer has arrived.
		answered bool
		// contested says that two attempts may have been in progress at once.
		contested bool

		silent chan struct{} // Gets a value when the connection of an attempt is silent.
	}

	// racer is the part of an attempt in a race.
	racer struct {
		race     *race
		send     engine.Send
		begin    time.Time
		cancel   context.CancelFunc // Ends the attempt.
		waiting  bool               // It has a failure to pass on if no other attempt is left. Guarded by race.mu.
		result   engine.Result      // Valid once the attempt has ended.
		panicked any                // What the attempt has panicked with; nil for nothing.
	}
)

const (
	// A second attempt is asked for maxExtraAsks times, since the target may turn slow
	// meanwhile: first at Send.ExtraAfter, the 75th percentile, which one in four calls
	// reaches, or somewhat later, and then whenever the call has taken longer by the part engine.ExtraAskDivisor.
	// The last time is at 7.6 times the first one.
	maxExtraAsks = 6
	// maxWithheldHints bounds the informational responses that are kept until an attempt
	// has won.
	maxWithheldHints = 8
)

// errWithdrawn says that another attempt of the call has won.
var errWithdrawn = errors.New("entry: another attempt has won")

func newRace() *race {
	rc := &race{ended: make(chan *attempt, 2), silent: make(chan struct{}, 1)}
	rc.changed = sync.NewCond(&rc.mu)
	return rc
}

// mayRace reports whether a call may get a second attempt beside the one in progress.
func (c *call) mayRace(r *http.Request) bool {
	return c.class.Idempotent && !c.carriedIn && !expectsContinue(r)
}

// askExtra asks the control host or engine that decides about the call for a second attempt.
// It returns false if there can be none.
func (h *Host) askExtra(c *call, rc *race, silent bool) bool {
	if !rc.mayAsk() || !c.body.buffered() {
		return false
	}
	e := engine.Extra{Call: c.id, Silent: silent}
	if c.control != nil {
		return c.control.AskExtra(e)
	}
	h.system.Root.Send(c.service.pid, e)
	return true
}

// countSecond counts a second attempt of a call: those that the limit of second attempts allows
// apart from those beside a silent one.
func (h *Host) countSecond(c *call) {
	if c.askedSilent {
		h.metrics.Counter("silent_attempts").Add(1)
		return
	}
	h.metrics.Counter("extra_attempts").Add(1)
}

// countSecondWon counts a second attempt that has won, as countSecond does.
func (h *Host) countSecondWon(c *call) {
	if c.askedSilent {
		h.metrics.Counter("silent_attempts_won").Add(1)
		return
	}
	h.metrics.Counter("extra_attempts_won").Add(1)
}

// countCancelled counts an attempt that was given up as another one has won, as countSecond does.
func (h *Host) countCancelled(c *call) {
	if c.askedSilent {
		h.metrics.Counter("silent_attempts_cancelled").Add(1)
		return
	}
	h.metrics.Counter("extra_attempts_cancelled").Add(1)
}

// runRace makes the first attempt of a call and, if one is granted, a second attempt beside
// it. It asks for one after s.ExtraAfter, if that is not 0, and when the connection of the
// first attempt is silent. It reports whether the call has ended, as executeDecision does. It
// returns after both attempts have ended.
func (h *Host) runRace(ctx context.Context, w responseWriter, r *http.Request, first *attempt, s engine.Send) bool {
	c := first.call
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	rc := newRace()
	rc.contested = s.ExtraAfter > 0
	h.start(ctx, w, r, rc, first, s)
	begin := time.Now()
	timer := time.NewTimer(s.ExtraAfter)
	defer timer.Stop()
	if s.ExtraAfter <= 0 {
		timer.Stop()
	}
	var decisions chan engine.Action // That of the call once a second attempt is asked for.
	silent, asks := false, 0
	for {
		select {
		case a := <-rc.ended:
			if last := h.endRaced(ctx, rc, a); last != nil {
				return h.finishRaced(ctx, w, r, last)
			}
			timer.Stop()
		case <-rc.silent:
			silent, asks = true, 0
			timer.Reset(0)
		case <-timer.C:
			c.askedSilent = silent
			if !h.askExtra(c, rc, silent) {
				continue
			}
			h.logAsk(c, s, silent)
			c.decisionRequested, decisions = time.Now(), c.decisions
			if asks++; asks < maxExtraAsks {
				timer.Reset(time.Since(begin) / engine.ExtraAskDivisor)
			}
		case action := <-decisions:
			second, ok := action.(engine.Send)
			if !ok || !second.Extra {
				continue // None is granted, or the call was given up; the attempt goes on.
			}
			timer.Stop()
			decisions = nil
			h.startSecond(ctx, w, r, rc, c, second)
		}
	}
}

// start begins an attempt in a race. It returns false if another attempt has won.
func (h *Host) start(ctx context.Context, w responseWriter, r *http.Request, rc *race, a *attempt, s engine.Send) bool {
	ctx, cancel := context.WithCancel(ctx)
	a.marks.begun = time.Now()
	a.racer = &racer{race: rc, send: s, begin: time.Now(), cancel: cancel}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if rc.winner != nil {
		cancel()
		return false
	}
	rc.running = append(rc.running, a)
	rc.contested = rc.contested || a.extra
	rc.pending++
	go func() {
		defer func() {
			a.racer.panicked = recover() // The handler's goroutine panics with it.
			rc.end(a)
		}()
		a.racer.result = h.forwarder.attempt(ctx, w, r, a, s)
	}()
	return true
}

// startSecond begins the second attempt of a call, unless it must be withheld or an answer
// has arrived.
func (h *Host) startSecond(ctx context.Context, w responseWriter, r *http.Request, rc *race, c *call, s engine.Send) {
	a := newAttempt(c, s)
	if h.mustWithhold(a, s) {
		h.reportRaced(a, engine.NotSent)
		return
	}
	a.noteSend(s)
	_, blocked := h.blockLeft(c, r)
	if blocked || ctx.Err() != nil || !rc.mayAsk() || !h.start(ctx, w, r, rc, a, s) {
		h.reportRaced(a, engine.Withdrawn)
		return
	}
	h.countSecond(c)
	c.progress.send(s.Target)
	h.logSend(c, s)
}

// endRaced handles the end of an attempt. It returns the attempt that decides about the call
// once all have ended, and nil before.
func (h *Host) endRaced(ctx context.Context, rc *race, a *attempt) *attempt {
	if rc.pending--; rc.pending == 0 {
		return a
	}
	if rc.won(a) {
		other := <-rc.ended // It was cancelled as a won.
		rc.pending--
		h.observeRaced(other)
		h.reportRaced(other, other.racer.result)
		return a
	}
	if ctx.Err() != nil {
		return nil // The end of the call ends the other attempt too.
	}
	h.observeRaced(a)
	h.reportRaced(a, a.racer.result)
	return nil
}

// finishRaced ends the race by the attempt that decides about the call; see finishAttempt.
func (h *Host) finishRaced(ctx context.Context, w responseWriter, r *http.Request, a *attempt) bool {
	h.observeRaced(a)
	if a.keyProblem != nil {
		return h.endUnkeyed(w, r, a.call, a.keyProblem)
	}
	return h.finishAttempt(ctx, w, r, a, a.racer.result)
}

// observeRaced records what an attempt that has ended says about its target. It panics if
// the attempt did.
func (h *Host) observeRaced(a *attempt) {
	if a.racer.panicked != nil {
		panic(a.racer.panicked)
	}
	elapsed := time.Since(a.racer.begin)
	h.observeAttempt(a, a.racer.result, elapsed)
	if a.racer.result != engine.Withdrawn {
		return
	}
	h.countCancelled(a.call)
	if h.sampled() {
		h.log.Info("attempt cancelled", "call", a.name, "service", a.service.doc.Name, "target", a.racer.send.Target,
			"attempt", a.racer.send.Attempt, "after", elapsed.String())
	}
}

// reportRaced reports the end of an attempt after which the call goes on with another one.
func (h *Host) reportRaced(a *attempt, result engine.Result) {
	c := a.call
	a.noteEnd(result)
	h.reportAttempt(c, engine.Finish{Call: c.id, Attempt: a.number, Result: result, Replayable: c.body.buffered(), Feedback: a.feedback})
	c.decisionOverdue = nil // No decision follows.
}

// logAsk logs that a second attempt is asked for, if it is sampled.
func (h *Host) logAsk(c *call, s engine.Send, silent bool) {
	if h.sampled() {
		h.log.Info("second attempt asked", "call", c.name, "service", c.service.doc.Name, "target", s.Target,
			"decided_by", c.decidedBy(), "call_number", c.id, "silent", silent, "after", time.Since(c.arrived).String())
	}
}

// mayAsk reports whether a second attempt may be asked for or begin: one attempt is running
// and no answer has arrived.
func (rc *race) mayAsk() bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return len(rc.running) == 1 && !rc.answered
}

// won reports whether an attempt has won.
func (rc *race) won(a *attempt) bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.winner == a
}

// end records that an attempt has ended and hands it to runRace.
func (rc *race) end(a *attempt) {
	rc.mu.Lock()
	rc.running = slices.DeleteFunc(rc.running, func(other *attempt) bool { return other == a })
	rc.changed.Broadcast()
	rc.mu.Unlock()
	rc.ended <- a
}

// reportSilence reports that the connection of the attempt is silent. It returns false if that
// changes nothing, since the call gets no second attempt.
func (a *attempt) reportSilence() bool {
	if a.racer == nil {
		return false
	}
	select {
	case a.racer.race.silent <- struct{}{}:
	default:
	}
	return true
}

// whileAlone calls pass, which writes to the caller, and returns true unless a second attempt
// of the call may have been made.
func (a *attempt) whileAlone(pass func()) bool {
	if a.racer == nil {
		pass()
		return true
	}
	rc := a.racer.race
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if rc.contested {
		return false
	}
	pass()
	return true
}

// noteAnswer records that the header of a final answer has arrived.
func (a *attempt) noteAnswer() {
	if a.racer == nil {
		return
	}
	a.racer.race.mu.Lock()
	defer a.racer.race.mu.Unlock()
	a.racer.race.answered = true
}

// claim reports whether the attempt may write its answer to the caller, and cancels the
// other one if so. A failure may be written only if no other attempt is left, for which
// claim waits.
func (a *attempt) claim(ctx context.Context, failed bool) bool {
	if a.racer == nil {
		return true
	}
	rc := a.racer.race
	stop := context.AfterFunc(ctx, func() {
		rc.mu.Lock()
		defer rc.mu.Unlock()
		rc.changed.Broadcast()
	})
	defer stop()
	if !rc.claim(ctx, a, failed) {
		return false
	}
	a.hints.passWithheld()
	return true
}

// claim is the part of attempt.claim under the lock.
func (rc *race) claim(ctx context.Context, a *attempt, failed bool) bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	a.racer.waiting = failed
	for failed && rc.winner == nil && rc.othersLeft(a) {
		if ctx.Err() != nil {
			return false
		}
		rc.changed.Wait()
	}
	if rc.winner != nil {
		return false
	}
	rc.winner = a
	for _, other := range rc.running {
		if other != a {
			other.racer.cancel()
		}
	}
	rc.changed.Broadcast()
	return true
}

// othersLeft reports whether another attempt than a may still get an answer that is no
// failure. The caller holds mu.
func (rc *race) othersLeft(a *attempt) bool {
	return slices.ContainsFunc(rc.running, func(other *attempt) bool { return other != a && !other.racer.waiting })
}

// mayYield reports whether a failure may be held back, as another attempt is running.
func (a *attempt) mayYield() bool {
	if a.racer == nil {
		return false
	}
	a.racer.race.mu.Lock()
	defer a.racer.race.mu.Unlock()
	return len(a.racer.race.running) > 1
}

// withdrawn reports whether another attempt of the call has won.
func (a *attempt) withdrawn() bool {
	if a.racer == nil {
		return false
	}
	a.racer.race.mu.Lock()
	defer a.racer.race.mu.Unlock()
	return a.racer.race.winner != nil && a.racer.race.winner != a
}

// notClaimed returns the result of an attempt whose answer must not be passed on: another
// one has won, or the call has ended while the answer waited for another one.
func (a *attempt) notClaimed(ctx context.Context) (engine.Result, error) {
	if a.withdrawn() {
		return engine.Withdrawn, errWithdrawn
	}
	return engine.Unknown, ctx.Err()
}

// endWithdrawn closes the connection of an attempt when another one has won. The target may
// still answer, and the answer must reach nobody.
func (f *forwarder) endWithdrawn(conn *links.Conn, a *attempt) engine.Result {
	f.links.Discard(conn)
	a.feedback, a.linkLost = route.Feedback{}, false
	return engine.Withdrawn
}
