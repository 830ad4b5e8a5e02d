package granted

import (
	"context"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// meter adds up granted time. It is safe for concurrent use.
	meter struct {
		// read returns the times of all threads, by their IDs.
		read func() map[string]usage

		mu        sync.Mutex
		threads   map[string]usage // At the last sample.
		at        time.Time        // Of the last sample.
		begin     time.Time        // Of the present window; zero before the first sample.
		window    usage            // Of all threads, in the present window.
		committed time.Duration    // Granted before the present window.
	}

	// usage is the time for which a thread has run and that for which it has waited for a
	// processor.
	usage struct {
		run, wait time.Duration
	}
)

const (
	// samplePeriod is the time between two samples. A thread that ends between them takes
	// its last waits with it.
	samplePeriod = 20 * time.Millisecond
	// windowLength is the time over which waits are added up. The kernel counts a wait when
	// it ends, so that it must be short in relation to this.
	windowLength = 500 * time.Millisecond
)

// process measures this process, from the first use on.
var process = sync.OnceValue(func() *meter {
	m := &meter{read: readThreads}
	m.sample(time.Now())
	go func() {
		for now := range time.Tick(samplePeriod) {
			m.sample(now)
		}
	}()
	return m
})

// Now returns the granted time since the first use of the package, up to the last sample
// some 20 ms ago. A wait that ends makes it go back by a part of the last 500 ms.
func Now() time.Duration {
	return process().now()
}

// Sleep waits until d has passed in granted time. It is meant for times of 100 ms and more.
func Sleep(d time.Duration) {
	for end := Now() + d; Now() < end; {
		time.Sleep(max(end-Now(), time.Millisecond))
	}
}

// WithTimeout is context.WithTimeout in granted time. The context then ends with
// context.DeadlineExceeded as its cause, but has no deadline.
func WithTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	end := Now() + d
	go func() {
		for Now() < end {
			select {
			case <-ctx.Done():
				return
			case <-time.After(max(end-Now(), time.Millisecond)):
			}
		}
		cancel(context.DeadlineExceeded)
	}()
	return ctx, func() { cancel(context.Canceled) }
}

// sample adds the granted part of the time since the last sample.
func (m *meter) sample(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	threads := m.read()
	if m.begin.IsZero() {
		m.begin = now
	} else {
		for id, u := range threads {
			old := m.threads[id] // Zero for a new thread.
			m.window.run += u.run - old.run
			m.window.wait += u.wait - old.wait
		}
	}
	m.threads, m.at = threads, now
	if passed := now.Sub(m.begin); passed >= windowLength {
		m.committed += m.window.granted(passed, runtime.GOMAXPROCS(0))
		m.begin, m.window = now, usage{}
	}
}

// now is Now for a meter.
func (m *meter) now() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.committed + m.window.granted(m.at.Sub(m.begin), runtime.GOMAXPROCS(0))
}

// granted returns how much of the time passed was granted to threads that have run and
// waited as u says, and may use the given number of processors. If they waited one after
// another, it is the rest. If several waited at once, it is at least the part that they ran of
// the time for which they were ready. Threads that use all processors wait for each other,
// so that it is at least the time that they ran on each.
func (u usage) granted(passed time.Duration, processors int) time.Duration {
	if u.wait <= 0 {
		return passed
	}
	part := float64(u.run) / float64(u.run+u.wait)
	used := min(u.run/time.Duration(processors), passed)
	return max(passed-u.wait, time.Duration(float64(passed)*part), used)
}

// readThreads returns the times of the threads of this process, by their IDs. It omits those
// that end meanwhile, and returns none where the kernel does not count them.
func readThreads() map[string]usage {
	paths, err := filepath.Glob("/proc/self/task/*/schedstat")
	if err != nil {
		return nil
	}
	threads := make(map[string]usage, len(paths))
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		if u, ok := parse(string(content)); ok {
			threads[filepath.Base(filepath.Dir(path))] = u
		}
	}
	return threads
}

// parse reads the content of a file schedstat: nanoseconds run and waited, and a count.
func parse(content string) (usage, bool) {
	fields := strings.Fields(content)
	if len(fields) < 2 {
		return usage{}, false
	}
	run, runErr := strconv.ParseInt(fields[0], 10, 64)
	wait, waitErr := strconv.ParseInt(fields[1], 10, 64)
	return usage{run: time.Duration(run), wait: time.Duration(wait)}, runErr == nil && waitErr == nil
}
