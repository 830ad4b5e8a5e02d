package main

import (
	"bytes"
	"net/netip"
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/core/quorum"
	"cardamomspool/io/admin"
	"cardamomspool/io/client"
)

// Guards against a status that does not show the orders in force, or shows a line without one.
func TestStatusShowsEvacuatedDataCentres(t *testing.T) {
	g := gomega.NewWithT(t)
	list := []client.HostStatus{
		{Address: netip.MustParseAddrPort("127.0.0.1:1"), StatusView: admin.StatusView{Status: quorum.Status{Host: "a", Voting: true}, Evacuated: []string{"buda", "pest"}}},
		{Address: netip.MustParseAddrPort("127.0.0.1:2"), StatusView: admin.StatusView{Status: quorum.Status{Host: "b", Voting: true}}},
	}
	var out bytes.Buffer
	g.Expect(printStatus(&out, outputTable, list)).To(gomega.Succeed())
	g.Expect(out.String()).To(gomega.MatchRegexp(`127\.0\.0\.1:1 +a .*evacuated: buda, pest`))
	g.Expect(bytes.Count(out.Bytes(), []byte("evacuated"))).To(gomega.Equal(1))
}

// Guards against a status that does not tell builds apart, or fails for a host of a build that
// sends no version.
func TestStatusShowsVersions(t *testing.T) {
	g := gomega.NewWithT(t)
	list := []client.HostStatus{
		{Address: netip.MustParseAddrPort("127.0.0.1:1"), StatusView: admin.StatusView{Status: quorum.Status{Host: "a", Voting: true}, Version: "v1.2.3"}},
		{Address: netip.MustParseAddrPort("127.0.0.1:2"), StatusView: admin.StatusView{Status: quorum.Status{Host: "b", Voting: true}}},
	}
	var out bytes.Buffer
	g.Expect(printStatus(&out, outputTable, list)).To(gomega.Succeed())
	g.Expect(out.String()).To(gomega.MatchRegexp(`127\.0\.0\.1:1 +a +v1\.2\.3 `))
	g.Expect(out.String()).To(gomega.MatchRegexp(`127\.0\.0\.1:2 +b +- `))
}
