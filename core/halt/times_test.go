package halt_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/halt"
)

// Guards against estimates from too few calls, of other kinds of calls, or that leave out the
// time of the body.
func TestExpectedTimeOfCalls(t *testing.T) {
	g := gomega.NewWithT(t)
	var times halt.Times
	_, ok := times.Expect(halt.Call{})
	g.Expect(ok).To(gomega.BeFalse())
	for i := range 60 {
		work := time.Second
		if i%10 == 0 {
			work = 4 * time.Second
		}
		times.Observe(false, work+time.Second, work)
		times.Observe(true, work+time.Second, work)
	}
	for call, want := range map[halt.Call]time.Duration{
		{}:                                 5 * time.Second,
		{BodyRead: true}:                   4 * time.Second,
		{Idempotent: true}:                 2 * time.Second,
		{Idempotent: true, BodyRead: true}: time.Second,
	} {
		expected, ok := times.Expect(call)
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(expected.Seconds()).To(gomega.Equal(want.Seconds()), "%+v", call)
	}
}
