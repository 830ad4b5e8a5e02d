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

// noAnswer returns what an attempt without an answer showed of its target. An
// attempt that the caller broke off shows nothing.
func noAnswer(caller context.Context, result engine.Result) route.Feedback {
	switch {
	case caller.Err() != nil:
		return route.Feedback{}
	case result == engine.NotRun:
		return route.Feedback{Ending: route.Unreachable}
	default:
		return route.Feedback{Ending: route.Failed}
	}
}

// readFeedback returns what an answer shows of its target. A load report in
// another form than wire.Load's is left out and counted.
func readFeedback(answer *http.Response, result engine.Result, metrics *telem.Set) route.Feedback {
	f := route.Feedback{Ending: route.Served}
	switch {
	case result == engine.NotRun:
		f.Ending = route.Shed
	case answer.StatusCode >= http.StatusInternalServerError:
		f.Ending = route.Failed
	}
	if state, ok := member.ParseState(answer.Header.Get(wire.HeaderState)); ok {
		f.Drains = state >= member.Draining
	}
	report := answer.Header.Get(wire.HeaderLoad)
	if report == "" {
		return f
	}
	var err error
	if f.Load, err = wire.ParseLoad(report); err != nil {
		metrics.Count("load_reports_refused").Add(1)
		return f
	}
	f.Reported = true
	return f
}
