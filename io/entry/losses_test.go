package entry

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/core/member"
)

func TestCallerAddressIsTheLastOneThatIsNotAProxy(t *testing.T) {
	g := gomega.NewWithT(t)
	trusted := []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}
	for _, row := range []struct{ remote, forwarded, caller string }{
		{"192.0.2.1:99", "198.51.100.7", "192.0.2.1"},
		{"10.0.0.1:99", "198.51.100.7", "198.51.100.7"},
		{"10.0.0.1:99", "203.0.113.9, 198.51.100.7, 10.0.0.2", "198.51.100.7"},
		{"10.0.0.1:99", "", "10.0.0.1"},
	} {
		r := httptest.NewRequest(http.MethodGet, "/", strings.NewReader(""))
		r.RemoteAddr = row.remote
		if row.forwarded != "" {
			r.Header.Set("X-Forwarded-For", row.forwarded)
		}
		g.Expect(callerAddress(r, trusted).String()).To(gomega.Equal(row.caller))
	}
}

// Guards against a target that counts as ended because another one, which has ended, had
// its address before.
func TestEarlierTargetAtAnAddressReplacesNone(t *testing.T) {
	g := gomega.NewWithT(t)
	h, address := newTestHost(), netip.MustParseAddrPort("127.0.0.1:9")
	announce := func(target string, incarnation uint64) {
		h.members.handle(member.Announce{Record: member.Record{
			Key: member.Key{Service: "s", Target: target}, Address: address, State: member.Ready, Incarnation: incarnation, Owner: "entry-1",
		}})
	}
	announce("former", 5)
	announce("present", 7)
	g.Expect(h.targetReplaced(7, address)).To(gomega.BeFalse())
	g.Expect(h.targetReplaced(0, address)).To(gomega.BeFalse(), "an unknown incarnation")
	announce("next", 8)
	g.Expect(h.targetReplaced(7, address)).To(gomega.BeTrue())
}
