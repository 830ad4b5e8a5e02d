package spec_test

import (
	"encoding/json"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/field"
	"cardamomspool/core/spec"
)

func TestEveryFieldIsDescribed(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(field.UnknownPaths(spec.Fields, &spec.Service{})).To(gomega.BeEmpty())
	for _, e := range spec.Reference() {
		g.Expect(e.Known).To(gomega.BeTrue(), "%s has no row in spec.Fields", e.Path)
		g.Expect(e.Label).NotTo(gomega.BeEmpty(), e.Path)
		g.Expect(e.Help).NotTo(gomega.BeEmpty(), e.Path)
	}
}

// TestDescribedRangesAreEnforced checks that Validate enforces the ranges that
// the console shows.
func TestDescribedRangesAreEnforced(t *testing.T) {
	for _, e := range spec.Reference() {
		if !e.Bounded() {
			continue
		}
		t.Run(e.Path, func(t *testing.T) {
			g := gomega.NewWithT(t)
			g.Expect(faultPathsWith(e, e.Low)).To(gomega.BeEmpty())
			g.Expect(faultPathsWith(e, e.High)).To(gomega.BeEmpty())
			g.Expect(faultPathsWith(e, e.Low-1)).To(gomega.ConsistOf(strings.Replace(e.Path, "[]", "[0]", 1)))
			g.Expect(faultPathsWith(e, e.High+1)).To(gomega.ConsistOf(strings.Replace(e.Path, "[]", "[0]", 1)))
		})
	}
}

// faultPathsWith returns the paths of the faults of a valid document in which
// the field of e is set to value.
func faultPathsWith(e field.Entry, value int64) []string {
	text := strconv.FormatInt(value, 10)
	if e.Kind == field.Duration {
		text = strconv.Quote(time.Duration(value).String())
	}
	parts := strings.Split(e.Path, ".")
	for i := len(parts) - 1; i >= 0; i-- {
		name, isList := strings.CutSuffix(parts[i], "[]")
		if isList {
			text = `[{"path_prefix":"/",` + text[1:] + `]`
		}
		text = `{"` + name + `":` + text + `}`
	}
	doc := spec.Default()
	if err := json.Unmarshal([]byte(`{"name":"a","receive":{"path_prefixes":["/"]}}`), &doc); err != nil {
		panic(err)
	}
	if err := json.Unmarshal([]byte(text), &doc); err != nil {
		panic(err)
	}
	var paths []string
	for _, f := range doc.Validate() {
		paths = append(paths, f.Path)
	}
	return paths
}

func TestCanonicalWritesEveryFieldAndKeepsTheDocument(t *testing.T) {
	g := gomega.NewWithT(t)
	doc, faults := spec.Parse([]byte(`{"name":"a","receive":{"path_prefixes":["/<x>"],"routes":[{"path_prefix":"/y"}]}}`))
	g.Expect(faults).To(gomega.BeEmpty())
	body := spec.Canonical(doc)
	g.Expect(string(body)).To(gomega.ContainSubstring(`"path_prefixes":["/<x>"]`))
	g.Expect(string(body)).NotTo(gomega.ContainSubstring("null"))
	again, faults := spec.Parse(body)
	g.Expect(faults).To(gomega.BeEmpty())
	g.Expect(spec.Canonical(again)).To(gomega.Equal(body))
	g.Expect(doc.Receive.Hosts).To(gomega.BeNil())
}
