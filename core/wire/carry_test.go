package wire_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/keys"
	"cardamomspool/core/strict"
	"cardamomspool/core/wire"
	"cardamomspool/internal/golden"
)

func TestCarryIsReadAsItWasSet(t *testing.T) {
	g := gomega.NewWithT(t)
	c := wire.Carry{
		Call: "c", Service: "s", Target: "t", Incarnation: 7, TimeLeft: strict.Duration(time.Second), Idempotent: true,
		Head: 1, Content: 1<<64 - 1, Caller: 3,
	}
	header := make(http.Header)
	g.Expect(wire.SetCarry(header, c)).To(gomega.Succeed())
	read, err := wire.TakeCarry(header)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(read).To(gomega.Equal(c))
	g.Expect(header).To(gomega.BeEmpty())
}

// Entry hosts of other versions carry calls for each other during an upgrade.
func TestCarryOfAnotherVersionIsRead(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, text := range []string{
		`{"call":"c","service":"s","target":"t","time_left":"1s"}`,
		`{"call":"c","service":"s","target":"t","time_left":"1s","later_field":{"a":[1]}}`,
	} {
		c, err := wire.TakeCarry(http.Header{wire.HeaderCarry: {text}})
		g.Expect(err).NotTo(gomega.HaveOccurred(), text)
		g.Expect(c).To(gomega.Equal(wire.Carry{Call: "c", Service: "s", Target: "t", TimeLeft: strict.Duration(time.Second)}))
	}
}

// Entry hosts of other versions must read what this one sends, and a call without a client
// account keeps its bytes.
func TestCarryKeepsItsForm(t *testing.T) {
	g := gomega.NewWithT(t)
	c := wire.Carry{Call: "c", Service: "s", Target: "t", Incarnation: 7, TimeLeft: strict.Duration(time.Second), Head: 1, Content: 2, Caller: 3}
	digest := keys.Of("k-1")
	var text strings.Builder
	for _, key := range []*keys.Digest{nil, &digest} {
		c.Key = key
		header := make(http.Header)
		g.Expect(wire.SetCarry(header, c)).To(gomega.Succeed())
		g.Expect(header.Write(&text)).To(gomega.Succeed())
		read, err := wire.TakeCarry(header)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(read).To(gomega.Equal(c))
	}
	golden.Compare(t, "carry", strings.ReplaceAll(text.String(), "\r", ""))
}

// Guards against digests in the log lines about carried calls that are refused.
func TestRefusedCarryShowsNoDigest(t *testing.T) {
	g := gomega.NewWithT(t)
	digest, err := keys.Of("k-1").MarshalText()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, text := range []string{`{"call":"c","key":"` + string(digest) + `"}`, `{"call":"c","key":"` + string(digest), `{"key":"x` + string(digest) + `"}`} {
		_, err = wire.TakeCarry(http.Header{wire.HeaderCarry: {text}})
		g.Expect(err).To(gomega.HaveOccurred())
		g.Expect(err.Error()).NotTo(gomega.ContainSubstring(string(digest)))
	}
}

func TestFieldsAreDeletedInAllSpellings(t *testing.T) {
	g := gomega.NewWithT(t)
	header := http.Header{"Spool-Account": {"a"}, "Spool_Account": {"b"}, "spool_account": {"c"}, "Spool-Accounts": {"d"}}
	wire.DeleteField(header, wire.HeaderAccount)
	g.Expect(header).To(gomega.Equal(http.Header{"Spool-Accounts": {"d"}}))
}
