package strict_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/strict"
)

type inner struct {
	Wait strict.Duration `json:"wait"`
}

type outer struct {
	Count int     `json:"count"`
	Items []inner `json:"items"`
}

func TestDecodeReportsEveryFaultByPath(t *testing.T) {
	g := gomega.NewWithT(t)
	var v outer
	faults := strict.Decode([]byte(`{"count":"x","items":[{"wait":"1s"},{"wait":3,"extra":1}],"more":0}`), &v)
	g.Expect(faults).To(gomega.HaveLen(4))
	paths := []string{}
	for _, f := range faults {
		paths = append(paths, f.Path)
	}
	g.Expect(paths).To(gomega.ConsistOf("count", "items[1].wait", "items[1].extra", "more"))
}

func TestDecodeReadsDurations(t *testing.T) {
	g := gomega.NewWithT(t)
	var v outer
	g.Expect(strict.Decode([]byte(`{"count":2,"items":[{"wait":"250ms"}]}`), &v)).To(gomega.BeEmpty())
	g.Expect(v.Items[0].Wait.Std()).To(gomega.Equal(250 * time.Millisecond))
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"count":1,"items":[{"wait":"1s"}]}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var v outer
		for _, fault := range strict.Decode(data, &v) {
			if fault.Path == "" || fault.Problem == "" {
				t.Fatalf("fault without path or problem: %+v", fault)
			}
		}
	})
}
