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

// readFeedback returns what an answer shows of its target. A load report that
// could not be read is left out and counted.
func readFeedback(status int, heard wire.Heard, metrics *telem.Set) route.Feedback {
	f := route.Feedback{Ending: route.Served, Drains: heard.State >= member.Draining, Gone: heard.Gone}
	switch {
	case heard.NotRun:
		f.Ending = route.Shed
	case status >= http.StatusInternalServerError:
		f.Ending = route.Failed
	}
	if heard.LoadErr != nil {
		metrics.Count("load_reports_refused").Add(1)
	}
	f.Load, f.Reported = heard.Load, heard.Reported()
	return f
}
