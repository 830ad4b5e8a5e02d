package wire_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/member"
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

func TestParseAnnouncementRefusesInvalidInput(t *testing.T) {
	const good = `{"service":"a","target":"t","address":"127.0.0.1:9000","data_centre":"xela","state":"ready","incarnation":1,"slots":3}`
	for name, data := range map[string]string{
		"unknown field":       strings.Replace(good, `"slots"`, `"slot"`, 1),
		"wildcard address":    strings.Replace(good, "127.0.0.1:9000", "0.0.0.0:9000", 1),
		"port 0":              strings.Replace(good, ":9000", ":0", 1),
		"multicast address":   strings.Replace(good, "127.0.0.1", "224.0.0.1", 1),
		"target with newline": strings.Replace(good, `"t"`, `"t\n"`, 1),
		"long data centre":    strings.Replace(good, "xela", strings.Repeat("x", 65), 1),
		"incarnation too big": strings.Replace(good, `"incarnation":1`, `"incarnation":18446744073709551616`, 1),
		"negative":            strings.Replace(good, `"incarnation":1`, `"incarnation":-1`, 1),
		"two documents":       good + good,
		"cut short":           good[:40],
		"list":                "[]",
	} {
		t.Run(name, func(t *testing.T) {
			_, faults := wire.ParseAnnouncement([]byte(data))
			gomega.NewWithT(t).Expect(faults).NotTo(gomega.BeEmpty())
		})
	}
	_, faults := wire.ParseAnnouncement([]byte(good))
	gomega.NewWithT(t).Expect(faults).To(gomega.BeEmpty())
}

func TestParseTargetStateNeedsIncarnation(t *testing.T) {
	g := gomega.NewWithT(t)
	header := http.Header{"Spool-State": {"draining"}}
	_, _, ok := wire.ParseTargetState(header)
	g.Expect(ok).To(gomega.BeFalse())
	header.Set(wire.HeaderIncarnation, "17")
	state, incarnation, ok := wire.ParseTargetState(header)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(state).To(gomega.Equal(member.Draining))
	g.Expect(incarnation).To(gomega.Equal(uint64(17)))
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
