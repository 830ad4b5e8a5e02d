package consol

import (
	"net/url"
	"strconv"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cardamomspool/core/spec"
)

// browserValues returns the values that a browser posts for a form without edits.
func browserValues(f *form) url.Values {
	values := url.Values{}
	var add func(in input)
	add = func(in input) {
		switch {
		case in.Options != nil:
			for _, o := range in.Options {
				if o.Chosen {
					values.Add(in.Name, o.Value)
				}
			}
		case in.Kind.String() == "true or false":
			if in.Checked {
				values.Set(in.Name, "on")
			}
		default:
			values.Set(in.Name, strings.ReplaceAll(in.Value, "\n", "\r\n"))
		}
	}
	for _, s := range f.sections(false) {
		for _, in := range s.Inputs {
			add(in)
		}
		for _, g := range s.Groups {
			for _, r := range g.Rows {
				for _, in := range r.Inputs {
					add(in)
				}
			}
		}
	}
	return values
}

// A valid document that is opened in a form and posted without edits must come
// out unchanged.
func TestFormKeepsTheDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doc := spec.Default()
		doc.Name = rapid.StringMatching(`[a-z][a-z0-9-]{0,8}`).Draw(t, "name")
		doc.Receive.Hosts = rapid.SliceOfN(rapid.String(), 0, 3).Draw(t, "hosts")
		doc.Receive.PathPrefixes = rapid.SliceOfN(prefix, 0, 3).Draw(t, "prefixes")
		doc.Receive.NonIdempotentMethods = rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"GET", "PUT", "POST"}), 0, 3, rapid.ID).Draw(t, "methods")
		doc.Targets.Drain = rapid.SliceOfN(rapid.String(), 0, 3).Draw(t, "drain")
		doc.Targets.Slots = rapid.IntRange(1, spec.MaxSlots).Draw(t, "slots")
		for range rapid.IntRange(0, 3).Draw(t, "rules") {
			doc.Receive.Routes = append(doc.Receive.Routes, spec.RouteRule{
				PathPrefix: prefix.Draw(t, "rule"), Weight: rapid.IntRange(0, 9).Draw(t, "weight"),
				Patient: rapid.Bool().Draw(t, "patient"), NonIdempotent: rapid.Bool().Draw(t, "once"),
			})
		}
		if len(doc.Validate()) > 0 {
			t.Skip("not valid")
		}
		f := parseForm(browserValues(formOf(doc)))
		again := f.document()
		if len(f.faults) > 0 {
			t.Fatalf("faults: %v", f.faults)
		}
		if got, want := string(spec.Canonical(again)), string(spec.Canonical(doc)); got != want {
			t.Fatalf("the form made\n%s\nout of\n%s", got, want)
		}
	})
}

var prefix = rapid.Custom(func(t *rapid.T) string { return "/" + rapid.String().Draw(t, "path") })

func FuzzPostedForm(f *testing.F) {
	f.Add("name=a&receive.path_prefixes=%2F&receive.routes%5B0%5D.weight=x")
	f.Add("receive.routes[7].path_prefix=/&receive.routes[7].remove=on&hold.length=1e3")
	f.Fuzz(func(t *testing.T, query string) {
		values, err := url.ParseQuery(query)
		if err != nil {
			t.Skip()
		}
		form := parseForm(values)
		doc := form.document()
		form.sections(false)
		if len(form.faults) == 0 && len(doc.Validate()) > 0 {
			t.Fatalf("accepted a document with faults: %v", doc.Validate())
		}
	})
}

// The form of a document of nearly the maximum length must fit into maxFormBytes
// and keep all rules.
func TestFormKeepsManyRules(t *testing.T) {
	g := gomega.NewWithT(t)
	doc := spec.Default()
	doc.Name, doc.Receive.PathPrefixes = "many", []string{"/"}
	for len(spec.Canonical(doc)) < spec.MaxDocumentBytes-500 {
		doc.Receive.Routes = append(doc.Receive.Routes, spec.RouteRule{PathPrefix: "/" + strconv.Itoa(len(doc.Receive.Routes))})
	}
	values := browserValues(formOf(doc))
	g.Expect(len(values.Encode())).To(gomega.BeNumerically("<", maxFormBytes))
	again := parseForm(values).document()
	g.Expect(string(spec.Canonical(again))).To(gomega.Equal(string(spec.Canonical(doc))))
}
