package wire_test

import (
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cardamomspool/core/wire"
)

func TestLoadReportRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := wire.Load{
			Running: rapid.IntRange(0, 99_999).Draw(t, "running"),
			Queued:  rapid.IntRange(0, 99_999).Draw(t, "queued"),
			Slots:   rapid.IntRange(1, 99_999).Draw(t, "slots"),
			Pace:    rapid.IntRange(0, 99_999).Draw(t, "pace"),
		}
		got, err := wire.ParseLoad(l.String())
		if err != nil || got != l {
			t.Fatalf("%q was read as %+v, %v", l.String(), got, err)
		}
	})
}

func TestParseLoadRefusesEveryOtherForm(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, s := range []string{
		"", "running=1", "running=1 queued=0", "running=1 queued=0 slots=0", "running=1 queued=0 slots=3 ",
		"running=-1 queued=0 slots=3", "running=+1 queued=0 slots=3", "running=1  queued=0 slots=3",
		"queued=0 running=1 slots=3", "running=1 queued=0 slots=100000", "running=01 queued=0 slots=3", "running=1 queued=0 slots=3 pace=0", "running=1 queued=0 slots=3 pace=", "running=1,queued=0,slots=3",
	} {
		_, err := wire.ParseLoad(s)
		g.Expect(err).To(gomega.MatchError(wire.ErrLoad), s)
	}
}

func FuzzParseLoad(f *testing.F) {
	f.Add("running=1 queued=0 slots=3")
	f.Fuzz(func(t *testing.T, s string) {
		if l, err := wire.ParseLoad(s); err == nil && l.String() != s {
			t.Fatalf("accepted %q as %q", s, l)
		}
	})
}

func BenchmarkParseLoad(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		if _, err := wire.ParseLoad("running=2 queued=1 slots=3"); err != nil {
			b.Fatal(err)
		}
	}
}
