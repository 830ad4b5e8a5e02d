package disk

import (
	"encoding/json"
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/core/quorum"
)

// FuzzDecode checks that decode accepts only the exact output of encode, and that
// a register that was decoded can be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte("00000000\n"))
	f.Add(encode([]byte(`{"name":"x","promised":{"round":1,"host":"a"}}`)))
	f.Fuzz(func(t *testing.T, content []byte) {
		g := gomega.NewWithT(t)
		var r quorum.Register
		if decode(content, &r) != nil {
			return
		}
		g.Expect(encode(content[9:])).To(gomega.Equal(content))
		body, err := json.Marshal(r)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var again quorum.Register
		g.Expect(decode(encode(body), &again)).To(gomega.Succeed())
	})
}
