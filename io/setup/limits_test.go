package setup_test

import (
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/io/setup"
)

// entryFile writes the settings of an example entry host, with the given JSON as
// the value of callers, and returns the file's path.
func entryFile(t *testing.T, callers string) string {
	t.Helper()
	g := gomega.NewWithT(t)
	data, err := os.ReadFile("../../examples/altiplano/entry-1.json")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var fields map[string]json.RawMessage
	g.Expect(json.Unmarshal(data, &fields)).To(gomega.Succeed())
	fields["callers"] = json.RawMessage(callers)
	data, err = json.Marshal(fields)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	file := filepath.Join(t.TempDir(), "entry.json")
	g.Expect(os.WriteFile(file, data, 0o600)).To(gomega.Succeed())
	return file
}

func TestCallersDefaults(t *testing.T) {
	g := gomega.NewWithT(t)
	s, err := setup.LoadEntry(entryFile(t, `{"max_connections": 7, "trusted_proxies": ["10.0.0.0/8"],
		"tls": {"certificate_file": "c", "key_file": "k"}}`))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	c := s.Callers.WithDefaults()
	g.Expect(c.MaxConnections).To(gomega.Equal(7))
	g.Expect(c.TrustedProxies).To(gomega.Equal([]netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}))
	g.Expect(c.TLS.Enabled()).To(gomega.BeTrue())
	g.Expect(c.HeaderTimeout.Std()).To(gomega.Equal(5 * time.Second))
	g.Expect(c.MaxBodyBytes).To(gomega.Equal(256 << 20))
}

func TestCallersFaultsNameTheirPath(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := setup.LoadEntry(entryFile(t, `{"max_body_bytes": -1, "header_timeout": "2h", "tls": {"key_file": "k"}}`))
	g.Expect(err).To(gomega.MatchError(gomega.And(
		gomega.ContainSubstring("callers.max_body_bytes"), gomega.ContainSubstring("callers.header_timeout"),
		gomega.ContainSubstring("callers.tls: must name both"))))
}
