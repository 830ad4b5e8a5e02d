package plan

import (
	"cmp"
	"slices"
	"strings"
)

// Table finds the route of a call. It is immutable and safe for concurrent use.
// The zero value has no routes.
type Table struct {
	// routesByHost holds the routes by host name in lower case, those with the
	// longest path prefix first.
	routesByHost map[string][]*Route
}

// NewTable returns a table of the routes of p, which must not change while the
// table is in use.
func NewTable(p *Plan) *Table {
	t := &Table{routesByHost: make(map[string][]*Route)}
	for i := range p.Routes {
		host := strings.ToLower(p.Routes[i].Host)
		t.routesByHost[host] = append(t.routesByHost[host], &p.Routes[i])
	}
	for _, list := range t.routesByHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	return t
}

// Find returns the route of a call to host, a name without port, and path: of the
// routes of that host, the one with the longest prefix that path begins with. It
// returns nil when there is none.
func (t *Table) Find(host, path string) *Route {
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}
