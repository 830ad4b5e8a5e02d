package consol_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"html"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/url"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/quorum"
	"cardamomspool/core/spec"
	"cardamomspool/internal/golden"
	"cardamomspool/io/admin"
	"cardamomspool/io/consol"
	"cardamomspool/io/telem"
)

type (
	// fakeStore is a Store in memory. It applies the next loseAnswers changes
	// and returns ErrNoMajority for them, as if the answers were lost.
	fakeStore struct {
		values      map[string]quorum.Value
		history     map[string][]quorum.Value
		loseAnswers int
		// noMajority makes changes and reads fail with ErrNoMajority, recovering
		// makes changes fail with ErrRecovering.
		noMajority bool
		recovering bool
	}

	// recordingClient is a test client that sends requests to the handler of API and
	// console, and records them with their answers in text, the transcript, for
	// comparison with a golden file. cookies holds the cookies of each operator, by
	// name, and body is the body of the last answer.
	recordingClient struct {
		accounts []admin.AccountUse // What GET /accounts shows.
		t        *testing.T
		store    *fakeStore
		handler  http.Handler
		text     strings.Builder
		cookies  map[string][]*http.Cookie
		body     string
	}
)

var (
	_ admin.Store = (*fakeStore)(nil)

	start = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)

	head          = regexp.MustCompile(`(?s)<head>.*</head>|<header>.*</header>|<a class="skip".*?</a>|<footer>.*</footer>`)
	controls      = regexp.MustCompile(`(?s)<(input|textarea|select)[^>]*?name="([^"]*)"[^>]*>`)
	document      = regexp.MustCompile(`(?s)<pre tabindex="0">.*?</pre>`)
	fieldForm     = regexp.MustCompile(`(?s)<form method="post" action="/review">.*?</form>`)
	faultyElement = regexp.MustCompile(`<[^>]*aria-invalid="true"[^>]*>|<p class="fault">.*?</p>`)
	blockEnd      = regexp.MustCompile(`</(p|th|td|h1|h2|tr|li|pre|span|legend|label|fieldset|form|table|div|section|summary|button)>`)
	tags          = regexp.MustCompile(`<[^>]*>`)
	blankLines    = regexp.MustCompile(`\n\s*\n+`)
	hiddenValue   = regexp.MustCompile(`<input type="hidden" name="([^"]*)" value="([^"]*)">`)
)

func (s *fakeStore) Apply(_ context.Context, c quorum.Change) (quorum.Request, error) {
	switch {
	case s.noMajority:
		return quorum.Request{}, quorum.ErrNoMajority
	case s.recovering:
		return quorum.Request{}, quorum.ErrRecovering
	}
	old := s.values[c.Name]
	next, done, err := quorum.Apply(old, c)
	if err == nil && next.Revision > old.Revision {
		s.values[c.Name] = next
		s.history[c.Name] = append(s.history[c.Name], next)
	}
	if s.loseAnswers > 0 {
		s.loseAnswers--
		return quorum.Request{}, quorum.ErrNoMajority
	}
	return done, err
}

func (s *fakeStore) Get(name string) (spec.Versioned, bool) {
	v := s.values[name].Versioned
	return v, v.Revision > 0 && !v.Deleted
}

func (s *fakeStore) Read(_ context.Context, name string) (spec.Versioned, error) {
	if s.noMajority {
		return spec.Versioned{}, quorum.ErrNoMajority
	}
	return s.values[name].Versioned, nil
}

func (s *fakeStore) List() []spec.Versioned {
	list := []spec.Versioned{}
	for _, v := range s.values {
		if !v.Deleted && v.Name != spec.AccountsName {
			list = append(list, v.Versioned)
		}
	}
	return list
}

func (s *fakeStore) History(name string) []quorum.Value {
	return s.history[name]
}

func (s *fakeStore) Status() quorum.Status {
	return quorum.Status{Host: "control-1", Voting: true, Majority: 2, Reachable: 3, Registers: len(s.values)}
}

// newRecordingClient returns a client of a store that holds the service bookings. An
// empty token means that operators need none.
func newRecordingClient(t *testing.T, token string, opts ...consol.Option) *recordingClient {
	client := &recordingClient{
		t: t, cookies: make(map[string][]*http.Cookie),
		store: &fakeStore{values: make(map[string]quorum.Value), history: make(map[string][]quorum.Value)},
	}
	now, ids := start, 0
	clock := func() time.Time { now = now.Add(time.Second); return now }
	newID := func() string { ids++; return fmt.Sprintf("id-%d", ids) }
	pages := consol.New(client.store, "control-1", append(opts, consol.WithToken(token), consol.WithClock(clock), consol.WithIDs(newID),
		consol.WithAccounts(func(context.Context) []admin.AccountUse { return client.accounts }))...)
	client.handler = admin.NewControl(client.store, token, telem.NewRegistry(), slog.New(slog.DiscardHandler),
		admin.WithPages(pages), admin.WithClock(clock))
	doc := spec.Default()
	doc.Name, doc.Receive.PathPrefixes = "bookings", []string{"/bookings"}
	_, err := admin.NewEditor(client.store, slog.New(slog.DiscardHandler), clock).Submit(context.Background(),
		admin.Draft{Name: "bookings", Key: "first", Operator: "marta", Document: spec.Canonical(doc)})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return client
}

// do sends a request with the operator's cookies and returns the status of the
// answer. Headers are pairs of name and value.
func (client *recordingClient) do(operator, method, target, body string, headers ...string) int {
	r := httptest.NewRequest(method, "http://127.0.0.1:7001"+target, strings.NewReader(body))
	for i := 0; i+1 < len(headers); i += 2 {
		if headers[i] == "Host" {
			r.Host = headers[i+1]
		}
		r.Header.Set(headers[i], headers[i+1])
	}
	for _, cookie := range client.cookies[operator] {
		r.AddCookie(cookie)
	}
	w := httptest.NewRecorder()
	client.handler.ServeHTTP(w, r)
	client.body = w.Body.String()
	if set := w.Result().Cookies(); len(set) > 0 {
		client.cookies[operator] = set
	}
	fmt.Fprintf(&client.text, "%s> %s %s\n", operator, method, target)
	for i := 0; i+1 < len(headers); i += 2 {
		if headers[i] != "Content-Type" {
			fmt.Fprintf(&client.text, "%s> %s: %s\n", operator, headers[i], headers[i+1])
		}
	}
	if method != http.MethodGet && len(body) < 300 && headers != nil && headers[0] != "Content-Type" {
		fmt.Fprintf(&client.text, "%s> %s\n", operator, body)
	}
	client.writeAnswer(w)
	return w.Code
}

// writeAnswer adds an answer to the transcript: its status, some header fields and
// its body, which is shortened to its text if it is a page.
func (client *recordingClient) writeAnswer(w *httptest.ResponseRecorder) {
	fmt.Fprintf(&client.text, "< %d\n", w.Code)
	for _, name := range []string{"Location", "Retry-After", "Etag", "WWW-Authenticate"} {
		if v := w.Header().Get(name); v != "" {
			fmt.Fprintf(&client.text, "< %s: %s\n", name, v)
		}
	}
	text := client.body
	if strings.HasPrefix(w.Header().Get("Content-Type"), "text/html") {
		text = pageText(text)
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, []byte(text)); err == nil {
		text = compact.String()
	}
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		fmt.Fprintf(&client.text, "  %s\n", strings.TrimRight(line, " "))
	}
	client.text.WriteString("\n")
}

// pageText returns the text of a page. Each document is on one line, and a form is
// reduced to its faults and the fields that have them.
func pageText(page string) string {
	page = head.ReplaceAllString(page, "")
	page = document.ReplaceAllStringFunc(page, func(block string) string {
		var buf bytes.Buffer
		if err := json.Compact(&buf, []byte(html.UnescapeString(tags.ReplaceAllString(block, "")))); err != nil {
			return block
		}
		return html.EscapeString(buf.String()) + "</pre>"
	})
	page = fieldForm.ReplaceAllStringFunc(page, func(form string) string {
		return strings.Join(append(faultyElement.FindAllString(form, -1), "[form]</p>"), "\n")
	})
	page = hiddenValue.ReplaceAllString(page, "")
	page = controls.ReplaceAllString(page, "[$2]")
	page = blockEnd.ReplaceAllString(page, "\n")
	page = html.UnescapeString(tags.ReplaceAllString(page, ""))
	return blankLines.ReplaceAllString(page, "\n")
}

// hidden returns the hidden fields of the form on the last page that posts to
// action.
func (client *recordingClient) hidden(action string) url.Values {
	_, form, ok := strings.Cut(client.body, `action="`+action+`"`)
	if !ok {
		client.t.Fatalf("the page has no form for %s:\n%s", action, client.body)
	}
	form, _, _ = strings.Cut(form, "</form>")
	values := url.Values{}
	for _, m := range hiddenValue.FindAllStringSubmatch(form, -1) {
		values.Set(m[1], html.UnescapeString(m[2]))
	}
	return values
}

// post sends a form and returns the status.
func (client *recordingClient) post(operator, action string, values url.Values) int {
	return client.do(operator, http.MethodPost, action, values.Encode(), "Content-Type", "application/x-www-form-urlencoded")
}

// comment adds a comment to the transcript.
func (client *recordingClient) comment(text string) {
	fmt.Fprintf(&client.text, "# %s\n", text)
}

// compare compares the transcript with its golden file.
func (client *recordingClient) compare(name string) {
	golden.Compare(client.t, name, client.text.String())
}
