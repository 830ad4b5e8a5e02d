package consol

import (
	"bytes"
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/diff"

	"cardamomspool/core/quorum"
	"cardamomspool/core/spec"
	"cardamomspool/io/admin"
)

type (
	// page is the data that all pages have.
	page struct {
		Title string
		// Host is the name of this control host.
		Host     string
		Operator string
		// LoginRequired says that the console has an operator token.
		LoginRequired bool
		LoggedIn      bool
		FormToken     string
	}

	loginPage struct {
		page
		Operator      string
		TokenFault    string
		OperatorFault string
	}

	listPage struct {
		page
		Services []admin.HistoryEntry
		Notice   string
		Status   quorum.Status
	}

	problemPage struct {
		page
		Text string
	}

	historyPage struct {
		page
		Name    string
		Entries []historyEntry
	}

	// historyEntry is a revision of a service on its history page.
	historyEntry struct {
		admin.HistoryEntry
		// Previous is the document of the next older entry; empty if there is
		// none.
		Previous []byte
		Newest   bool
	}

	hostsPage struct {
		page
		Status       quorum.Status
		EntryAnswers []hostRow
		Targets      []targetRow
		AskedAt      time.Time
		// Evacuated lists the evacuated data centres.
		Evacuated []string
		// Names lists the services. Service is the one whose targets are shown.
		Names   []string
		Service string
	}

	// hostRow is an entry host with its answer. Outdated lists the services of
	// which it uses an older revision than the newest.
	hostRow struct {
		admin.EntryAnswer
		Outdated []string
	}

	// targetRow is a target. States says how many entry hosts report which state
	// of it.
	targetRow struct {
		admin.TargetView
		States string
	}

	// diffLine is one line of a diff with its CSS class: added, removed, place (of
	// the lines that follow), or none for context.
	diffLine struct {
		Class string
		Text  string
	}
)

// page returns the data that all pages have, for a page of session s.
func (c *Console) page(title string, s session) page {
	return page{
		Title: title, Host: c.host, Operator: s.Operator, LoginRequired: c.token != "",
		LoggedIn: s.Nonce != "", FormToken: c.signer.formToken(s),
	}
}

// problem shows a page that says why a request was not carried out.
func (c *Console) problem(w http.ResponseWriter, status int, s session, title, text string) {
	c.render(w, status, "problem", problemPage{page: c.page(title, s), Text: text})
}

// latest returns the history entry of v, or one without operator and time when the
// history of this host does not hold v.
func (c *Console) latest(v spec.Versioned) admin.HistoryEntry {
	for _, p := range admin.History(c.store, v.Name) {
		if p.Revision == v.Revision {
			return p
		}
	}
	return admin.HistoryEntry{Versioned: v}
}

// list shows all services. If the query holds deleted, the page says that the service
// of that name is deleted.
func (c *Console) list(w http.ResponseWriter, r *http.Request, s session) {
	p := listPage{page: c.page("Services", s), Status: c.store.Status()}
	for _, v := range c.store.List() {
		p.Services = append(p.Services, c.latest(v))
	}
	if name := r.URL.Query().Get("deleted"); spec.ValidName(name) {
		p.Notice = "Service " + name + " is deleted."
	}
	c.render(w, http.StatusOK, "list", p)
}

// history shows the revisions of a service that this host has learnt, each with its
// diff to the previous one.
func (c *Console) history(w http.ResponseWriter, r *http.Request, s session) {
	p := historyPage{Name: r.PathValue("name")}
	versions := admin.History(c.store, p.Name)
	if len(versions) == 0 {
		c.problem(w, http.StatusNotFound, s, "No such service", "There has been no service of this name on this control host.")
		return
	}
	p.page = c.page("History of "+p.Name, s)
	for i, version := range versions {
		e := historyEntry{HistoryEntry: version, Newest: i == 0}
		if i+1 < len(versions) {
			e.Previous = versions[i+1].Body
		}
		p.Entries = append(p.Entries, e)
	}
	c.render(w, http.StatusOK, "history", p)
}

// hosts shows the hosts, and the targets of the service that the query names or of the
// first one. If the query holds every, a number of seconds up to 3600, the browser
// loads the page again after that time.
func (c *Console) hosts(w http.ResponseWriter, r *http.Request, s session) {
	if seconds, err := strconv.Atoi(r.URL.Query().Get("every")); err == nil && seconds >= 1 && seconds <= 3600 {
		w.Header().Set("Refresh", strconv.Itoa(seconds))
	}
	p := hostsPage{page: c.page("Hosts and targets", s), Status: c.store.Status(), AskedAt: c.now()}
	_, p.Evacuated = c.evacuation()
	for _, v := range c.store.List() {
		p.Names = append(p.Names, v.Name)
	}
	if p.Service = r.URL.Query().Get("service"); !spec.ValidName(p.Service) && len(p.Names) > 0 {
		p.Service = p.Names[0]
	}
	answers := c.fleet.Targets(r.Context(), p.Service)
	for _, answer := range answers {
		p.EntryAnswers = append(p.EntryAnswers, hostRow{EntryAnswer: answer, Outdated: c.outdatedServices(answer)})
	}
	p.Targets = targetRows(answers)
	c.render(w, http.StatusOK, "hosts", p)
}

// outdatedServices lists, as text, the services of which an entry host uses an older
// revision than the newest that this control host knows. It is empty for a host that
// does not answer.
func (c *Console) outdatedServices(a admin.EntryAnswer) []string {
	inForce := make(map[string]uint64, len(a.Services))
	for _, v := range a.Services {
		inForce[v.Name] = v.Revision
	}
	var list []string
	for _, v := range c.store.List() {
		if a.Problem == "" && inForce[v.Name] < v.Revision {
			list = append(list, fmt.Sprintf("%s at %d, not %d", v.Name, inForce[v.Name], v.Revision))
		}
	}
	return list
}

// targetRows merges the reports of the entry hosts into one row per target, in the
// order of service and name. If the reports differ in the target's incarnation, the
// number that grows with each start of its process, the row shows the highest one.
func targetRows(answers []admin.EntryAnswer) []targetRow {
	type key struct{ service, name string }
	views := make(map[key]admin.TargetView)
	states := make(map[key]map[string]int)
	for _, a := range answers {
		for _, t := range a.Targets {
			k := key{t.Service, t.Name}
			if states[k] == nil {
				states[k] = make(map[string]int)
			}
			states[k][t.Condition()]++
			if t.Incarnation >= views[k].Incarnation {
				views[k] = t
			}
		}
	}
	rows := make([]targetRow, 0, len(views))
	for k, view := range views {
		rows = append(rows, targetRow{TargetView: view, States: formatCounts(states[k])})
	}
	slices.SortFunc(rows, func(a, b targetRow) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
	})
	return rows
}

// formatCounts returns the number of entry hosts per state as text.
func formatCounts(counts map[string]int) string {
	var parts []string
	for state, n := range counts {
		parts = append(parts, fmt.Sprintf("%s on %d", state, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

// formatTime formats t in UTC for a page; a zero time becomes a dash.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "–"
	}
	return t.UTC().Format("2006-01-02 15:04:05 UTC")
}

// diffLines returns the lines of a diff from before to after, with context, or nil
// when the documents are equal.
func diffLines(before, after []byte) []diffLine {
	text := diff.Diff("before", spec.Indent(before), "after", spec.Indent(after))
	var lines []diffLine
	for _, line := range bytes.Split(bytes.TrimSpace(text), []byte("\n")) {
		switch {
		case len(line) == 0 || bytes.HasPrefix(line, []byte("diff ")),
			bytes.HasPrefix(line, []byte("--- ")), bytes.HasPrefix(line, []byte("+++ ")):
		case line[0] == '+':
			lines = append(lines, diffLine{"added", string(line)})
		case line[0] == '-':
			lines = append(lines, diffLine{"removed", string(line)})
		case line[0] == '@':
			lines = append(lines, diffLine{"place", string(line)})
		default:
			lines = append(lines, diffLine{"", string(line)})
		}
	}
	return lines
}

// fieldID returns the HTML id of the field called name. For an entry of a list it
// returns the id of the list.
func fieldID(name string) string {
	if strings.HasSuffix(name, "]") {
		name = name[:strings.LastIndex(name, "[")]
	}
	return "f-" + strings.NewReplacer(".", "-", "[", "-", "]", "").Replace(name)
}
