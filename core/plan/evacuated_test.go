package plan_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/core/plan"
)

// Guards against orders that change anything else in a stored document, large or small, or
// are lost by a new plan.
func TestOrdersInStoredDocuments(t *testing.T) {
	for name, size := range map[string]int{"small": 10, "compressed": 100_000} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			source, err := json.Marshal(strings.Repeat("<x&", size))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			d := plan.Document{Plan: plan.Plan{Version: 4}, Source: source}
			stored, err := d.Encode()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			order := func(data []byte, zone string, evacuated bool) []byte {
				next, orderErr := plan.WithOrder(data, zone, evacuated)
				g.Expect(orderErr).NotTo(gomega.HaveOccurred())
				return next
			}
			g.Expect(order(stored, "pest", false)).To(gomega.BeNil(), "nothing to withdraw")
			with := order(order(stored, "pest", true), "buda", true)
			g.Expect(order(with, "pest", true)).To(gomega.BeNil(), "the order is in force")
			got, err := plan.DecodeDocument(with)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(got.Evacuated).To(gomega.Equal([]string{"buda", "pest"}))
			g.Expect(got.Plan).To(gomega.Equal(d.Plan))
			want, err := plan.DecodeDocument(stored)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(string(got.Source)).To(gomega.Equal(string(want.Source)), "operators read back their text")
			without := order(order(with, "buda", false), "pest", false)
			list, err := plan.EvacuatedIn(without)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(list).To(gomega.BeEmpty())
			next, err := plan.WithOrdersOf(without, stored)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(next).To(gomega.BeNil(), "without orders a plan keeps its bytes")
			next, err = plan.WithOrdersOf(with, stored)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			list, err = plan.EvacuatedIn(next)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(list).To(gomega.Equal([]string{"buda", "pest"}))
		})
	}
}

// Guards against an order that is refused because there is no plan yet, and against fields of
// later versions that an order drops.
func TestOrderKeepsUnknownFields(t *testing.T) {
	g := gomega.NewWithT(t)
	next, err := plan.WithOrder(nil, "pest", true)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(next)).To(gomega.Equal(`{"evacuated":["pest"]}`))
	next, err = plan.WithOrder([]byte(`{"later":{"a":1},"plan":{"version":3,"new":true}}`), "pest", true)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(next)).To(gomega.Equal(`{"evacuated":["pest"],"later":{"a":1},"plan":{"version":3,"new":true}}`))
	_, err = plan.WithOrder([]byte("{"), "pest", true)
	g.Expect(err).To(gomega.HaveOccurred())
}
