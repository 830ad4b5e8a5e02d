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
		// Version, when not 0, replaces the document if it is at a lower
		// version, and leaves it as it is otherwise. Base, Request and Deleted
		// are then not used.
		Version uint64
		// Next, when not empty, ends the view: the document takes no further
		// change, and the hosts listed go on from it. All other fields but
		// Name are then not used.
		Next []string
	}

	// SealedError reports a document whose view has ended.
	SealedError struct {
		// Last is the last value of the view.
		Last Value
	}

	// ConflictError reports that the document has moved on since the
	// operator saw it.
	ConflictError struct {
		// Current is the document as it stands.
		Current spec.Versioned
	}

	// ReusedError reports a request identity that was given to another
	// change before. The change was not made.
	ReusedError struct {
		// First is the request that was accepted under the identity.
		First Request
	}
)

const (
	// MaxRequests is the number of accepted requests remembered per document.
	// A resend that comes after that many later changes is answered with a
	// conflict instead of its first answer; it is never carried out again, as
	// its base revision has passed.
	MaxRequests = 64

	digestBytes = 12
)

var (
	// ErrNoMajority reports that too few control hosts answered. The change
	// may or may not take effect; the operator resends it with the same
	// identity.
	ErrNoMajority = errors.New("quorum: no majority of control hosts answered")
	// ErrRecovering reports that the control host asked does not vote yet.
	// The change was not made through it.
	ErrRecovering = errors.New("quorum: this control host recovers and takes no changes yet")
)

// Error describes the conflict.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("quorum: document %q is at revision %d", e.Current.Name, e.Current.Revision)
}

// Error describes the reuse.
func (e *ReusedError) Error() string {
	return fmt.Sprintf("quorum: request identity %q was used before for another change, accepted as revision %d", e.First.ID, e.First.Revision)
}

// Error describes the end of the view.
func (e *SealedError) Error() string {
	return fmt.Sprintf("quorum: the view of document %q has ended at revision %d", e.Last.Name, e.Last.Revision)
}

// Digest returns a digest of what the change asks for: deletion and body. The
// base revision, the operator and the time are left out, as a resend may
// differ in them.
func (c *Change) Digest() string {
	h := sha256.New()
	fmt.Fprintf(h, "%t ", c.Deleted)
	h.Write(c.Body)
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}

// Majority returns the least number of hosts out of n that outvote the rest.
func Majority(n int) int {
	return n/2 + 1
}

// RecoveryReads returns the number of other hosts out of n that a host must
// read from after it has lost its disk, so that it meets every majority that
// it was ever part of.
func RecoveryReads(n int) int {
	return n - Majority(n) + 1
}

// Apply returns the value that follows from change c on v. A resend of an
// accepted request returns v unchanged with the first answer. It returns a
// *ReusedError when the request's identity belongs to another change, and a
// *ConflictError when c is based on another revision than v's, and a
// *SealedError when the view of v has ended. A change by version that is not
// above v's returns v unchanged.
func Apply(v Value, c Change) (Value, Request, error) {
	v.Name = c.Name
	switch {
	case len(v.Next) > 0:
		return v, Request{}, &SealedError{Last: v}
	case len(c.Next) > 0:
		v.Revision++
		v.Next = slices.Clone(c.Next)
		return v, Request{Revision: v.Revision}, nil
	case c.Version > 0:
		return applyVersion(v, c)
	}
	digest := c.Digest()
	for _, r := range v.Requests {
		if r.ID != c.Request {
			continue
		}
		if r.Digest != digest {
			return v, Request{}, &ReusedError{First: r}
		}
		return v, r, nil
	}
	if c.Base != v.Revision {
		return v, Request{}, &ConflictError{Current: v.Versioned}
	}
	done := Request{ID: c.Request, Revision: v.Revision + 1, Digest: digest}
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

// applyVersion returns the value that follows when the highest version wins.
func applyVersion(v Value, c Change) (Value, Request, error) {
	if c.Version <= v.Version {
		return v, Request{Revision: v.Revision}, nil
	}
	next := Value{
		Versioned: spec.Versioned{Name: c.Name, Revision: v.Revision + 1, Body: bytes.Clone(c.Body)},
		Operator:  c.Operator, At: c.At, Version: c.Version,
	}
	return next, Request{Revision: next.Revision}, nil
}
