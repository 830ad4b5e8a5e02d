package exper

import (
	"fmt"
	"io"
	"slices"
)

// cell gathers the rows of one policy in one scenario.
type cell struct {
	scenario, policy string
	rows             []Row
}

// WriteTable writes the medians over all seeds as a Markdown table, with the
// range of the 99th percentile.
func WriteTable(w io.Writer, rows []Row) {
	fmt.Fprintln(w, "| scenario | policy | seeds | p50 ms | p99 ms (range) | p99.9 ms | not run % | unknown or error % | attempts per call | probes per call | entry processor us per call |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|")
	for _, c := range cells(rows) {
		p99 := c.column(func(r Row) float64 { return r.P99 })
		fmt.Fprintf(w, "| %s | %s | %d | %.1f | %.1f (%.1f to %.1f) | %.1f | %.2f | %.2f | %.2f | %.2f | %.0f |\n",
			c.scenario, c.policy, len(c.rows), c.median(func(r Row) float64 { return r.P50 }),
			p99[len(p99)/2], p99[0], p99[len(p99)-1], c.median(func(r Row) float64 { return r.P999 }),
			c.median(func(r Row) float64 { return percent(r.RefusedNotRun, r.Calls) }),
			c.median(func(r Row) float64 { return percent(r.Unknown, r.Calls) }),
			c.median(func(r Row) float64 { return r.AttemptsPerCall }),
			c.median(func(r Row) float64 { return r.ProbesPerCall }),
			c.median(func(r Row) float64 { return r.ProcessorMicros }))
	}
}

func cells(rows []Row) []*cell {
	var list []*cell
	for _, r := range rows {
		i := slices.IndexFunc(list, func(c *cell) bool { return c.scenario == r.Scenario && c.policy == r.Policy })
		if i < 0 {
			i = len(list)
			list = append(list, &cell{scenario: r.Scenario, policy: r.Policy})
		}
		list[i].rows = append(list[i].rows, r)
	}
	return list
}

// column returns one value of each row, sorted.
func (c *cell) column(value func(Row) float64) []float64 {
	values := make([]float64, len(c.rows))
	for i, r := range c.rows {
		values[i] = value(r)
	}
	slices.Sort(values)
	return values
}

func (c *cell) median(value func(Row) float64) float64 {
	values := c.column(value)
	return values[len(values)/2]
}

func percent(n, of int) float64 {
	return 100 * float64(n) / float64(max(of, 1))
}
