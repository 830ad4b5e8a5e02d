package entry

import (
	"net/http"
	"net/url"
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/core/member"
	"cardamomspool/core/strict"
)

// Guards against paths with encoded slashes that are denied or changed, and against those that
// reach a target by another route than the one that the target reads.
func TestEncodedSlashesReachOneRouteOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	paths := make(chan string, 10)
	target := newRawTarget(t, func(c *rawConn) {
		for r := c.readRequest(); r != nil; r = c.readRequest() {
			paths <- r.RequestURI
			c.send(okResponse)
		}
	})
	p := testPlan()
	p.Routes[0].Timeout = strict.Duration(testTimeout)
	inner := p.Routes[0]
	inner.Name, inner.PathPrefix = "inner", "/a/inner/"
	p.Routes = append(p.Routes, inner)
	control := newPlannedControl(t, p, rosterTarget("t", target.address, member.Ready))
	control.state.UpdateTargets(true, rosterTarget("t", target.address, member.Ready))
	_, address := newFleetHost(t, control.address)
	u, err := url.Parse(address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	b := &testBed{address: u.Host}
	for path, status := range map[string]int{
		"/a/x%2Fy":         http.StatusOK,
		"/a/x%2fy?q=%2F":   http.StatusOK,
		"/a/inner/x%2Fy":   http.StatusOK,
		"/a/inner%2Fx":     http.StatusBadRequest,
		"/a%2Finner/x":     http.StatusBadRequest,
		"/a%2Fx":           http.StatusBadRequest,
		"/a/..%2F..%2Fx":   http.StatusBadRequest,
		"/a/x%2F..%2Fy":    http.StatusBadRequest,
		"/a/x%5Cy":         http.StatusBadRequest,
		"/a/x%00y":         http.StatusBadRequest,
		"/a/x%2F%2e%2e/zz": http.StatusBadRequest,
	} {
		raw, _ := b.session(t, "GET "+path+" HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n\r\n")
		g.Expect(finalAnswer(raw).StatusCode).To(gomega.Equal(status), path)
		if status == http.StatusOK {
			g.Expect(paths).To(gomega.Receive(gomega.Equal(path)))
		}
	}
	g.Expect(paths).NotTo(gomega.Receive())
}
