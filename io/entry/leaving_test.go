package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// leavingDelay is the time after which a host that has passed on an answer of a leaving
// target must send it nothing.
const leavingDelay = 2 * time.Second

// Guards against requests to a target that has said on an answer that it leaves.
func TestAnswerOfALeavingTargetBindsTheHostThatPassedItOn(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	asking := newAskingTarget(t, 0, true)
	statuses := callWhileDecidersChange(t, asking, 5*time.Second)
	g.Expect(asking.requests).NotTo(gomega.BeEmpty())
	g.Expect(asking.after(leavingDelay)).To(gomega.BeZero())
	g.Expect(statuses[http.StatusOK]).To(gomega.BeNumerically(">", 100), "answers by status %v", statuses)
}
