package hash_test

import (
	"hash/fnv"
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/core/hash"
)

func TestAddIsFNV1a(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, parts := range [][]string{{}, {"a"}, {"cardamom", "spool"}, {"\x00\xff", "", "é"}} {
		h, want := hash.Start, fnv.New64a()
		for _, part := range parts {
			h = hash.Add(h, part)
			want.Write([]byte(part))
		}
		g.Expect(h).To(gomega.Equal(want.Sum64()))
		g.Expect(hash.Add(h, []byte("end"))).To(gomega.Equal(hash.Add(h, "end")))
	}
}

func BenchmarkAdd(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		hash.Add(hash.Start, "i-9abcb4e459 agenda-banco occ-a 10.1.0.15:8644 3 1 1787853841000")
	}
}
