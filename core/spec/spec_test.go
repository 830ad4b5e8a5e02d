package spec_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/spec"
)

func TestParseNamesEveryFault(t *testing.T) {
	g := gomega.NewWithT(t)
	_, faults := spec.Parse([]byte(`{
		"name": "Bad Name",
		"receive": {"weight": 0, "routes": [{"path_prefix": "x", "methods": ["FETCH"]}]},
		"retry": {"attempts": 99},
		"colour": "red"
	}`))
	paths := []string{}
	for _, f := range faults {
		paths = append(paths, f.Path)
	}
	g.Expect(paths).To(gomega.ConsistOf("colour", "name", "receive", "receive.weight",
		"receive.routes[0].path_prefix", "receive.routes[0].methods[0]", "retry.attempts"))
}

func TestClassifyPrefersTheLongestRule(t *testing.T) {
	g := gomega.NewWithT(t)
	doc, faults := spec.Parse([]byte(`{
		"name": "bookings",
		"receive": {
			"path_prefixes": ["/bookings"], "deadline": "2s",
			"routes": [
				{"path_prefix": "/bookings", "weight": 2},
				{"path_prefix": "/bookings/deposits", "weight": 5, "non_idempotent": true, "deadline": "4s"}
			]
		}
	}`))
	g.Expect(faults).To(gomega.BeEmpty())
	g.Expect(doc.Receive.Classify("GET", "/bookings/1")).To(gomega.Equal(
		spec.Class{Weight: 2, Deadline: 2 * time.Second, Idempotent: true}))
	g.Expect(doc.Receive.Classify("GET", "/bookings/deposits/1")).To(gomega.Equal(
		spec.Class{Weight: 5, Deadline: 4 * time.Second}))
	g.Expect(doc.Receive.Classify("POST", "/bookings").Idempotent).To(gomega.BeFalse())
}

// Guards against a service that panics at its first call, since its retry window is
// shorter than the parts in which the budget counts.
func TestTooShortRetryWindowIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	for window, valid := range map[string]bool{"0s": true, "1ns": false, "19ns": false, "99ms": false, "100ms": true} {
		_, faults := spec.Parse([]byte(`{"name": "s", "receive": {"hosts": ["h"]}, "retry": {"window": "` + window + `"}}`))
		g.Expect(len(faults) == 0).To(gomega.Equal(valid), "%s: %v", window, faults)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"name":"a","receive":{"hosts":["a.example"]}}`))
	f.Add([]byte(`{"receive":{"routes":[{}]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, faults := spec.Parse(data)
		if len(faults) == 0 && !spec.ValidName(doc.Name) {
			t.Fatalf("accepted name %q", doc.Name)
		}
	})
}
