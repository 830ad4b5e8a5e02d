package consol

import (
	"bytes"
	"context"
	"crypto/rand"
	"embed"
	"html/template"
	"log/slog"
	"net/http"
	"time"

	"cardamomspool/core/spec"
	"cardamomspool/io/admin"
)

type (
	// Console is the HTTP handler of the operators' pages. Use New.
	Console struct {
		store      admin.Store
		editor     *admin.Editor
		fleet      *admin.Fleet
		host       string
		token      string
		signer     signer
		log        *slog.Logger
		now        func() time.Time
		newID      func() string
		mux        *http.ServeMux
		evacuation func() (uint64, []string)
		accounts   func(context.Context) []admin.AccountUse
		// accountsForm says that the accounts are a document that operators may change.
		accountsForm bool
	}

	// Option sets one property of a Console.
	Option func(*Console)

	// pageHandler handles a request of session s.
	pageHandler func(w http.ResponseWriter, r *http.Request, s session)
)

const (
	// maxFormBytes is the longest body of a request. The form of the longest
	// document fits into it.
	maxFormBytes = 16 * spec.MaxDocumentBytes

	// contentSecurityPolicy lets a page load the console's stylesheet and inline
	// images, and nothing else.
	contentSecurityPolicy = "default-src 'none'; style-src 'self'; img-src data:; form-action 'self'; frame-ancestors 'none'; base-uri 'none'"
)

var (
	_ http.Handler = (*Console)(nil)

	//go:embed pages
	files embed.FS

	templates = template.Must(template.New("").Funcs(template.FuncMap{
		"when":          formatTime,
		"indent":        func(body []byte) string { return string(spec.Indent(body)) },
		"diff":          diffLines,
		"field":         fieldID,
		"nextRevision":  func(base uint64) uint64 { return base + 1 },
		"accountPath":   func(i int) string { return rowPath(accountsList, i) },
		"accountInputs": accountInputs, "keyActions": func() []keyAction { return []keyAction{keyKeep, keyRotate, keyWithdraw} },
	}).ParseFS(files, "pages/*.html"))
)

// WithToken makes operators log in with a token; by default no login is needed.
func WithToken(token string) Option {
	return func(c *Console) { c.token = token }
}

// WithFleet sets the entry hosts whose services and targets are shown; the default
// is none.
func WithFleet(f *admin.Fleet) Option {
	return func(c *Console) { c.fleet = f }
}

// WithEvacuation sets the function that returns the evacuated data centres, which are
// shown; the default is none.
func WithEvacuation(evacuation func() (revision uint64, dataCentres []string)) Option {
	return func(c *Console) { c.evacuation = evacuation }
}

// WithAccounts sets the function that returns the use of client accounts, which is shown; the
// default is none.
func WithAccounts(accounts func(context.Context) []admin.AccountUse) Option {
	return func(c *Console) { c.accounts = accounts }
}

// WithAccountsForm lets operators change the document of the client accounts. In a fleet the
// accounts are part of the configuration instead.
func WithAccountsForm() Option {
	return func(c *Console) { c.accountsForm = true }
}

// WithLogger sets the logger; the default discards.
func WithLogger(log *slog.Logger) Option {
	return func(c *Console) { c.log = log }
}

// WithClock sets the clock; the default is time.Now.
func WithClock(now func() time.Time) Option {
	return func(c *Console) { c.now = now }
}

// WithIDs sets the generator of request and session ids; the default is
// crypto/rand.Text. The ids must not be guessable.
func WithIDs(newID func() string) Option {
	return func(c *Console) { c.newID = newID }
}

// New returns the console of the control host called host, which reads and changes
// documents in store.
func New(store admin.Store, host string, opts ...Option) *Console {
	c := &Console{
		store: store, host: host, fleet: admin.NewFleet(nil), log: slog.New(slog.DiscardHandler),
		now: time.Now, newID: rand.Text, mux: http.NewServeMux(),
		evacuation: func() (uint64, []string) { return 0, nil },
		accounts:   func(context.Context) []admin.AccountUse { return nil },
	}
	for _, opt := range opts {
		opt(c)
	}
	c.signer = newSigner(c.token)
	c.editor = admin.NewEditor(store, c.log, c.now)
	c.routes()
	return c
}

// routes registers the handlers of all pages and forms.
func (c *Console) routes() {
	c.mux.HandleFunc("GET /style.css", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Cache-Control", "max-age=300")
		http.ServeFileFS(w, r, files, "pages/style.css")
	})
	c.mux.HandleFunc("GET /login", c.loginForm)
	c.mux.HandleFunc("POST /login", c.login)
	c.handle("GET /{$}", c.list)
	c.handle("GET /hosts", c.hosts)
	c.handle("GET /accounts", c.listAccounts)
	if c.accountsForm {
		c.handle("GET /accounts/form", c.editAccounts)
		c.handle("POST /accounts/form", c.reopenAccounts)
		c.handle("POST /accounts/review", c.reviewAccounts)
		c.handle("POST /accounts/apply", c.applyAccounts)
		c.handle("POST /accounts/rebase", c.rebaseAccounts)
	}
	c.handle("GET /new", c.newForm)
	c.handle("GET /services/{name}", c.editForm)
	c.handle("GET /services/{name}/history", c.history)
	c.handle("GET /services/{name}/delete", c.deleteForm)
	c.handle("POST /form", c.reopenForm)
	c.handle("POST /review", c.review)
	c.handle("POST /apply", c.apply)
	c.handle("POST /delete", c.delete)
	c.handle("POST /logout", func(w http.ResponseWriter, r *http.Request, _ session) { c.logout(w, r) })
	c.handle("GET /", func(w http.ResponseWriter, _ *http.Request, s session) {
		c.problem(w, http.StatusNotFound, s, "No such page", "There is nothing under this address.")
	})
}

// handle registers next for requests that have a session. A GET without one is
// redirected to the login. A POST must also carry the form token of its session, and
// is refused otherwise.
func (c *Console) handle(pattern string, next pageHandler) {
	c.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		s, ok := c.session(w, r)
		switch {
		case !ok && r.Method == http.MethodGet:
			http.Redirect(w, r, "/login", http.StatusSeeOther)
		case r.Method == http.MethodPost && (!ok || !c.signer.verifyForm(s, r.PostFormValue("form"))):
			c.log.Warn("form refused", "remote", r.RemoteAddr, "path", r.URL.Path)
			c.problem(w, http.StatusForbidden, s, "This form has expired",
				"Nothing was changed. Your session has ended, or the form is from another one. Log in again and start again from the list.")
		case r.PathValue("name") == spec.AccountsName || r.PostFormValue("name") == spec.AccountsName:
			// The pages of services would show the keys of accounts.
			c.problem(w, http.StatusNotFound, s, "No such service", "The client accounts are no service.")
		default:
			next(w, r, s)
		}
	})
}

// ServeHTTP handles one request. It refuses state-changing cross-origin requests.
func (c *Console) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Content-Security-Policy", contentSecurityPolicy)
	h.Set("X-Content-Type-Options", "nosniff")
	h.Set("X-Frame-Options", "DENY")
	h.Set("Referrer-Policy", "same-origin")
	h.Set("Cache-Control", "no-store")
	r.Body = http.MaxBytesReader(w, r.Body, maxFormBytes)
	http.NewCrossOriginProtection().Handler(c.mux).ServeHTTP(w, r)
}

// render executes the template called name and writes the page. It answers 500
// when the template fails, so that no partial page is sent.
func (c *Console) render(w http.ResponseWriter, status int, name string, data any) {
	var buf bytes.Buffer
	if err := templates.ExecuteTemplate(&buf, name, data); err != nil {
		c.log.Error("page not rendered", "page", name, "error", err)
		http.Error(w, "the page could not be rendered", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.WriteHeader(status)
	if _, err := buf.WriteTo(w); err != nil {
		return // The client has closed the connection.
	}
}
