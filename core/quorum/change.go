package quorum

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/spec"
	"cardamomspool/core/voter"
)

type (
	// Change is an operator's request to replace or delete one document, or
	// to end its view.
	Change struct {
		// Name is the name of the document.
		Name string
		// Base is the revision on which the operator based the change.
		Base uint64
		// Request is the request ID; retries of a change carry the same one.
		Request string
		// Operator is the operator who makes the change; may be empty.
		Operator string
		// At is when the control host received the change.
		At time.Time
		// Deleted requests the deletion of the document.
		Deleted bool
		// Body is the new document, already validated.
		Body json.RawMessage
		// Version, if not 0, is the operators' version number of Body. The
		// change replaces the document if the document's version is lower, and
		// has no effect otherwise. Base, Request and Deleted are then ignored.
		Version uint64
		// Edit, if not nil, derives the new body of the document from its current one,
		// which is nil when there is no document yet. It returns nil when there is
		// nothing to change. It must be deterministic and must not modify its argument:
		// it is run again, on what may be another value, for each further ballot that
		// the change needs.
		//
		// With Version the result replaces Body, and nil keeps Body. Without Version
		// the document keeps its version, and Base, Deleted and Body are ignored. An
		// edit with a Request acts at most once: a value that has accepted the Request
		// is not edited again, so that an edit whose ballot was lost after others had
		// built on it does not undo what they have done.
		Edit func(current json.RawMessage) (json.RawMessage, error)
		// Next, if not empty, ends the view: the document accepts no further
		// change, and the listed hosts continue from it in the next view. All
		// other fields except Name are then ignored.
		Next []string
	}

	// ViewEndedError reports that the view of a document has ended. The change
	// was not made.
	ViewEndedError struct {
		// Last is the last value of the view.
		Last Value
	}

	// ConflictError reports that the base revision of a change is not the
	// current revision of the document.
	ConflictError struct {
		// Current is the current document.
		Current spec.Versioned
	}

	// RequestReusedError reports a request ID that was used before for another
	// change. The change was not made.
	RequestReusedError struct {
		// First is the request that was accepted under the ID.
		First Request
	}
)

const (
	// MaxRequests is the number of accepted requests kept per document. A
	// retry that arrives after that many later changes fails with a
	// ConflictError instead of returning its first result; it is never applied
	// twice, because its base revision is no longer current.
	MaxRequests = 64

	digestBytes = 12
)

var (
	// ErrNoMajority reports that too few control hosts replied. The change may
	// or may not take effect; the operator retries it with the same request
	// ID.
	ErrNoMajority = errors.New("quorum: no majority of control hosts answered")
	// ErrRecovering reports that this control host does not vote yet. The
	// change was not made through it.
	ErrRecovering = errors.New("quorum: this control host recovers and takes no changes yet")
)

// Error returns a message with the document's name and current revision.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("quorum: document %q is at revision %d", e.Current.Name, e.Current.Revision)
}

// Error returns a message with the request ID and the accepted revision.
func (e *RequestReusedError) Error() string {
	return fmt.Sprintf("quorum: request identity %q was used before for another change, accepted as revision %d", e.First.ID, e.First.Revision)
}

// Error returns a message with the document's name and last revision.
func (e *ViewEndedError) Error() string {
	return fmt.Sprintf("quorum: the view of document %q has ended at revision %d", e.Last.Name, e.Last.Revision)
}

// Digest returns a hex digest of the deletion flag and the body. The base
// revision, the operator and the time are excluded, because they may differ in
// a retry.
func (c *Change) Digest() string {
	h := sha256.New()
	fmt.Fprintf(h, "%t ", c.Deleted)
	h.Write(c.Body)
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}

// Majority returns the size of a majority of n hosts.
func Majority(n int) int {
	return voter.Majority(n)
}

// RecoveryQuorum returns the number of other hosts, out of n in total, that a
// host must read from after it has lost its disk. They intersect every
// majority that the host was ever part of.
func RecoveryQuorum(n int) int {
	return n - Majority(n) + 1
}

// Apply returns the result of applying change c to v. A retry of an accepted
// request returns v unchanged and the first result. A change whose version is
// set but not above v's returns v unchanged. A change with Next returns the last
// value of the view.
//
// It returns a *RequestReusedError if the request ID was used for another
// change, a *ConflictError if the base revision of c is not the revision of v,
// and a *ViewEndedError if the view of v has ended.
func Apply(v Value, c Change) (Value, Request, error) {
	v.Name = c.Name
	switch {
	case len(v.Next) > 0:
		return v, Request{}, &ViewEndedError{Last: v}
	case len(c.Next) > 0:
		v.Revision++
		v.Next = slices.Clone(c.Next)
		return v, Request{Revision: v.Revision}, nil
	case c.Version > 0:
		return applyVersion(v, c)
	case c.Edit != nil:
		return applyEdit(v, c)
	}
	digest := c.Digest()
	for _, r := range v.Requests {
		if r.ID != c.Request {
			continue
		}
		if r.Digest != digest {
			return v, Request{}, &RequestReusedError{First: r}
		}
		return v, r, nil
	}
	if c.Base != v.Revision {
		return v, Request{}, &ConflictError{Current: v.Versioned}
	}
	accepted := Request{ID: c.Request, Revision: v.Revision + 1, Digest: digest}
	next := Value{
		Versioned: spec.Versioned{Name: c.Name, Revision: accepted.Revision, Deleted: c.Deleted, Body: bytes.Clone(c.Body)},
		Operator:  c.Operator,
		At:        c.At,
		Requests:  appendRequest(v.Requests, accepted),
	}
	return next, accepted, nil
}

// applyVersion returns the value that replaces v if the version of c is higher,
// and v otherwise. The accepted requests of edits are kept.
func applyVersion(v Value, c Change) (Value, Request, error) {
	if c.Version <= v.Version {
		return v, Request{Revision: v.Revision}, nil
	}
	body := c.Body
	if c.Edit != nil {
		edited, err := c.Edit(v.Body)
		if err != nil {
			return v, Request{}, err
		}
		if edited != nil {
			body = edited
		}
	}
	next := Value{
		Versioned: spec.Versioned{Name: c.Name, Revision: v.Revision + 1, Body: bytes.Clone(body)},
		Operator:  c.Operator, At: c.At, Version: c.Version, Requests: v.Requests,
	}
	return next, Request{Revision: next.Revision}, nil
}

// applyEdit returns the value with the edited document of v and the version of v, and v
// if the edit changes nothing or v has accepted its request.
func applyEdit(v Value, c Change) (Value, Request, error) {
	for _, r := range v.Requests {
		if c.Request != "" && r.ID == c.Request {
			return v, r, nil
		}
	}
	body, err := c.Edit(v.Body)
	if err != nil || body == nil {
		return v, Request{Revision: v.Revision}, err
	}
	accepted := Request{ID: c.Request, Revision: v.Revision + 1}
	next := Value{
		Versioned: spec.Versioned{Name: c.Name, Revision: accepted.Revision, Body: bytes.Clone(body)},
		Operator:  c.Operator, At: c.At, Version: v.Version, Requests: v.Requests,
	}
	if c.Request != "" {
		next.Requests = appendRequest(v.Requests, accepted)
	}
	return next, accepted, nil
}

// appendRequest returns list with r at its end, without the oldest requests beyond
// MaxRequests. It does not change list.
func appendRequest(list []Request, r Request) []Request {
	list = append(slices.Clone(list), r)
	return list[max(len(list)-MaxRequests, 0):]
}
