package setup_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/strict"
	"cardamomspool/io/setup"
)

func TestFleetFaultsNameTheirPath(t *testing.T) {
	address := netip.MustParseAddrPort("127.0.0.1:1")
	valid := func() setup.Control {
		s := setup.DefaultControl()
		s.Host, s.DataCentre, s.DataFolder = "control-1", "xela", "data"
		s.AdminAddress, s.PeerAddress = address, address
		s.Fleet = setup.Fleet{
			Adapter: setup.AdapterPlatform, Seeds: []netip.AddrPort{address}, FrontAddress: address,
			RetryRatio: 0.2, RetryWindow: strict.Duration(10 * time.Second), RetrySlack: 58,
		}
		return s
	}
	for path, change := range map[string]func(*setup.Fleet){
		"":                                func(*setup.Fleet) {},
		"fleet.adapter":                   func(f *setup.Fleet) { f.Adapter = "other" },
		"fleet.seeds (number of entries)": func(f *setup.Fleet) { f.Seeds = nil },
		"fleet.seeds":                     func(f *setup.Fleet) { f.Seeds = []netip.AddrPort{{}} },
		"fleet.front_address":             func(f *setup.Fleet) { f.FrontAddress = netip.AddrPort{} },
		"fleet.retry_ratio":               func(f *setup.Fleet) { f.RetryRatio = 1.5 },
		"fleet.retry_window":              func(f *setup.Fleet) { f.RetryWindow = -1 },
		"fleet.retry_slack":               func(f *setup.Fleet) { f.RetrySlack = -1 },
		"fleet.probe_interval":            func(f *setup.Fleet) { f.ProbeInterval = -1 },
		"fleet.link_mbps":                 func(f *setup.Fleet) { f.LinkMbps = -1 },
		"controls (number of entries)":    func(f *setup.Fleet) { f.Adapter = "" },
	} {
		t.Run(path, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := valid()
			change(&s.Fleet)
			var paths []string
			for _, fault := range s.Validate() {
				paths = append(paths, fault.Path)
			}
			if path == "" {
				g.Expect(paths).To(gomega.BeEmpty())
				return
			}
			g.Expect(paths).To(gomega.ContainElement(path))
		})
	}
	g := gomega.NewWithT(t)
	s := valid()
	s.Fleet.RetryWindow = 19
	g.Expect(s.Validate()).To(gomega.ContainElement(gomega.HaveField("Path", "fleet.retry_window")))
}
