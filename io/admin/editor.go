package admin

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/quorum"
	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
)

type (
	// Editor validates operators' changes and applies them to the store. Use
	// NewEditor.
	Editor struct {
		store Store
		log   *slog.Logger
		now   func() time.Time
	}

	// Draft is a change as sent by an operator, not yet validated.
	Draft struct {
		// Name is the name of the document: that of a service, or spec.AccountsName.
		Name string
		// Base is the revision that the change is based on; 0 for a new
		// service.
		Base uint64
		// Key is the idempotency key of the request.
		Key string
		// Operator names the operator; may be empty.
		Operator string
		// Deleted is true when the change removes the service.
		Deleted bool
		// Document is the new document; ignored when Deleted.
		Document []byte
	}
)

const (
	// applyTimeout and readTimeout bound Submit and Read.
	applyTimeout = 10 * time.Second
	readTimeout  = 3 * time.Second
	// maxKeyBytes and maxOperatorBytes are the maximum lengths of Draft.Key and
	// Draft.Operator.
	maxKeyBytes      = 128
	maxOperatorBytes = 64
)

// NewEditor returns an Editor that changes store and uses now as its clock.
func NewEditor(store Store, log *slog.Logger, now func() time.Time) *Editor {
	return &Editor{store: store, log: log, now: now}
}

// Read returns the document called name, with revision 0 when it never existed,
// and whether a majority of control hosts has confirmed that it is the newest. If
// the read from a majority fails or takes longer than readTimeout, Read returns the
// newest document that this host has learnt, and false.
func (e *Editor) Read(ctx context.Context, name string) (spec.Versioned, bool) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	v, err := e.store.Read(ctx, name)
	if err != nil {
		e.log.Warn("document read without a majority", "service", name, "error", err)
		v, _ = e.store.Get(name)
	}
	v.Name = name
	return v, err == nil
}

// Submit carries out one change within applyTimeout. It returns strict.Faults when
// the draft is not valid, a *quorum.ConflictError when the document has a newer
// revision, a *quorum.RequestReusedError when the draft's key belongs to another
// change, and another error when the outcome is unknown. In the last case the same
// draft may be submitted again, to any control host; it takes effect at most once.
func (e *Editor) Submit(ctx context.Context, d Draft) (Accepted, error) {
	change, faults := e.change(d)
	if err := faults.Err(); err != nil {
		e.log.Info("change refused", "service", d.Name, "request", d.Key, "operator", d.Operator, "error", err)
		return Accepted{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	var (
		done     quorum.Request
		conflict *quorum.ConflictError
		reused   *quorum.RequestReusedError
		err      error
	)
	done, err = e.store.Apply(ctx, change)
	log := e.log.With("service", d.Name, "base", d.Base, "request", d.Key, "operator", d.Operator)
	switch {
	case err == nil:
		log.Info("change accepted", "revision", done.Revision)
		return Accepted{Name: d.Name, Revision: done.Revision}, nil
	case errors.As(err, &conflict):
		log.Info("change conflicts", "current", conflict.Current.Revision)
	case errors.As(err, &reused):
		log.Info("request identity reused", "first", reused.First.Revision)
	default:
		log.Warn("change not confirmed", "error", err)
	}
	return Accepted{}, err
}

// change validates a draft and converts it to a change, which must not be used if
// there are faults. The change holds the document in canonical form, with all
// defaults filled in, so that a later change of a default does not change documents
// that operators have accepted.
func (e *Editor) change(d Draft) (quorum.Change, strict.Faults) {
	var faults strict.Faults
	change := quorum.Change{
		Name: d.Name, Base: d.Base, Request: d.Key, Operator: d.Operator, At: e.now().UTC(), Deleted: d.Deleted,
	}
	if d.Key == "" || len(d.Key) > maxKeyBytes {
		faults.Add("request", "must have 1 to %d characters", maxKeyBytes)
	}
	if len(d.Operator) > maxOperatorBytes {
		faults.Add("operator", "must have at most %d characters", maxOperatorBytes)
	}
	if d.Deleted {
		return change, append(faults, checkDeletion(d)...)
	}
	body, found := spec.CanonicalNamed(d.Name, d.Document)
	change.Body = body
	return change, append(faults, found...)
}

// checkDeletion returns the faults of a draft that deletes a document.
func checkDeletion(d Draft) strict.Faults {
	var faults strict.Faults
	if !spec.ValidDocumentName(d.Name) {
		faults.Add("name", "is %q, which is no name of a service", d.Name)
	}
	if d.Base == 0 {
		faults.Add("base", "must be the revision of the service that is deleted")
	}
	return faults
}
