package entry

import (
	"context"
	"net/http"

	"cardamomspool/core/engine"
	"cardamomspool/core/member"
	"cardamomspool/core/route"
	"cardamomspool/core/wire"
	"cardamomspool/io/telem"
)

// feedbackWithoutResponse returns the feedback about a target after an attempt
// without a response. It is empty when the caller has disconnected, or when this host has
// lost its link to the target, which says nothing about the target. reset says that the target
// has reset the connection.
func (a *attempt) feedbackWithoutResponse(caller context.Context, result engine.Result, reset bool) route.Feedback {
	switch {
	case caller.Err() != nil || a.linkLost:
		return route.Feedback{}
	case result == engine.NotRun:
		return route.Feedback{Outcome: route.Unreachable, Reset: reset}
	default:
		return route.Feedback{Outcome: route.Failed, Reset: reset}
	}
}

// responseFeedback returns the feedback about a target from its response, whose
// HTTP status is status. An invalid load report is omitted and counted.
func responseFeedback(status int, targetInfo wire.AnswerInfo, metrics *telem.Registry) route.Feedback {
	f := route.Feedback{Outcome: route.Served, Draining: targetInfo.State >= member.Draining, AddressTaken: targetInfo.AddressTaken}
	switch {
	case targetInfo.NotRun:
		f.Outcome = route.Shed
	case status >= http.StatusInternalServerError || status == http.StatusTooManyRequests:
		f.Outcome = route.Failed
	}
	if targetInfo.LoadErr != nil {
		metrics.Counter("load_reports_refused").Add(1)
	}
	f.Load, f.Reported = targetInfo.Load, targetInfo.Reported()
	if targetInfo.RestErr != nil {
		metrics.Counter("rests_refused").Add(1)
	} else if !targetInfo.AddressTaken {
		f.Rest = targetInfo.Rest
	}
	if targetInfo.LimitErr != nil {
		metrics.Counter("limits_refused").Add(1)
	}
	f.Limit, f.Answered = targetInfo.Limit, targetInfo.LimitErr == nil && !targetInfo.AddressTaken
	return f
}
