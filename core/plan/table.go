package plan

import (
	"cmp"
	"slices"
	"strings"
)

// Table finds the route of a call. It does not change once made, so many
// goroutines may use it. The zero value has no routes.
type Table struct {
	byHost map[string][]*Route
}

// NewTable returns a table of the routes of p, which must not change.
func NewTable(p *Plan) *Table {
	t := &Table{byHost: make(map[string][]*Route)}
	for i := range p.Routes {
		host := strings.ToLower(p.Routes[i].Host)
		t.byHost[host] = append(t.byHost[host], &p.Routes[i])
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	return t
}

// Find returns the route of a call for host, without port, and path: of the
// routes of the host the one with the longest prefix of the path. It returns
// nil when there is none.
func (t *Table) Find(host, path string) *Route {
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}
