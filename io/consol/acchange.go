package consol

import (
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"

	"github.com/pkg/errors"

	"cardamomspool/core/quorum"
	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
	"cardamomspool/io/admin"
)

type (
	// accountsChange is the data of the pages on which client accounts are changed.
	accountsChange struct {
		page
		changeFields
		*accountsForm
		Notice string
		// Confirmed says that a majority of control hosts confirmed that the revision shown
		// is the newest.
		Confirmed bool
		// Hidden holds the form on pages on which it cannot be edited.
		Hidden []hiddenField
		// Document is the document of the form, and Current the one in force, both masked.
		Document, Current []byte
		CurrentRevision   uint64
		CurrentDeleted    bool
		By                admin.HistoryEntry
		// NewKeys are the keys in clear that the change adds, with their accounts.
		NewKeys []string
		NotMade bool
		Text    string
	}

	hiddenField struct{ Name, Value string }
)

// newAccountsChange returns the data of a page about a change.
func (c *Console) newAccountsChange(title string, s session, fields changeFields, f *accountsForm) accountsChange {
	p := accountsChange{page: c.page(title, s), changeFields: fields, accountsForm: f, Confirmed: true}
	for _, name := range slices.Sorted(maps.Keys(f.values())) {
		p.Hidden = append(p.Hidden, hiddenField{name, f.values().Get(name)})
	}
	return p
}

// editAccounts shows the form of the current accounts.
func (c *Console) editAccounts(w http.ResponseWriter, r *http.Request, s session) {
	current, confirmed := c.editor.Read(r.Context(), spec.AccountsName)
	doc, err := readAccounts(current)
	if err != nil {
		c.problem(w, http.StatusConflict, s, "The accounts cannot be changed here", "This version cannot read the document of the accounts.")
		return
	}
	p := c.newAccountsChange("Change the client accounts", s, changeFields{Base: current.Revision, Request: c.newID()}, accountsFormOf(doc))
	p.Confirmed = confirmed
	c.render(w, http.StatusOK, "accounts-form", p)
}

// readAccounts returns the accounts of a document; none if it is missing or deleted.
func readAccounts(v spec.Versioned) (spec.Accounts, error) {
	if v.Deleted || len(v.Body) == 0 {
		return spec.Accounts{}, nil
	}
	doc, faults := spec.ParseAccounts(v.Body)
	return doc, faults.Err()
}

// accountsAt returns the accounts at a revision, and the current document. It reports false
// if this host does not know that revision or cannot read it.
func (c *Console) accountsAt(r *http.Request, revision uint64) (base spec.Accounts, current spec.Versioned, ok bool) {
	current, _ = c.editor.Read(r.Context(), spec.AccountsName)
	v := current
	switch {
	case revision == 0:
		return spec.Accounts{}, current, true
	case revision != current.Revision:
		v = spec.Versioned{Body: c.bodyAt(spec.AccountsName, revision)}
		if v.Body == nil {
			return spec.Accounts{}, current, false
		}
	}
	base, err := readAccounts(v)
	return base, current, err == nil
}

// parsePosted returns a posted form with what it is based on. It answers the request and
// returns false if that cannot be read.
func (c *Console) parsePosted(w http.ResponseWriter, r *http.Request, s session) (fields changeFields, f *accountsForm, base spec.Accounts, current spec.Versioned, ok bool) {
	var err error
	if fields, err = parseChangeFields(r); err != nil {
		c.problem(w, http.StatusBadRequest, s, "This form is damaged", "Nothing was changed. Start again from the accounts.")
		return fields, nil, base, current, false
	}
	f = parseAccountsForm(r.PostForm)
	if base, current, ok = c.accountsAt(r, fields.Base); !ok {
		c.problem(w, http.StatusConflict, s, "The form is too old",
			fmt.Sprintf("This host no longer has revision %d, on which the form is based. Nothing was changed. Start again from the accounts.", fields.Base))
	}
	return fields, f, base, current, ok
}

// reviewAccounts validates a posted form. It shows the change for confirmation, the form
// with its faults, or, if the operator asked for another account, the form again.
func (c *Console) reviewAccounts(w http.ResponseWriter, r *http.Request, s session) {
	fields, f, base, current, ok := c.parsePosted(w, r, s)
	if !ok {
		return
	}
	f.makeKeys(c.newID)
	doc := f.document(base)
	if more := r.PostFormValue("more") != ""; more || len(f.Faults) > 0 {
		status := http.StatusUnprocessableEntity
		if more {
			status, f.Faults = http.StatusOK, nil
		}
		f.addBlank()
		c.render(w, status, "accounts-form", c.newAccountsChange("Change the client accounts", s, fields, f))
		return
	}
	if fields.Base == 0 && current.Deleted {
		fields.Base = current.Revision // The new document replaces the tombstone of the deleted one.
	}
	p := c.newAccountsChange("Review the change to the client accounts", s, fields, f)
	p.show(doc, current)
	c.render(w, http.StatusOK, "accounts-review", p)
}

// show adds the document of the form and the current one, with masked keys.
func (p *accountsChange) show(doc spec.Accounts, current spec.Versioned) {
	p.Document, p.NewKeys = spec.CanonicalAccounts(doc.Masked()), p.newKeys()
	p.Current, p.CurrentRevision, p.CurrentDeleted = spec.Shown(spec.AccountsName, current.Body), current.Revision, current.Deleted
}

// reopenAccounts shows the form that the review page posts, with a new request id.
func (c *Console) reopenAccounts(w http.ResponseWriter, r *http.Request, s session) {
	fields, f, _, _, ok := c.parsePosted(w, r, s)
	if !ok {
		return
	}
	fields.Request = c.newID()
	f.addBlank()
	c.render(w, http.StatusOK, "accounts-form", c.newAccountsChange("Change the client accounts", s, fields, f))
}

// rebaseAccounts shows a form whose change met a newer revision as a change of that one.
func (c *Console) rebaseAccounts(w http.ResponseWriter, r *http.Request, s session) {
	fields, f, base, current, ok := c.parsePosted(w, r, s)
	if !ok {
		return
	}
	now, err := readAccounts(current)
	if err != nil {
		c.problem(w, http.StatusConflict, s, "The accounts cannot be changed here", "This version cannot read the document of the accounts.")
		return
	}
	f = f.rebase(base, now)
	fields.Base, fields.Request = current.Revision, c.newID()
	p := c.newAccountsChange("Change the client accounts", s, fields, f)
	p.Notice = fmt.Sprintf("Your changes are entered on top of revision %d. Nothing is changed until you apply them.", current.Revision)
	c.render(w, http.StatusOK, "accounts-form", p)
}

// applyAccounts applies a reviewed change and shows its outcome. The same form sent again has
// the outcome of the first request and changes nothing more.
func (c *Console) applyAccounts(w http.ResponseWriter, r *http.Request, s session) {
	fields, f, base, current, ok := c.parsePosted(w, r, s)
	if !ok {
		return
	}
	doc := f.document(base)
	var (
		done     admin.Accepted
		faults   strict.Faults
		conflict *quorum.ConflictError
		reused   *quorum.RequestReusedError
		err      error
	)
	done, err = c.editor.Submit(r.Context(), admin.Draft{
		Name: spec.AccountsName, Base: fields.Base, Key: fields.Request, Operator: s.Operator, Document: spec.CanonicalAccounts(doc),
	})
	switch {
	case err == nil:
		http.Redirect(w, r, "/accounts?"+url.Values{"applied": {strconv.FormatUint(done.Revision, 10)}}.Encode(), http.StatusSeeOther)
	case errors.As(err, &faults):
		c.problem(w, http.StatusUnprocessableEntity, s, "The change has faults", err.Error())
	case errors.As(err, &conflict):
		c.conflictOfAccounts(w, s, fields, f, doc, conflict.Current)
	case errors.As(err, &reused):
		// An applied form was changed and sent again with the same request id.
		c.conflictOfAccounts(w, s, fields, f, doc, current)
	default:
		p := c.newAccountsChange("The outcome is not known", s, fields, f)
		p.show(doc, current)
		p.NotMade, p.Text = errors.Is(err, quorum.ErrRecovering), err.Error()
		w.Header().Set("Retry-After", "1")
		c.render(w, http.StatusServiceUnavailable, "accounts-unknown", p)
	}
}

// conflictOfAccounts shows the change next to the current accounts, and offers to enter it on
// top of these.
func (c *Console) conflictOfAccounts(w http.ResponseWriter, s session, fields changeFields, f *accountsForm, doc spec.Accounts, current spec.Versioned) {
	p := c.newAccountsChange("Conflict over the client accounts", s, fields, f)
	p.show(doc, current)
	current.Name = spec.AccountsName
	p.By = c.latest(current)
	c.render(w, http.StatusConflict, "accounts-conflict", p)
}
