package quorum

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/spec"
)

type (
	// Change is an operator's wish to replace or delete one document.
	Change struct {
		// Name is the name of the service.
		Name string
		// Base is the revision that the operator saw.
		Base uint64
		// Request identifies the change over resends.
		Request string
		// Operator is who asks; may be empty.
		Operator string
		// At is when the control host took the change.
		At time.Time
		// Deleted asks to remove the document.
		Deleted bool
		// Body is the new document, already validated.
		Body json.RawMessage
	}

	// ConflictError reports that the document has moved on since the
	// operator saw it.
	ConflictError struct {
		// Current is the document as it stands.
		Current spec.Versioned
	}
)

// MaxRequests is the number of accepted requests remembered per document.
const MaxRequests = 64

// ErrNoMajority reports that too few control hosts answered. The change may
// or may not take effect; the operator resends it with the same identity.
var ErrNoMajority = errors.New("quorum: no majority of control hosts answered")

// Error describes the conflict.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("quorum: document %q is at revision %d", e.Current.Name, e.Current.Revision)
}

// Majority returns the least number of hosts out of n that outvote the rest.
func Majority(n int) int {
	return n/2 + 1
}

// Newest returns the value accepted under the highest ballot in promises.
func Newest(promises []Promise) Value {
	var best Promise
	for _, p := range promises {
		if p.Accepted.Compare(best.Accepted) > 0 {
			best = p
		}
	}
	return best.Value
}

// Apply returns the value that follows from change c on v. A resend of an
// accepted request returns v unchanged with the first answer. It returns a
// *ConflictError when c is based on another revision than v's.
func Apply(v Value, c Change) (Value, Request, error) {
	v.Name = c.Name
	for _, r := range v.Requests {
		if r.ID == c.Request {
			return v, r, nil
		}
	}
	if c.Base != v.Revision {
		return v, Request{}, &ConflictError{Current: v.Versioned}
	}
	done := Request{ID: c.Request, Revision: v.Revision + 1}
	next := Value{
		Versioned: spec.Versioned{Name: c.Name, Revision: done.Revision, Deleted: c.Deleted, Body: bytes.Clone(c.Body)},
		Operator:  c.Operator,
		At:        c.At,
		Requests:  append(append([]Request(nil), v.Requests...), done),
	}
	if extra := len(next.Requests) - MaxRequests; extra > 0 {
		next.Requests = next.Requests[extra:]
	}
	return next, done, nil
}
