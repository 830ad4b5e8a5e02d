package granted

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const second = time.Second

// Guards against limits that a slow program does not exceed, as its own work counts as
// time that the machine has taken.
func TestOnlyWaitsForProcessorsAreTakenOff(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, row := range []struct {
		name            string
		run, wait, want time.Duration
		processors      int
	}{
		{"idle", 0, 0, second, 4},
		{"busy", second, 0, second, 4},
		{"busy on all processors", 4 * second, 0, second, 4},
		{"one thread waits now and then", second / 10, second / 10, second * 9 / 10, 4},
		{"one thread waits nearly always", second / 10, second * 9 / 10, second / 10, 4},
		{"four threads get half of their time", 2 * second, 2 * second, second / 2, 4},
		{"four threads share the two processors of the process", 2 * second, 2 * second, second, 2},
		{"waits of an earlier time are counted late", second, 9 * second, second / 4, 4},
	} {
		g.Expect(usage{run: row.run, wait: row.wait}.granted(second, row.processors)).To(gomega.BeNumerically("~", row.want, time.Microsecond), row.name)
	}
}

// Guards against threads that end or begin between two samples and count as time run or
// waited before.
func TestThreadsBeginAndEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	var threads map[string]usage
	m := &meter{read: func() map[string]usage { return threads }}
	threads = map[string]usage{"1": {run: 5 * second, wait: 7 * second}, "2": {run: second, wait: 40 * second}}
	m.sample(now)
	g.Expect(m.now()).To(gomega.BeZero())
	threads = map[string]usage{"1": {run: 5*second + second/100, wait: 7*second + second/4}, "3": {wait: second / 4}}
	m.sample(now.Add(second))
	g.Expect(m.now()).To(gomega.Equal(second / 2))
}

// Guards against a wait of which only the part in one sample period is taken off, as it is
// counted when it ends.
func TestWaitIsTakenOffEarlierSamples(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	var waited time.Duration
	m := &meter{read: func() map[string]usage { return map[string]usage{"1": {wait: waited}} }}
	m.sample(now)
	m.sample(now.Add(windowLength * 8 / 10))
	g.Expect(m.now()).To(gomega.Equal(windowLength * 8 / 10))
	waited = windowLength / 2
	m.sample(now.Add(windowLength * 9 / 10))
	g.Expect(m.now()).To(gomega.Equal(windowLength * 4 / 10))
	m.sample(now.Add(windowLength))
	m.sample(now.Add(windowLength * 2))
	g.Expect(m.now()).To(gomega.Equal(windowLength * 3 / 2))
}

func TestParse(t *testing.T) {
	g := gomega.NewWithT(t)
	u, ok := parse("959565 322339 7\n")
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(u).To(gomega.Equal(usage{run: 959565, wait: 322339}))
	for _, content := range []string{"", "1", "a b c"} {
		_, ok = parse(content)
		g.Expect(ok).To(gomega.BeFalse(), content)
	}
}

// Guards against a clock that stands, or that is ahead of real time.
func TestGrantedTimePassesNoFasterThanRealTime(t *testing.T) {
	g := gomega.NewWithT(t)
	begin, from := time.Now(), Now()
	ctx, cancel := WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	<-ctx.Done()
	g.Expect(context.Cause(ctx)).To(gomega.MatchError(context.DeadlineExceeded))
	Sleep(200 * time.Millisecond)
	g.Expect(Now() - from).To(gomega.BeNumerically(">=", 400*time.Millisecond))
	g.Expect(time.Since(begin)).To(gomega.BeNumerically(">=", 400*time.Millisecond-2*samplePeriod))
}
