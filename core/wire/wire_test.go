package wire_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/wire"
)

func TestParseAnnouncementNamesEveryFault(t *testing.T) {
	g := gomega.NewWithT(t)
	_, faults := wire.ParseAnnouncement([]byte(`{"service":"A","address":"localhost:1","state":"happy","slots":-1}`))
	paths := []string{}
	for _, f := range faults {
		paths = append(paths, f.Path)
	}
	g.Expect(paths).To(gomega.ContainElements("service", "target", "address", "state", "incarnation", "slots"))
}

func TestRetryAfterRoundsUp(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(wire.RetryAfterSeconds(0)).To(gomega.Equal(1))
	g.Expect(wire.RetryAfterSeconds(1001 * time.Millisecond)).To(gomega.Equal(2))
}

func FuzzParseAnnouncement(f *testing.F) {
	f.Add([]byte(`{"service":"a","target":"t","address":"127.0.0.1:9000","state":"ready","incarnation":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, faults := wire.ParseAnnouncement(data)
		if len(faults) > 0 {
			return
		}
		if err := r.Validate(); err != nil {
			t.Fatal(err)
		}
	})
}
