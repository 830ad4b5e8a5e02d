package admin

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/quorum"
	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
	"cardamomspool/internal/build"
	"cardamomspool/io/telem"
)

type (
	// Store reads and changes the service documents that control hosts agree
	// on.
	Store interface {
		// Apply makes one change. It returns a *quorum.ConflictError when the
		// document has a newer revision, a *quorum.RequestReusedError when the
		// request ID belongs to another change, and another error when the
		// outcome is unknown.
		Apply(ctx context.Context, c quorum.Change) (quorum.Request, error)
		// Get returns the newest known document of a service. For a deleted
		// one it returns its revision and false.
		Get(name string) (spec.Versioned, bool)
		// List returns the newest known documents of all services that are not
		// deleted.
		List() []spec.Versioned
		// History returns the latest values of a service that this host has
		// learnt, oldest first, without their requests.
		History(name string) []quorum.Value
		// Read returns the document that a majority of control hosts holds,
		// with revision 0 when the document never existed. It returns
		// quorum.ErrNoMajority when too few control hosts answer, and another
		// error when this host does not vote yet or has stopped.
		Read(ctx context.Context, name string) (spec.Versioned, error)
		// Status returns the status of this control host.
		Status() quorum.Status
	}

	// Problem is the answer to a request that failed.
	Problem struct {
		// Error says what is wrong.
		Error string `json:"error"`
		// Faults lists the faults of the request or the document, one entry
		// each.
		Faults strict.Faults `json:"faults,omitempty"`
		// Current is the current document after a conflict. When the requested
		// service does not exist, it is the tombstone, or a document with
		// revision 0 if the service never existed.
		Current *spec.Versioned `json:"current,omitempty"`
	}

	// Validated is the answer to the validation of a document without faults.
	Validated struct {
		// Document is the document in canonical form, with all defaults filled
		// in, as it would be stored.
		Document json.RawMessage `json:"document"`
	}

	// Option sets one property of the handler that NewControl returns.
	Option func(*control)

	// control is the state of the handler that NewControl returns.
	control struct {
		store  Store
		editor *Editor
		fleet  *Fleet
		// accounts returns the use of client accounts.
		accounts func(context.Context) []AccountUse
		pages    http.Handler
		token    string
		log      *slog.Logger
		metrics  *telem.Registry
		now      func() time.Time
		// evacuator is nil outside a fleet.
		evacuator Evacuator
	}
)

const (
	// ReadHeaderTimeout is the maximum time to read a request's header.
	ReadHeaderTimeout = 5 * time.Second

	// HeaderIdempotencyKey carries the ID of a change, which is the same when
	// the request is sent again.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderBaseRevision carries the revision that a change is based on.
	HeaderBaseRevision = "If-Match"
	// HeaderOperator names the operator who makes a change; the history shows
	// it.
	HeaderOperator = "Spool-Operator"
)

// WithFleet sets the entry hosts that are queried for their targets.
func WithFleet(f *Fleet) Option {
	return func(c *control) { c.fleet = f }
}

// WithPages sets the handler of the console, which authorises its requests
// itself.
func WithPages(h http.Handler) Option {
	return func(c *control) { c.pages = h }
}

// WithClock sets the clock for the times in the history; the default is time.Now.
func WithClock(now func() time.Time) Option {
	return func(c *control) { c.now = now }
}

// NewControl returns the handler for a control host's admin address. token is the
// operator token that API requests must present. When it is empty, all requests
// to a loopback host name are authorised and all others are refused.
func NewControl(store Store, token string, metrics *telem.Registry, log *slog.Logger, opts ...Option) http.Handler {
	c := &control{store: store, token: token, log: log, metrics: metrics, now: time.Now, fleet: NewFleet(nil), accounts: noAccounts}
	for _, opt := range opts {
		opt(c)
	}
	c.editor = NewEditor(store, log, c.now)
	mux := http.NewServeMux()
	mux.Handle("/v1/", c.requireToken(c.api()))
	mux.Handle("GET /debug/vars", metrics)
	mux.HandleFunc("GET /ready", c.ready)
	if c.pages != nil {
		mux.Handle("/", c.pages)
	}
	return c.loopbackOnly(mux)
}

// api returns the handler of the API, without authorisation.
func (c *control) api() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/services", c.list)
	mux.HandleFunc("GET /v1/services/{name}", ofService(c.get))
	mux.HandleFunc("PUT /v1/services/{name}", ofService(c.put))
	mux.HandleFunc("DELETE /v1/services/{name}", ofService(c.delete))
	mux.HandleFunc("GET /v1/services/{name}/history", ofService(c.history))
	mux.HandleFunc("POST /v1/validate", c.validate)
	mux.HandleFunc("GET /v1/status", c.status)
	mux.HandleFunc("GET "+TargetsPath, c.targets)
	c.handleEvacuations(mux)
	c.handleAccounts(mux)
	return mux
}

// loopbackOnly refuses requests whose Host header field is not a loopback name or
// address if there is no token. This prevents DNS rebinding: a foreign web page
// whose name resolves to a loopback address gets no answer.
func (c *control) loopbackOnly(next http.Handler) http.Handler {
	if c.token != "" {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !isLoopback(r.Host) {
			c.log.Warn("request under a foreign name refused", "remote", r.RemoteAddr, "name", r.Host)
			reply(w, http.StatusMisdirectedRequest, Problem{Error: "without an operator token only loopback addresses are served"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// isLoopback reports whether hostPort is localhost or a loopback IP address, with
// or without a port.
func isLoopback(hostPort string) bool {
	host := hostPort
	if name, _, err := net.SplitHostPort(hostPort); err == nil {
		host = name
	}
	if host == "localhost" {
		return true
	}
	address, err := netip.ParseAddr(strings.Trim(host, "[]"))
	return err == nil && address.IsLoopback()
}

// requireToken wraps next and refuses requests without the operator token, if one is
// set.
func (c *control) requireToken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		presented := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if c.token != "" && !SameToken(presented, c.token) {
			c.log.Warn("operator refused", "remote", r.RemoteAddr, "path", r.URL.Path)
			w.Header().Set("WWW-Authenticate", "Bearer")
			reply(w, http.StatusUnauthorized, Problem{Error: "the operator token is missing or wrong"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// SameToken reports whether two tokens are equal. The time that it takes depends
// on their lengths only, so that it reveals nothing about the token's content.
func SameToken(presented, token string) bool {
	return subtle.ConstantTimeCompare([]byte(presented), []byte(token)) == 1
}

func (c *control) list(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, c.store.List())
}

func (c *control) get(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	if !spec.ValidDocumentName(name) {
		reply(w, http.StatusNotFound, Problem{Error: missing(name)})
		return
	}
	v, confirmed := c.editor.Read(r.Context(), name)
	if v.Revision == 0 || v.Deleted {
		reply(w, http.StatusNotFound, Problem{Error: missing(name), Current: &v})
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(v.Revision, 10)))
	reply(w, http.StatusOK, Document{Versioned: v, Confirmed: confirmed})
}

func (c *control) history(w http.ResponseWriter, r *http.Request) {
	history := History(c.store, r.PathValue("name"))
	if len(history) == 0 {
		reply(w, http.StatusNotFound, Problem{Error: missing(r.PathValue("name"))})
		return
	}
	reply(w, http.StatusOK, history)
}

func (c *control) validate(w http.ResponseWriter, r *http.Request) {
	body, ok := readDocument(w, r, spec.MaxDocumentBytes)
	if !ok {
		return
	}
	doc, faults := spec.Parse(body)
	replyValidated(w, spec.Canonical(doc), faults)
}

// replyValidated answers with the canonical form of a document, or with its faults.
func replyValidated(w http.ResponseWriter, canonical json.RawMessage, faults strict.Faults) {
	if len(faults) > 0 {
		reply(w, http.StatusBadRequest, Problem{Error: "the document has faults", Faults: faults})
		return
	}
	reply(w, http.StatusOK, Validated{Document: canonical})
}

// ready answers 204 when the host votes and a majority has recently confirmed
// that it is up to date, and otherwise 503 with the host's status.
func (c *control) ready(w http.ResponseWriter, _ *http.Request) {
	s := c.store.Status()
	if s.Voting && s.Current {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	reply(w, http.StatusServiceUnavailable, s)
}

func (c *control) status(w http.ResponseWriter, _ *http.Request) {
	s := StatusView{Status: c.store.Status(), Version: build.Version()}
	if c.evacuator != nil {
		_, s.Evacuated = c.evacuator.Evacuation()
	}
	reply(w, http.StatusOK, s)
}

func (c *control) targets(w http.ResponseWriter, r *http.Request) {
	service := r.URL.Query().Get(ServiceParameter)
	if service != "" && !spec.ValidName(service) {
		reply(w, http.StatusBadRequest, Problem{Error: "service is no name of a service"})
		return
	}
	reply(w, http.StatusOK, c.fleet.Targets(r.Context(), service))
}

func (c *control) put(w http.ResponseWriter, r *http.Request) {
	d, ok := c.draft(w, r)
	if !ok {
		return
	}
	if d.Document, ok = readDocument(w, r, spec.MaxBytes(d.Name)); ok {
		c.submit(w, r, d)
	}
}

func (c *control) delete(w http.ResponseWriter, r *http.Request) {
	d, ok := c.draft(w, r)
	if !ok {
		return
	}
	d.Deleted = true
	c.submit(w, r, d)
}

// draft returns a Draft with the fields that all changes have in common. When the
// base revision is missing or malformed, it answers the request and returns false.
func (c *control) draft(w http.ResponseWriter, r *http.Request) (Draft, bool) {
	d := Draft{Name: r.PathValue("name"), Key: r.Header.Get(HeaderIdempotencyKey), Operator: r.Header.Get(HeaderOperator)}
	base := r.Header.Get(HeaderBaseRevision)
	if base == "" {
		reply(w, http.StatusPreconditionRequired, Problem{
			Error: HeaderBaseRevision + ` must give the revision that the change is based on, "0" for a new service`,
		})
		return d, false
	}
	var err error
	if d.Base, err = strconv.ParseUint(strings.Trim(base, `"`), 10, 64); err != nil {
		reply(w, http.StatusBadRequest, Problem{Error: HeaderBaseRevision + " is " + strconv.Quote(base) + ", must be a revision"})
		return d, false
	}
	return d, true
}

// readDocument reads the body of a request. When the body is larger than maxBytes or
// incomplete, it answers the request and returns false.
func readDocument(w http.ResponseWriter, r *http.Request, maxBytes int) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(maxBytes)))
	if err == nil {
		return body, true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		reply(w, http.StatusRequestEntityTooLarge, Problem{
			Error: "the document is longer than " + strconv.Itoa(maxBytes) + " bytes",
		})
		return nil, false
	}
	reply(w, http.StatusBadRequest, Problem{Error: "the document was cut short"})
	return nil, false
}

// submit carries out a change and answers the request.
func (c *control) submit(w http.ResponseWriter, r *http.Request, d Draft) {
	var (
		done     Accepted
		faults   strict.Faults
		conflict *quorum.ConflictError
		reused   *quorum.RequestReusedError
		err      error
	)
	done, err = c.editor.Submit(r.Context(), d)
	switch {
	case err == nil:
		reply(w, http.StatusOK, done)
	case errors.As(err, &faults):
		reply(w, http.StatusBadRequest, Problem{Error: "the change has faults", Faults: faults})
	case errors.As(err, &conflict):
		reply(w, http.StatusConflict, Problem{Error: err.Error(), Current: &conflict.Current})
	case errors.As(err, &reused):
		reply(w, http.StatusUnprocessableEntity, Problem{Error: err.Error()})
	default:
		w.Header().Set("Retry-After", "1")
		reply(w, http.StatusServiceUnavailable, Problem{Error: err.Error() + "; send the same request again"})
	}
}

// reply answers a request with status and v as JSON.
func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set("X-Content-Type-Options", "nosniff")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return // The client has disconnected, so there is nobody to report the error to.
	}
}
