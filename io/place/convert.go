package place

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/engine"
	"cardamomspool/core/route"
	"cardamomspool/core/spec"
	"cardamomspool/core/wire"
	"cardamomspool/io/peer/peerpb"
)

// errUnknownDecision reports a decision of an unknown kind.
var errUnknownDecision = errors.New("place: decision of an unknown kind")

// fromArrive encodes the arrival of a call, with the time left until its deadline.
func fromArrive(service string, e engine.Arrive, now time.Time) *peerpb.CallEvent {
	routeRank := 0
	if e.Class.Account != "" {
		routeRank = max(e.Class.RouteRank, 0)
	}
	return &peerpb.CallEvent{Call: e.Call, Service: service, Event: &peerpb.CallEvent_Arrive{Arrive: &peerpb.CallArrive{
		LeftMs: uint32(max(e.Deadline.Sub(now), 0).Milliseconds()), AimMs: uint32(e.Class.Aim.Milliseconds()),
		Rank: uint32(max(e.Class.Rank, 0)), Attempts: uint32(max(e.Class.Attempts, 0)), Idempotent: e.Class.Idempotent,
		Weight: uint32(max(e.Class.Weight, 0)), DataCentre: e.DataCentre, Late: e.Class.Late, Account: e.Class.Account, Returned: e.Class.Returned, RouteRank: uint32(routeRank),
		ResetTargets: e.Resets,
	}}}
}

// toArrive decodes the arrival of a call; call is the control host's ID of the call, and
// host identifies the entry host.
// The deadline is the time left, as the entry host sent it, after now.
func toArrive(call, host uint64, m *peerpb.CallArrive, now time.Time) engine.Arrive {
	left := time.Duration(m.GetLeftMs()) * time.Millisecond
	return engine.Arrive{
		Call: call, Deadline: now.Add(left), DataCentre: m.GetDataCentre(), Host: host, Resets: m.GetResetTargets(),
		Class: spec.Class{
			Weight: int(m.GetWeight()), Deadline: left, Idempotent: m.GetIdempotent(), Rank: int(m.GetRank()),
			Aim: time.Duration(m.GetAimMs()) * time.Millisecond, Attempts: int(m.GetAttempts()), Late: m.GetLate(), Account: m.GetAccount(), Returned: m.GetReturned(), RouteRank: int(m.GetRouteRank()),
		},
	}
}

// fromFinish encodes the result of an attempt.
func fromFinish(e engine.Finish) *peerpb.CallEvent {
	m := &peerpb.CallFinish{
		Result: uint32(e.Result), Replayable: e.Replayable, Ending: uint32(e.Feedback.Outcome),
		Drains: e.Feedback.Draining, Gone: e.Feedback.AddressTaken,
		RestMs: uint32(e.Feedback.Rest.Round(time.Millisecond).Milliseconds()), Attempt: uint32(max(e.Attempt, 0)),
		ConnectionReset: e.Feedback.Reset,
	}
	if e.Feedback.Reported {
		l := e.Feedback.Load
		m.Report = &peerpb.LoadReport{Running: uint32(l.Running), Queued: uint32(l.Queued), Slots: uint32(l.Slots), Speed: uint32(l.Pace)}
	}
	if m.Answered = e.Feedback.Answered; e.Feedback.Limit.Named {
		m.Limit = &e.Feedback.Limit.Rate
	}
	return &peerpb.CallEvent{Call: e.Call, Event: &peerpb.CallEvent_Finish{Finish: m}}
}

// toFinish decodes the result of an attempt; call is the control host's ID of the
// call.
func toFinish(call uint64, m *peerpb.CallFinish) engine.Finish {
	f := route.Feedback{Outcome: route.Outcome(m.GetEnding()), Draining: m.GetDrains(), AddressTaken: m.GetGone(), Answered: m.GetAnswered(), Reset: m.GetConnectionReset()}
	f.Rest = time.Duration(m.GetRestMs()) * time.Millisecond
	if m.Limit != nil {
		f.Limit = wire.Limit{Named: true, Rate: m.GetLimit()}
	}
	if l := m.GetReport(); l != nil {
		f.Reported = true
		f.Load = wire.Load{Running: int(l.GetRunning()), Queued: int(l.GetQueued()), Slots: int(l.GetSlots()), Pace: int(l.GetSpeed())}
	}
	return engine.Finish{Call: call, Attempt: int(m.GetAttempt()), Result: engine.Result(m.GetResult()), Replayable: m.GetReplayable(), Feedback: f}
}

// fromAction encodes a decision; call is the entry host's ID of the call.
func fromAction(call uint64, a engine.Action) *peerpb.CallDecision {
	m := &peerpb.CallDecision{Call: call}
	switch a := a.(type) {
	case engine.Send:
		m.ResetsWhenFull = a.ResetsWhenFull
		m.Decision = &peerpb.CallDecision_Send{Send: &peerpb.CallSend{
			Target: a.Target, Address: a.Address.String(), Attempt: uint32(a.Attempt), Candidates: uint32(a.Candidates),
			Why: string(a.Why), InFlight: uint32(a.InFlight), ReportAgeUs: a.ReportAge.Microseconds(), HeldUs: a.HeldFor.Microseconds(),
			Incarnation: a.Incarnation, ExtraAfterMs: uint32(a.ExtraAfter.Milliseconds()), Extra: a.Extra,
		}}
	case engine.Refuse:
		m.ResetsWhenFull = a.ResetsWhenFull
		m.Decision = &peerpb.CallDecision_Refuse{Refuse: &peerpb.CallRefuse{
			Reason: string(a.Reason), NotRun: a.NotRun, RetryAfterMs: uint32(a.RetryAfter.Milliseconds()),
		}}
	case engine.Hold:
		m.ResetsWhenFull = a.ResetsWhenFull
		m.Decision = &peerpb.CallDecision_Hold{Hold: &peerpb.CallHold{}}
	}
	return m
}

// toAction decodes a decision. It returns an error for an invalid target address or
// an unknown kind.
func toAction(m *peerpb.CallDecision) (engine.Action, error) {
	switch d := m.GetDecision().(type) {
	case *peerpb.CallDecision_Send:
		address, err := netip.ParseAddrPort(d.Send.GetAddress())
		if err != nil {
			return nil, errors.Wrap(err, "place: target address")
		}
		return engine.Send{
			Call: m.GetCall(), Target: d.Send.GetTarget(), Address: address, Attempt: int(d.Send.GetAttempt()),
			Candidates: int(d.Send.GetCandidates()), Why: route.Why(d.Send.GetWhy()), InFlight: int(d.Send.GetInFlight()),
			ReportAge: time.Duration(d.Send.GetReportAgeUs()) * time.Microsecond,
			HeldFor:   time.Duration(d.Send.GetHeldUs()) * time.Microsecond, Incarnation: d.Send.GetIncarnation(),
			ExtraAfter: time.Duration(d.Send.GetExtraAfterMs()) * time.Millisecond, Extra: d.Send.GetExtra(),
			ResetsWhenFull: m.GetResetsWhenFull(),
		}, nil
	case *peerpb.CallDecision_Refuse:
		return engine.Refuse{
			Call: m.GetCall(), Reason: engine.Reason(d.Refuse.GetReason()), NotRun: d.Refuse.GetNotRun(),
			RetryAfter: time.Duration(d.Refuse.GetRetryAfterMs()) * time.Millisecond, ResetsWhenFull: m.GetResetsWhenFull(),
		}, nil
	case *peerpb.CallDecision_Hold:
		return engine.Hold{Call: m.GetCall(), ResetsWhenFull: m.GetResetsWhenFull()}, nil
	}
	return nil, errUnknownDecision
}
