package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/core/engine"
)

// Guards against a metric, or log lines, that grow with the number of accounts.
func TestTallyOfAccountsIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	var tally accountTally
	for i := range 3 * maxTallied {
		name := fmt.Sprintf("account-%04d", i)
		tally.admit(name)
		tally.refuse(name, engine.NoProspect)
	}
	tally.admit("")
	tally.refuse("", engine.OverQuota)
	counts := tally.counts().(accountCounts)
	g.Expect(counts.Accounts).To(gomega.HaveLen(maxTallied))
	g.Expect(counts.Others).To(gomega.Equal(accountCalls{Admitted: 2 * maxTallied, NoRoom: 2 * maxTallied}))
	var log bytes.Buffer
	tally.logNoRoom(slog.New(slog.NewTextHandler(&log, nil)))
	g.Expect(strings.Count(log.String(), "\n")).To(gomega.Equal(maxNoRoomLines + 1))
	log.Reset()
	tally.logNoRoom(slog.New(slog.NewTextHandler(&log, nil)))
	g.Expect(log.String()).To(gomega.BeEmpty(), "nothing was refused since")
	tally.refuse("account-0007", engine.QueueFull)
	tally.logNoRoom(slog.New(slog.NewTextHandler(&log, nil)))
	g.Expect(log.String()).To(gomega.ContainSubstring("account=account-0007 refused=1"))
}

// Guards against refusals that are counted for another reason or for no account, as operators
// then raise a quota in place of adding targets.
func TestDecisionsAreCountedByAccount(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newQuotaHost(10, 10)
	for _, reason := range []engine.Reason{engine.OverQuota, engine.NoProspect, engine.WaitedTooLong, engine.NoTarget} {
		recorder, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/a/x", http.NoBody)
		w := responseWriter{ResponseWriter: recorder, controller: http.NewResponseController(recorder)}
		g.Expect(h.executeDecision(t.Context(), w, r, newQuotaCall(h), engine.Refuse{Reason: reason, NotRun: true})).To(gomega.BeTrue())
	}
	text, err := json.Marshal(h.accountCalls.counts())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(text)).To(gomega.Equal(`{"accounts":{"a":{"admitted":0,"over_quota":1,"no_room":2}},"others":{"admitted":0,"over_quota":0,"no_room":0}}`))
}
