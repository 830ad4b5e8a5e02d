package plan_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/core/plan"
)

func TestDocumentIsReadBackAsItWas(t *testing.T) {
	for name, source := range map[string]string{"small": `{"version":3}`, "large": `"` + strings.Repeat("route ", 20_000) + `"`} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			d := plan.Document{Plan: plan.Plan{Version: 3}, Source: json.RawMessage(source)}
			data, err := d.Encode()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(json.Valid(data)).To(gomega.BeTrue())
			g.Expect(len(data)).To(gomega.BeNumerically("<", 64<<10))
			var known plan.Document
			g.Expect(json.Unmarshal(data, &known)).To(gomega.Succeed())
			g.Expect(known.Plan.Version == 3).To(gomega.Equal(name == "small"), "readable without knowing of compression")
			read, err := plan.DecodeDocument(data)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(read).To(gomega.Equal(d))
			_, err = plan.DecodeDocument(data[:len(data)-1])
			g.Expect(err).To(gomega.HaveOccurred())
		})
	}
}

func BenchmarkCompress(b *testing.B) {
	text := []byte(strings.Repeat(`{"name":"r-3fexd9d","host":"jepu9.example","path_prefix":"/puka111/"},`, 5000))
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		if _, err := plan.Compress(text); err != nil {
			b.Fatal(err)
		}
	}
}
