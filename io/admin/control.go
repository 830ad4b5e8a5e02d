package admin

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/quorum"
	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
	"cardamomspool/io/telem"
)

type (
	// Store reads and changes the agreed service documents.
	Store interface {
		// Apply makes one change; see quorum.Apply for its errors.
		Apply(ctx context.Context, c quorum.Change) (quorum.Request, error)
		// Get returns the newest known document of a service.
		Get(name string) (spec.Versioned, bool)
		// List returns the newest known documents of all services.
		List() []spec.Versioned
		// History returns the latest values of a service that this host has
		// learnt, oldest first, without their requests.
		History(name string) []quorum.Value
		// Read returns the document as a majority of control hosts holds it,
		// revision 0 when there never was one. It returns
		// quorum.ErrNoMajority when too few answer.
		Read(ctx context.Context, name string) (spec.Versioned, error)
		// Status tells how this control host stands.
		Status() quorum.Status
	}

	// Accepted is the answer to an accepted change.
	Accepted struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	}

	// Problem is the answer to a request that was not carried out.
	Problem struct {
		// Error says what is wrong.
		Error string `json:"error"`
		// Faults lists what is wrong with the document, if that is it.
		Faults strict.Faults `json:"faults,omitempty"`
		// Current is the document as it stands, after a conflict.
		Current *spec.Versioned `json:"current,omitempty"`
	}

	control struct {
		store   Store
		token   string
		log     *slog.Logger
		metrics *telem.Set
	}
)

const (
	// HeaderTimeout bounds the time that a client may take for its header.
	HeaderTimeout = 5 * time.Second

	applyTimeout  = 10 * time.Second
	maxRequestID  = 128
	headerRequest = "Idempotency-Key"
	headerBase    = "If-Match"
	// headerOperator names who makes a change; it is kept in the history.
	headerOperator = "Spool-Operator"
)

// NewControl returns the handler of a control host's admin address. An empty
// token lets everyone in.
func NewControl(store Store, token string, metrics *telem.Set, log *slog.Logger) http.Handler {
	c := &control{store: store, token: token, log: log, metrics: metrics}
	api := http.NewServeMux()
	api.HandleFunc("GET /v1/services", c.list)
	api.HandleFunc("GET /v1/services/{name}", c.get)
	api.HandleFunc("PUT /v1/services/{name}", c.put)
	api.HandleFunc("DELETE /v1/services/{name}", c.delete)
	mux := http.NewServeMux()
	mux.Handle("/v1/", c.authorised(api))
	mux.Handle("GET /debug/vars", metrics)
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	return mux
}

func (c *control) authorised(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if c.token != "" && subtle.ConstantTimeCompare([]byte(given), []byte(c.token)) != 1 {
			c.log.Warn("operator refused", "remote", r.RemoteAddr, "path", r.URL.Path)
			w.Header().Set("WWW-Authenticate", "Bearer")
			reply(w, http.StatusUnauthorized, Problem{Error: "the operator token is missing or wrong"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (c *control) list(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, c.store.List())
}

func (c *control) get(w http.ResponseWriter, r *http.Request) {
	v, ok := c.store.Get(r.PathValue("name"))
	if !ok {
		reply(w, http.StatusNotFound, Problem{Error: "no such service"})
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(v.Revision, 10)))
	reply(w, http.StatusOK, v)
}

func (c *control) put(w http.ResponseWriter, r *http.Request) {
	change, ok := c.change(w, r)
	if !ok {
		return
	}
	var err error
	if change.Body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, spec.MaxDocumentBytes)); err != nil {
		reply(w, http.StatusRequestEntityTooLarge, Problem{Error: "the document is too large or was cut short"})
		return
	}
	doc, faults := spec.Parse(change.Body)
	if len(faults) == 0 && doc.Name != change.Name {
		faults.Add("name", "is %q, must be %q as in the address", doc.Name, change.Name)
	}
	if len(faults) > 0 {
		reply(w, http.StatusBadRequest, Problem{Error: "the document has faults", Faults: faults})
		return
	}
	c.apply(w, r, change)
}

func (c *control) delete(w http.ResponseWriter, r *http.Request) {
	change, ok := c.change(w, r)
	if !ok {
		return
	}
	change.Deleted = true
	c.apply(w, r, change)
}

// change reads the parts that every change has. It answers the request itself
// and reports false when one is missing.
func (c *control) change(w http.ResponseWriter, r *http.Request) (quorum.Change, bool) {
	change := quorum.Change{
		Name: r.PathValue("name"), Request: r.Header.Get(headerRequest),
		Operator: r.Header.Get(headerOperator), At: time.Now().UTC(),
	}
	if !spec.ValidName(change.Name) {
		reply(w, http.StatusBadRequest, Problem{Error: "the service name is not valid"})
		return change, false
	}
	if change.Request == "" || len(change.Request) > maxRequestID {
		reply(w, http.StatusBadRequest, Problem{Error: headerRequest + " must have 1 to 128 characters"})
		return change, false
	}
	var err error
	if change.Base, err = strconv.ParseUint(strings.Trim(r.Header.Get(headerBase), `"`), 10, 64); err != nil {
		reply(w, http.StatusPreconditionRequired, Problem{Error: headerBase + ` must give the revision that the change is based on, "0" for a new service`})
		return change, false
	}
	return change, true
}

func (c *control) apply(w http.ResponseWriter, r *http.Request, change quorum.Change) {
	ctx, cancel := context.WithTimeout(r.Context(), applyTimeout)
	defer cancel()
	var (
		done     quorum.Request
		conflict *quorum.ConflictError
		err      error
	)
	done, err = c.store.Apply(ctx, change)
	switch {
	case err == nil:
		c.log.Info("change accepted", "service", change.Name, "revision", done.Revision, "request", change.Request)
		reply(w, http.StatusOK, Accepted{Name: change.Name, Revision: done.Revision})
	case errors.As(err, &conflict):
		c.log.Info("change conflicts", "service", change.Name, "base", change.Base, "request", change.Request)
		reply(w, http.StatusConflict, Problem{Error: err.Error(), Current: &conflict.Current})
	default:
		c.log.Warn("change not confirmed", "service", change.Name, "request", change.Request, "error", err)
		w.Header().Set("Retry-After", "1")
		reply(w, http.StatusServiceUnavailable, Problem{Error: err.Error() + "; send the same request again"})
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return // The client has gone; there is no one left to tell.
	}
}
