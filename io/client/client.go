package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/spec"
	"cardamomspool/io/admin"
)

type (
	// Client sends requests to control hosts. Use New.
	Client struct {
		controls   []netip.AddrPort
		token      string
		operator   string
		http       *http.Client
		retryDelay time.Duration
	}

	// Option sets one property of a Client.
	Option func(*Client)

	// Change is a change of one service's document.
	Change struct {
		// Name is the name of the service.
		Name string
		// Base is the revision that the change is based on.
		Base uint64
		// Request is the idempotency key of the change; it must be the same
		// when the change is sent again.
		Request string
		// Deleted is true when the change removes the service.
		Deleted bool
		// Document is the new document; ignored when Deleted.
		Document []byte
	}

	// StatusError is an answer with an HTTP status other than 200. The methods
	// of Client return it only for a final answer.
	StatusError struct {
		// Code is the HTTP status code.
		Code int
		// Problem is the body of the answer.
		Problem admin.Problem
	}

	// HostStatus is the status of one control host, or the reason why there is
	// none.
	HostStatus struct {
		// Address is the admin address that was queried.
		Address netip.AddrPort `json:"address"`
		admin.StatusView
		// Problem is the reason why there is no answer; empty if there is one.
		Problem string `json:"problem,omitempty"`
	}

	// request is a request that any control host can serve.
	request struct {
		method string
		path   string
		header http.Header
		body   []byte
	}
)

const (
	// attemptTimeout bounds one request to one control host.
	attemptTimeout = 12 * time.Second
	// statusTimeout bounds Status.
	statusTimeout = 2 * time.Second
	// defaultRetryDelay is the delay before a request goes to the next control
	// host.
	defaultRetryDelay = 200 * time.Millisecond
	// maxAnswerBytes is the maximum size of an answer. A longer one is cut, so
	// that it cannot be decoded and is not final.
	maxAnswerBytes = 16 << 20
)

// ErrNoAnswer reports that no control host gave a final answer before the context
// ended. A change may or may not have taken effect.
var ErrNoAnswer = errors.New("no control host gave a final answer")

// WithToken sets the operator token.
func WithToken(token string) Option {
	return func(c *Client) { c.token = token }
}

// WithOperator sets the operator's name, which the history of changes shows.
func WithOperator(name string) Option {
	return func(c *Client) { c.operator = name }
}

// New returns a Client of the control hosts with the given admin addresses, which
// it tries in that order. There must be at least one.
func New(controls []netip.AddrPort, opts ...Option) *Client {
	c := &Client{controls: controls, http: &http.Client{Timeout: attemptTimeout}, retryDelay: defaultRetryDelay}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Error returns the text of the problem, followed by each fault on its own line.
func (e *StatusError) Error() string {
	text := e.Problem.Error
	if text == "" {
		text = http.StatusText(e.Code)
	}
	if len(e.Problem.Faults) > 0 {
		text += "\n" + e.Problem.Faults.Error()
	}
	return text
}

// Get returns the current document of a service. It returns a *StatusError with
// code 404 when there is none. Like all methods but Status, it returns an error
// that wraps ErrNoAnswer when ctx ends before a final answer.
func (c *Client) Get(ctx context.Context, name string) (admin.Document, error) {
	var d admin.Document
	return d, c.do(ctx, request{method: http.MethodGet, path: servicePath(name)}, &d)
}

// BaseVersion returns the current document of a service, whose revision a new change
// must name as its base. The revision is 0 when the service never existed, and that
// of the deletion when the service was deleted; otherwise BaseVersion fails like Get.
func (c *Client) BaseVersion(ctx context.Context, name string) (spec.Versioned, error) {
	d, err := c.Get(ctx, name)
	var status *StatusError
	if errors.As(err, &status) && status.Code == http.StatusNotFound && status.Problem.Current != nil {
		return *status.Problem.Current, nil
	}
	return d.Versioned, err
}

// List returns the documents of all services.
func (c *Client) List(ctx context.Context) ([]spec.Versioned, error) {
	var list []spec.Versioned
	return list, c.do(ctx, request{method: http.MethodGet, path: "/v1/services"}, &list)
}

// History returns the latest revisions of a service's document, newest first. It
// returns a *StatusError with code 404 when there are none.
func (c *Client) History(ctx context.Context, name string) ([]admin.HistoryEntry, error) {
	var list []admin.HistoryEntry
	return list, c.do(ctx, request{method: http.MethodGet, path: servicePath(name) + "/history"}, &list)
}

// Validate returns a document in the form in which it would be stored: of a service, or the
// one called spec.AccountsName. It returns a *StatusError when the document has faults.
func (c *Client) Validate(ctx context.Context, name string, document []byte) (admin.Validated, error) {
	var checked admin.Validated
	path := "/v1/validate"
	if name == spec.AccountsName {
		path = admin.AccountsPath + "/validate"
	}
	return checked, c.do(ctx, request{method: http.MethodPost, path: path, body: document}, &checked)
}

// Targets returns the answer of each entry host, or the reason why there is none,
// about the targets of one service, or of all services when service is empty.
func (c *Client) Targets(ctx context.Context, service string) ([]admin.EntryAnswer, error) {
	var list []admin.EntryAnswer
	path := admin.TargetsPath
	if service != "" {
		path += "?" + url.Values{admin.ServiceParameter: {service}}.Encode()
	}
	return list, c.do(ctx, request{method: http.MethodGet, path: path}, &list)
}

// Accounts returns the use of client accounts as the first control host that answers
// knows it.
func (c *Client) Accounts(ctx context.Context) ([]admin.AccountUse, error) {
	var list []admin.AccountUse
	return list, c.do(ctx, request{method: http.MethodGet, path: admin.AccountsPath}, &list)
}

// Apply carries out a change. It returns a *StatusError when the change is
// refused, and an error that wraps ErrNoAnswer when the outcome is unknown.
func (c *Client) Apply(ctx context.Context, ch Change) (admin.Accepted, error) {
	r := request{method: http.MethodPut, path: servicePath(ch.Name), header: http.Header{}, body: ch.Document}
	if ch.Deleted {
		r.method, r.body = http.MethodDelete, nil
	}
	r.header.Set(admin.HeaderBaseRevision, strconv.FormatUint(ch.Base, 10))
	r.header.Set(admin.HeaderIdempotencyKey, ch.Request)
	r.header.Set(admin.HeaderOperator, c.operator)
	var done admin.Accepted
	return done, c.do(ctx, r, &done)
}

// Status queries all control hosts for their status in parallel, and waits at most
// statusTimeout. It returns one HostStatus for each, in the order given to New.
func (c *Client) Status(ctx context.Context) []HostStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	answers := make(chan int, len(c.controls))
	list := make([]HostStatus, len(c.controls))
	for i, address := range c.controls {
		list[i].Address = address
		go func() {
			if err := c.attempt(ctx, address, request{method: http.MethodGet, path: "/v1/status"}, &list[i].StatusView); err != nil {
				list[i].Problem = err.Error()
			}
			answers <- i
		}()
	}
	for range c.controls {
		<-answers
	}
	return list
}

// servicePath returns the path of a document in the API: that of a service, or
// spec.AccountsName.
func servicePath(name string) string {
	if name == spec.AccountsName {
		return admin.AccountsDocumentPath
	}
	return "/v1/services/" + url.PathEscape(name)
}

// do sends r to one control host after another until one gives a final answer or
// ctx ends, and decodes the answer into v.
func (c *Client) do(ctx context.Context, r request, v any) error {
	for i := 0; ; i++ {
		address := c.controls[i%len(c.controls)]
		err := c.attempt(ctx, address, r, v)
		if err == nil || isFinal(err) {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.WithMessage(ErrNoAnswer, fmt.Sprintf("%s: %v", address, err))
		case <-time.After(c.retryDelay):
		}
	}
}

// isFinal reports whether err is an answer that a retry cannot change.
func isFinal(err error) bool {
	var status *StatusError
	return errors.As(err, &status) && status.Code != http.StatusServiceUnavailable
}

// attempt sends r to one control host and decodes the answer into v. It returns a
// *StatusError when the answer's status is not 200, and another error when there
// is no answer or the answer cannot be decoded.
func (c *Client) attempt(ctx context.Context, to netip.AddrPort, r request, v any) error {
	var (
		req  *http.Request
		resp *http.Response
		data []byte
		err  error
	)
	if req, err = http.NewRequestWithContext(ctx, r.method, "http://"+to.String()+r.path, bytes.NewReader(r.body)); err != nil {
		return err
	}
	if r.header != nil {
		req.Header = r.header.Clone()
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	if resp, err = c.http.Do(req); err != nil {
		return err
	}
	defer resp.Body.Close()
	if data, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes)); err != nil {
		return err
	}
	if resp.StatusCode == http.StatusOK {
		return errors.Wrap(json.Unmarshal(data, v), "answer of the control host")
	}
	status := &StatusError{Code: resp.StatusCode}
	if err = json.Unmarshal(data, &status.Problem); err != nil {
		status.Problem.Error = resp.Status
	}
	return status
}
