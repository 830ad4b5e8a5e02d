package consol_test

import (
	"net/http"
	"net/url"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

const token = "correct-horse"

// fields returns the fields that the form of the sample service posts, with the
// given hidden fields and with changes as pairs of name and value.
func fields(hidden url.Values, changed ...string) url.Values {
	values := url.Values{
		"name": {"bookings"}, "receive.path_prefixes": {"/bookings"}, "receive.weight": {"1"},
		"receive.deadline": {"10s"}, "receive.non_idempotent_methods": {"POST", "PATCH"},
		"hold.length": {"64"}, "hold.longest_wait": {"500ms"}, "refuse.retry_after": {"1s"},
		"refuse.open_calls": {"4096"}, "measure.probes_per_second": {"0"}, "retry.budget_percent": {"10"}, "retry.window": {"0s"}, "retry.slack": {"0"},
		"route.policy": {"hot_cold"}, "route.ramp": {"2s"}, "retry.attempts": {"3"}, "targets.slots": {"4"}, "targets.connections": {"200"},
	}
	for name, v := range hidden {
		values[name] = v
	}
	for i := 0; i+1 < len(changed); i += 2 {
		values.Set(changed[i], changed[i+1])
	}
	return values
}

// login logs in an operator with the right token.
func (client *recordingClient) login(operator string) {
	client.post(operator, "/login", url.Values{"operator": {operator}, "token": {token}})
}

func TestTwoOperatorsRace(t *testing.T) {
	g := gomega.NewWithT(t)
	client := newRecordingClient(t, token)
	client.login("ana")
	client.login("beni")
	client.comment("Both open the form of revision 1 and review a change.")
	client.do("ana", "GET", "/services/bookings", "")
	anaForm := fields(client.hidden("/review"), "retry.attempts", "2")
	client.do("beni", "GET", "/services/bookings", "")
	beniForm := fields(client.hidden("/review"), "targets.slots", "3",
		"receive.routes[0].path_prefix", "/bookings/deposits", "receive.routes[0].weight", "2",
		"receive.routes[0].deadline", "0s", "receive.routes[0].non_idempotent", "on")
	g.Expect(client.post("ana", "/review", anaForm)).To(gomega.Equal(200))
	anaForm = client.hidden("/apply")
	g.Expect(client.post("beni", "/review", beniForm)).To(gomega.Equal(200))
	beniForm = client.hidden("/apply")
	client.comment("Ana applies first and clicks twice; Beni gets the conflict.")
	g.Expect(client.post("ana", "/apply", anaForm)).To(gomega.Equal(303))
	g.Expect(client.post("ana", "/apply", anaForm)).To(gomega.Equal(303))
	g.Expect(client.post("beni", "/apply", beniForm)).To(gomega.Equal(409))
	g.Expect(client.store.values["bookings"].Revision).To(gomega.Equal(uint64(2)))
	beniConflict := client.body
	client.comment("Ana goes back to the form that she has applied, changes another field and applies it.")
	changed := url.Values{}
	for name, v := range anaForm {
		changed[name] = v
	}
	changed.Set("document", strings.Replace(anaForm.Get("document"), `"slots":4`, `"slots":9`, 1))
	g.Expect(client.post("ana", "/apply", changed)).To(gomega.Equal(409))
	g.Expect(client.store.values["bookings"].Revision).To(gomega.Equal(uint64(2)))
	client.body = beniConflict
	client.comment("Beni takes his version to the form on top of revision 2 and applies it.")
	g.Expect(client.post("beni", "/form", client.hidden("/form"))).To(gomega.Equal(200))
	beniForm = fields(client.hidden("/review"), "targets.slots", "3", "retry.attempts", "2")
	g.Expect(client.post("beni", "/review", beniForm)).To(gomega.Equal(200))
	g.Expect(client.post("beni", "/apply", client.hidden("/apply"))).To(gomega.Equal(303))
	client.do("beni", "GET", "/services/bookings/history", "")
	client.compare("race")
}

func TestLostAnswerIsSentAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	client := newRecordingClient(t, token)
	client.login("ana")
	client.do("ana", "GET", "/services/bookings", "")
	client.post("ana", "/review", fields(client.hidden("/review"), "targets.slots", "5"))
	client.comment("The change takes effect, and its answer is lost.")
	client.store.loseAnswers = 1
	g.Expect(client.post("ana", "/apply", client.hidden("/apply"))).To(gomega.Equal(503))
	again := client.hidden("/apply")
	client.comment("Ana sends the same change again, and again after another one by the API.")
	g.Expect(client.post("ana", "/apply", again)).To(gomega.Equal(303))
	g.Expect(client.do("api", "DELETE", "/v1/services/bookings", "", "Authorization", "Bearer "+token,
		"If-Match", "2", "Idempotency-Key", "d1", "Spool-Operator", "carla")).To(gomega.Equal(200))
	g.Expect(client.post("ana", "/apply", again)).To(gomega.Equal(303))
	g.Expect(client.store.values["bookings"].Revision).To(gomega.Equal(uint64(3)))
	g.Expect(client.do("ana", "GET", "/services/bookings?applied=2", "")).To(gomega.Equal(404))
	client.comment("The deleted service is used again from its history.")
	client.do("ana", "GET", "/services/bookings/history", "")
	client.do("ana", "GET", "/services/bookings?from=2", "")
	client.post("ana", "/review", fields(client.hidden("/review"), "targets.slots", "5"))
	g.Expect(client.post("ana", "/apply", client.hidden("/apply"))).To(gomega.Equal(303))
	client.comment("Without a majority the newest known version is shown as such.")
	client.store.noMajority = true
	client.do("ana", "GET", "/services/bookings/delete", "")
	g.Expect(client.post("ana", "/delete", client.hidden("/delete"))).To(gomega.Equal(503))
	client.store.noMajority, client.store.recovering = false, true
	g.Expect(client.post("ana", "/delete", client.hidden("/delete"))).To(gomega.Equal(503))
	g.Expect(client.store.values["bookings"].Deleted).To(gomega.BeFalse())
	client.compare("lost_answer")
}

func TestUnauthorisedRequestsAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	client := newRecordingClient(t, token)
	g.Expect(client.do("eve", "GET", "/", "")).To(gomega.Equal(303))
	g.Expect(client.post("eve", "/login", url.Values{"operator": {"eve"}, "token": {"wrong"}})).To(gomega.Equal(403))
	g.Expect(client.post("eve", "/apply", url.Values{"name": {"bookings"}, "base": {"1"}, "request": {"x"}})).To(gomega.Equal(403))
	g.Expect(client.do("eve", "GET", "/v1/services", "")).To(gomega.Equal(401))
	g.Expect(client.do("eve", "DELETE", "/v1/services/bookings", "", "Authorization", "Bearer wrong")).To(gomega.Equal(401))
	client.comment("A form of Ana's session is no use in Eve's hands, nor from another site.")
	client.login("ana")
	client.do("ana", "GET", "/services/bookings/delete", "")
	form := client.hidden("/delete")
	g.Expect(client.post("eve", "/delete", form)).To(gomega.Equal(403))
	form.Set("form", "forged")
	g.Expect(client.post("ana", "/delete", form)).To(gomega.Equal(403))
	g.Expect(client.do("ana", "POST", "/delete", form.Encode(), "Content-Type", "application/x-www-form-urlencoded",
		"Origin", "http://elsewhere.example", "Sec-Fetch-Site", "cross-site")).To(gomega.Equal(403))
	g.Expect(client.store.values["bookings"].Revision).To(gomega.Equal(uint64(1)))
	client.compare("strangers")
}

func TestWithoutTokenOnlyLoopbackNamesAreServed(t *testing.T) {
	g := gomega.NewWithT(t)
	client := newRecordingClient(t, "")
	g.Expect(client.do("local", "GET", "/", "")).To(gomega.Equal(200))
	for _, name := range []string{"rebound.example:7001", "192.0.2.7", ""} {
		g.Expect(client.do("eve", "GET", "/v1/services", "", "Host", name)).To(gomega.Equal(421), name)
		g.Expect(client.do("eve", "GET", "/", "", "Host", name)).To(gomega.Equal(421), name)
	}
	for _, name := range []string{"localhost:7001", "[::1]:7001", "127.0.0.1"} {
		g.Expect(client.do("local", "GET", "/", "", "Host", name)).To(gomega.Equal(200), name)
	}
	w := client.cookies["local"][0]
	g.Expect(w.HttpOnly).To(gomega.BeTrue())
	g.Expect(w.SameSite).To(gomega.Equal(http.SameSiteStrictMode))
}

func TestBadInputChangesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	client := newRecordingClient(t, "")
	good := `{"name":"bookings","receive":{"path_prefixes":["/"]}}`
	put := func(status int, body string, headers ...string) {
		g.Expect(client.do("api", "PUT", "/v1/services/bookings", body, headers...)).To(gomega.Equal(status))
	}
	put(400, `{"name":"bookings",`, "If-Match", "1", "Idempotency-Key", "k1")
	put(400, `{"name":"books","receive":{"weight":0,"colour":"red"},"hold":{"length":"x"}}`, "If-Match", "1", "Idempotency-Key", "k2")
	put(413, strings.Repeat(" ", 70<<10)+good, "If-Match", "1", "Idempotency-Key", "k3")
	put(428, good, "Idempotency-Key", "k4")
	put(400, good, "If-Match", "one", "Idempotency-Key", "k5")
	put(400, good, "If-Match", "1")
	client.comment("A new service under a name that is taken, and a revision that never was.")
	put(409, good, "If-Match", "0", "Idempotency-Key", "k6")
	put(409, good, "If-Match", "7", "Idempotency-Key", "k6")
	client.comment("The key of an accepted request under another document is no resend.")
	put(422, good, "If-Match", "0", "Idempotency-Key", "first")
	g.Expect(client.do("api", "PUT", "/v1/services/Bad..Name", good, "If-Match", "0", "Idempotency-Key", "k7")).To(gomega.Equal(400))
	g.Expect(client.do("api", "DELETE", "/v1/services/nothing", "", "If-Match", "0", "Idempotency-Key", "k8")).To(gomega.Equal(400))
	g.Expect(client.do("api", "GET", "/v1/services/nothing", "")).To(gomega.Equal(404))
	g.Expect(client.do("api", "POST", "/v1/validate", `{"name":"x"}`)).To(gomega.Equal(400))
	g.Expect(client.do("api", "POST", "/v1/validate", good)).To(gomega.Equal(200))
	g.Expect(client.do("api", "GET", "/v1/services/bookings/history", "")).To(gomega.Equal(200))
	client.comment("The form names each fault beside its field.")
	client.do("ana", "GET", "/new", "")
	g.Expect(client.post("ana", "/review", fields(client.hidden("/review"), "name", "Bookings", "receive.path_prefixes", "bookings\n/x",
		"retry.attempts", "many", "hold.longest_wait", "soon", "targets.slots", "0",
		"receive.routes[4].path_prefix", "y", "receive.routes[4].weight", "0", "receive.routes[4].deadline", "0s"))).To(gomega.Equal(422))
	g.Expect(client.store.values).To(gomega.HaveLen(1))
	g.Expect(client.store.values["bookings"].Revision).To(gomega.Equal(uint64(1)))
	client.compare("bad_input")
}
