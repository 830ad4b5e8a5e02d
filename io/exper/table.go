package exper

import (
	"fmt"
	"io"
	"slices"
)

// rowGroup holds the rows of one policy in one scenario.
type rowGroup struct {
	scenario, policy string
	rows             []Row
}

// WriteTable writes a Markdown table with a line for each policy in each scenario. A
// line holds medians over the rows of all seeds, and the range of their 99th
// percentiles.
func WriteTable(w io.Writer, rows []Row) {
	fmt.Fprintln(w, "| scenario | policy | seeds | p50 ms | p99 ms (range) | p99.9 ms | not run % | unknown or error % | attempts per call | probes per call | entry processor us per call |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|")
	for _, g := range groupRows(rows) {
		p99Values := g.sortedValues(func(r Row) float64 { return r.P99 })
		fmt.Fprintf(w, "| %s | %s | %d | %.1f | %.1f (%.1f to %.1f) | %.1f | %.2f | %.2f | %.2f | %.2f | %.0f |\n",
			g.scenario, g.policy, len(g.rows), g.median(func(r Row) float64 { return r.P50 }),
			p99Values[len(p99Values)/2], p99Values[0], p99Values[len(p99Values)-1], g.median(func(r Row) float64 { return r.P999 }),
			g.median(func(r Row) float64 { return percent(r.RefusedNotRun, r.Calls) }),
			g.median(func(r Row) float64 { return percent(r.Unknown, r.Calls) }),
			g.median(func(r Row) float64 { return r.AttemptsPerCall }),
			g.median(func(r Row) float64 { return r.ProbesPerCall }),
			g.median(func(r Row) float64 { return r.ProcessorMicros }))
	}
}

// groupRows groups rows by scenario and policy, in order of first appearance.
func groupRows(rows []Row) []*rowGroup {
	var list []*rowGroup
	for _, r := range rows {
		i := slices.IndexFunc(list, func(g *rowGroup) bool { return g.scenario == r.Scenario && g.policy == r.Policy })
		if i < 0 {
			i = len(list)
			list = append(list, &rowGroup{scenario: r.Scenario, policy: r.Policy})
		}
		list[i].rows = append(list[i].rows, r)
	}
	return list
}

// sortedValues returns one value of each row, sorted.
func (g *rowGroup) sortedValues(value func(Row) float64) []float64 {
	values := make([]float64, len(g.rows))
	for i, r := range g.rows {
		values[i] = value(r)
	}
	slices.Sort(values)
	return values
}

// median returns the median of one value of each row: of an even number of rows, the
// upper one of the two values in the middle.
func (g *rowGroup) median(value func(Row) float64) float64 {
	values := g.sortedValues(value)
	return values[len(values)/2]
}

// percent returns n as a percentage of total. A total of 0 counts as 1.
func percent(n, total int) float64 {
	return 100 * float64(n) / float64(max(total, 1))
}
