package entry

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/member"
	"cardamomspool/core/plan"
	"cardamomspool/io/setup"
)

// Guards against limits of a plan that take no effect: a caller within the raised limits is
// denied, and one beyond the limits is read on.
func TestRaisedLimitsOfAPlanTakeEffect(t *testing.T) {
	const configured, raised = 8 << 10, 64 << 10
	g := gomega.NewWithT(t)
	target := newRawTarget(t, respondWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"))
	p := testPlan()
	control := newPlannedControl(t, p, rosterTarget("t", target.address, member.Ready))
	control.state.UpdateTargets(true, rosterTarget("t", target.address, member.Ready))
	_, address := newFleetHost(t, control.address, func(cfg *setup.Entry) {
		cfg.Callers.MaxHeaderBytes, cfg.Callers.MaxBodyBytes = configured, configured
	})
	u, err := url.Parse(address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	b := &testBed{address: u.Host}
	status := func(header, body int) func() int {
		fields := strings.Repeat("X-Long: "+strings.Repeat("h", 1014)+"\r\n", header/1024)
		return func() int {
			raw, _ := b.session(t, fmt.Sprintf("POST /a/x HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n%s", fields, body, strings.Repeat("b", body)))
			if answer := finalAnswer(raw); answer != nil {
				return answer.StatusCode
			}
			return 0
		}
	}
	const long = 48 << 10
	g.Eventually(status(1024, 10), testTimeout).Should(gomega.Equal(http.StatusOK))
	g.Expect(status(long, 10)()).To(gomega.Equal(http.StatusRequestHeaderFieldsTooLarge))
	g.Expect(status(1024, long)()).To(gomega.Equal(http.StatusRequestEntityTooLarge))
	next := testPlan()
	next.Version, next.Limits = 2, plan.Limits{HeaderBytes: raised, BodyBytes: raised}
	control.state.SetPlan(next)
	g.Eventually(status(long, 10), 5*time.Second).Should(gomega.Equal(http.StatusOK))
	g.Expect(status(1024, long)()).To(gomega.Equal(http.StatusOK))
	g.Expect(status(2*raised, 10)()).To(gomega.Equal(http.StatusRequestHeaderFieldsTooLarge))
	g.Expect(status(1024, 2*raised)()).To(gomega.Equal(http.StatusRequestEntityTooLarge))
	lower := testPlan()
	lower.Version, lower.Limits = 3, plan.Limits{HeaderBytes: 1024, BodyBytes: 1024}
	control.state.SetPlan(lower)
	g.Eventually(status(long, 10), 5*time.Second).Should(gomega.Equal(http.StatusRequestHeaderFieldsTooLarge))
	g.Expect(status(configured/2, configured/2)()).To(gomega.Equal(http.StatusOK), "the settings still allow it")
	bodies := testPlan()
	bodies.Version, bodies.Limits = 4, plan.Limits{BodyBytes: raised}
	control.state.SetPlan(bodies)
	g.Eventually(status(1024, long), 5*time.Second).Should(gomega.Equal(http.StatusOK))
	pipelined := "POST /a/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 1\r\n\r\nb" +
		fmt.Sprintf("POST /a/x HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", long)
	raw, _ := b.session(t, pipelined, strings.Repeat("b", long))
	g.Expect(strings.Count(raw, "200 OK")).To(gomega.Equal(2), "the long body is no header: %q", raw)
}
