package telem

import (
	"encoding/json"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a deadlock of a host: a request for metrics waits for a lock, whose holder
// waits to add a metric, and then every call that uses a metric for the first time waits too.
func TestMetricsAreAddedWhileValuesAreRead(t *testing.T) {
	g := gomega.NewWithT(t)
	var mu sync.Mutex
	r, reading := NewRegistry(), make(chan struct{})
	r.Func("state", func() any {
		close(reading)
		mu.Lock()
		defer mu.Unlock()
		return 7
	})
	mu.Lock()
	answer, done := httptest.NewRecorder(), make(chan struct{})
	go func() {
		defer close(done)
		r.ServeHTTP(answer, nil)
	}()
	<-reading
	added := make(chan struct{})
	go func() {
		defer close(added)
		r.Counter("new").Add(1)
		mu.Unlock()
	}()
	g.Eventually(added, 20*time.Second).Should(gomega.BeClosed())
	g.Eventually(done, 20*time.Second).Should(gomega.BeClosed())
	var values struct{ State int }
	g.Expect(json.Unmarshal(answer.Body.Bytes(), &values)).To(gomega.Succeed())
	g.Expect(values.State).To(gomega.Equal(7))
}
