package consol

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"cardamomspool/core/quorum"
	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
	"cardamomspool/io/admin"
)

type (
	// formPage is the data of a page with the form of one document.
	formPage struct {
		page
		changeFields
		Sections []section
		Faults   strict.Faults
		Notice   string
		// Confirmed says that a majority of control hosts confirmed that the
		// document shown is the newest.
		Confirmed bool
	}

	// changeFields are the hidden fields that identify a change from its form
	// until it is applied.
	changeFields struct {
		// Name is the name of the service.
		Name string
		// Base is the revision that the change is based on; 0 for a new service.
		Base uint64
		// Request is the id of the request.
		Request string
	}

	// changePage is the data of a page with a document to apply, or with the
	// reason why it was not applied.
	changePage struct {
		page
		changeFields
		Deleted  bool
		Document []byte
		Current  spec.Versioned
		// By is the history entry of Current. Its operator and time are empty
		// if the history of this host does not hold it.
		By admin.HistoryEntry
		// NotMade says that the change was not made, because this control host
		// accepts no changes now.
		NotMade bool
		Text    string
	}
)

// parseChangeFields returns the hidden fields of a posted form. It fails when the
// base is not a number.
func parseChangeFields(r *http.Request) (changeFields, error) {
	var err error
	f := changeFields{Name: r.PostFormValue("name"), Request: r.PostFormValue("request")}
	f.Base, err = strconv.ParseUint(r.PostFormValue("base"), 10, 64)
	return f, err
}

// newForm shows the form of a new service, with the defaults.
func (c *Console) newForm(w http.ResponseWriter, _ *http.Request, s session) {
	p := formPage{page: c.page("New service", s), changeFields: changeFields{Request: c.newID()}, Confirmed: true}
	p.Sections = formOf(spec.Default()).sections(false)
	c.render(w, http.StatusOK, "form", p)
}

// editForm shows the form of the current document. If the query holds from, the
// form has the values of that earlier revision, as a change to the current one. If
// it holds applied, the page says that the change with that revision is accepted.
func (c *Console) editForm(w http.ResponseWriter, r *http.Request, s session) {
	name := r.PathValue("name")
	current, confirmed := c.editor.Read(r.Context(), name)
	body, notice := current.Body, ""
	if from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64); err == nil {
		body = c.bodyAt(name, from)
		notice = "These are the values of revision " + strconv.FormatUint(from, 10) + ". Nothing is changed until you apply them."
	}
	if applied, err := strconv.ParseUint(r.URL.Query().Get("applied"), 10, 64); err == nil {
		notice = appliedNotice(applied, current)
	}
	if len(body) == 0 {
		c.problem(w, http.StatusNotFound, s, "No such service", strings.TrimSpace(notice+" There is no service of this name, or not in this version."))
		return
	}
	doc, faults := spec.Parse(body)
	f := formOf(doc)
	f.faults = faults
	p := formPage{
		page: c.page("Service "+name, s), changeFields: changeFields{Name: name, Base: current.Revision, Request: c.newID()},
		Sections: f.sections(true), Faults: faults, Notice: notice, Confirmed: confirmed,
	}
	c.render(w, http.StatusOK, "form", p)
}

// appliedNotice returns a notice which says that a change was accepted as the
// revision applied, and that there are later ones if so. It is empty when this host
// does not hold the revision yet.
func appliedNotice(applied uint64, current spec.Versioned) string {
	if applied > current.Revision {
		return ""
	}
	notice := fmt.Sprintf("Revision %d is accepted: a majority of control hosts holds it on disk.", applied)
	if applied < current.Revision {
		return notice + fmt.Sprintf(" The service has since moved on to revision %d.", current.Revision)
	}
	return notice + " See under hosts where it is in force."
}

// bodyAt returns the document of an earlier revision of the service called name, or
// nil when this host's history does not hold the revision.
func (c *Console) bodyAt(name string, revision uint64) []byte {
	for _, p := range admin.History(c.store, name) {
		if p.Revision == revision {
			return p.Body
		}
	}
	return nil
}

// review validates a posted form. It shows the document for confirmation, the form
// with its faults, or, if the operator asked for more rows, the form again.
func (c *Console) review(w http.ResponseWriter, r *http.Request, s session) {
	fields, err := parseChangeFields(r)
	if err != nil {
		c.problem(w, http.StatusBadRequest, s, "This form is damaged", "Nothing was changed. Start again from the list.")
		return
	}
	f := parseForm(r.PostForm)
	doc := f.document()
	if len(f.faults) > 0 {
		c.showForm(w, s, http.StatusUnprocessableEntity, fields, f)
		return
	}
	if r.PostFormValue("more") != "" {
		c.showForm(w, s, http.StatusOK, fields, f)
		return
	}
	fields.Name = doc.Name
	current, _ := c.editor.Read(r.Context(), doc.Name)
	if fields.Base == 0 && current.Deleted {
		fields.Base = current.Revision // A new service replaces the tombstone of a deleted one.
	}
	c.render(w, http.StatusOK, "review", changePage{
		page: c.page("Review the change to "+doc.Name, s), changeFields: fields,
		Document: spec.Canonical(doc), Current: current,
	})
}

// showForm shows a form that an operator has edited.
func (c *Console) showForm(w http.ResponseWriter, s session, status int, fields changeFields, f *form) {
	title := "Service " + fields.Name
	if fields.Base == 0 {
		title = "New service"
	}
	c.render(w, status, "form", formPage{
		page: c.page(title, s), changeFields: fields, Confirmed: true,
		Sections: f.sections(fields.Base > 0), Faults: f.faults,
	})
}

// reopenForm shows the form of the document that the review or the conflict page
// posts, so that the operator can edit it further. The form gets a new request id.
func (c *Console) reopenForm(w http.ResponseWriter, r *http.Request, s session) {
	fields, err := parseChangeFields(r)
	doc, faults := spec.Parse([]byte(r.PostFormValue("document")))
	if err != nil || len(faults) > 0 {
		c.problem(w, http.StatusBadRequest, s, "This form is damaged", "Nothing was changed. Start again from the list.")
		return
	}
	fields.Request = c.newID()
	c.showForm(w, s, http.StatusOK, fields, formOf(doc))
}

// apply handles the form that applies a reviewed document.
func (c *Console) apply(w http.ResponseWriter, r *http.Request, s session) {
	c.submit(w, r, s, admin.Draft{Document: []byte(r.PostFormValue("document"))})
}

// delete handles the form that confirms a deletion.
func (c *Console) delete(w http.ResponseWriter, r *http.Request, s session) {
	c.submit(w, r, s, admin.Draft{Deleted: true})
}

// submit applies a change and shows its outcome. If the same form was sent before,
// it shows the outcome of the first request and changes nothing more.
func (c *Console) submit(w http.ResponseWriter, r *http.Request, s session, d admin.Draft) {
	fields, err := parseChangeFields(r)
	if err != nil {
		c.problem(w, http.StatusBadRequest, s, "This form is damaged", "Nothing was changed. Start again from the list.")
		return
	}
	d.Name, d.Base, d.Key, d.Operator = fields.Name, fields.Base, fields.Request, s.Operator
	p := changePage{changeFields: fields, Deleted: d.Deleted, Document: d.Document}
	var (
		done     admin.Accepted
		faults   strict.Faults
		conflict *quorum.ConflictError
		reused   *quorum.RequestReusedError
	)
	done, err = c.editor.Submit(r.Context(), d)
	switch {
	case err == nil:
		http.Redirect(w, r, afterChange(done, d.Deleted), http.StatusSeeOther)
	case errors.As(err, &faults):
		c.problem(w, http.StatusUnprocessableEntity, s, "The change has faults", err.Error())
	case errors.As(err, &conflict):
		c.conflict(w, s, p, conflict.Current)
	case errors.As(err, &reused):
		// An applied form was changed and sent again with the same request id.
		current, _ := c.editor.Read(r.Context(), d.Name)
		c.conflict(w, s, p, current)
	default:
		p.page = c.page("Outcome not known", s)
		if p.NotMade = errors.Is(err, quorum.ErrRecovering); p.NotMade {
			p.Title = "Not possible here now"
		}
		p.Text = err.Error()
		w.Header().Set("Retry-After", "1")
		c.render(w, http.StatusServiceUnavailable, "unknown", p)
	}
}

// conflict shows the operator's version next to the current one, and offers it as a
// change with a new request id.
func (c *Console) conflict(w http.ResponseWriter, s session, p changePage, current spec.Versioned) {
	p.page = c.page("Conflict over "+p.Name, s)
	p.Current, p.By = current, c.latest(current)
	p.Request = c.newID()
	c.render(w, http.StatusConflict, "conflict", p)
}

// afterChange returns the path to redirect to after an accepted change.
func afterChange(done admin.Accepted, deleted bool) string {
	if deleted {
		return "/?deleted=" + url.QueryEscape(done.Name)
	}
	return "/services/" + url.PathEscape(done.Name) + "?applied=" + strconv.FormatUint(done.Revision, 10)
}

// deleteForm shows the page that asks to confirm a deletion.
func (c *Console) deleteForm(w http.ResponseWriter, r *http.Request, s session) {
	name := r.PathValue("name")
	current, _ := c.editor.Read(r.Context(), name)
	if current.Revision == 0 || current.Deleted {
		c.problem(w, http.StatusNotFound, s, "No such service", "There is no service of this name.")
		return
	}
	c.render(w, http.StatusOK, "delete", changePage{
		page: c.page("Delete "+name, s), Current: current, Deleted: true,
		changeFields: changeFields{Name: name, Base: current.Revision, Request: c.newID()},
	})
}
