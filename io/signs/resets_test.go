package signs

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against resets that fill the arrivals at a control host, or are told twice.
func TestResetsAreToldOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	var resets Resets
	for range 2 * maxUntoldResets {
		resets.AddReset("s", "t")
	}
	g.Expect(resets.TakeResets("other")).To(gomega.BeEmpty())
	g.Expect(resets.TakeResets("s")).To(gomega.HaveLen(maxUntoldResets))
	g.Expect(resets.TakeResets("s")).To(gomega.BeEmpty())
	now := time.Now()
	g.Expect(resets.ResetsWhenFull("s", now)).To(gomega.BeFalse())
	g.Expect(resets.ObserveResets("s", now)).To(gomega.BeTrue())
	g.Expect(resets.ObserveResets("s", now.Add(time.Second))).To(gomega.BeFalse())
	g.Expect(resets.ResetsWhenFull("s", now.Add(toldMemory-time.Second))).To(gomega.BeTrue())
	g.Expect(resets.ResetsWhenFull("s", now.Add(toldMemory))).To(gomega.BeFalse())
}
