package entry

import (
	"github.com/pkg/errors"

	"cardamomspool/core/engine"
	"cardamomspool/core/wire"
	"cardamomspool/io/links"
)

// The reasons for which a refusal may be that of an earlier request on its connection.
const (
	doubtOtherCall = "names_another_call"
	doubtNoName    = "names_no_call"
)

var errDoubtedRefusal = errors.New("entry: the refusal may be that of an earlier call")

// checkRefusal returns an error when a target's refusal may belong to an earlier request on
// conn, so that it does not prove that the target has not run the call; err is that of
// checkFinalResponse. It records any other response.
func (f *forwarder) checkRefusal(conn *links.Conn, a *attempt, s engine.Send, targetInfo wire.AnswerInfo, err error) error {
	reason := ""
	switch {
	case !targetInfo.NotRun:
		f.links.NoteAnswer(s.Address)
	case targetInfo.Foreign:
		reason = doubtOtherCall
	case !targetInfo.Named && conn.Refused():
		reason, err = doubtNoName, errDoubtedRefusal
	case err == nil:
		a.refusedOn = conn
		f.links.NoteRefusal(conn, targetInfo.Named)
	}
	if reason != "" {
		f.metrics.Counter("refusals_doubted").Add(1)
		f.log.Warn("refusal doubted", "call", a.name, "service", a.service.doc.Name, "target", s.Target, "reason", reason,
			"fresh_connection", conn.Fresh(), "idempotent", a.class.Idempotent)
	}
	return err
}

// endResponse ends the request on conn after a complete response. It closes conn after a
// refusal that names no call: the target may write it again, as the response to a later
// request.
func (f *forwarder) endResponse(conn *links.Conn, s engine.Send, targetInfo wire.AnswerInfo) {
	if targetInfo.NotRun && !targetInfo.Named && conn.Address() == s.Address {
		f.links.Discard(conn)
		return
	}
	conn.EndResponse()
}
