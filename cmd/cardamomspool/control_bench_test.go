package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"
)

// counters holds the counters of a control host, or their sums over all of them.
type counters struct {
	// Bytes counts payload bytes sent to other control hosts.
	Bytes int64 `json:"agreement_bytes_out"`
	// Watch is not read by the benchmarks.
	Watch int64 `json:"watch_bytes_out"`
	Agree struct {
		Syncs int64 `json:"disk_syncs"`
	} `json:"agreement"`
}

const (
	// idleWindow is how long the idle traffic is measured.
	idleWindow = 5 * time.Second
	// killInterval is the time from the restart of one control host to the kill
	// of the next.
	killInterval = 300 * time.Millisecond
)

// sumCounters returns the sums of the counters of all control hosts that answer. It
// leaves Watch at 0.
func (c *controlCluster) sumCounters() counters {
	var total counters
	for i := range c.hosts {
		var host counters
		resp, err := http.Get(c.url(i, "/debug/vars"))
		if err != nil {
			continue
		}
		if json.NewDecoder(resp.Body).Decode(&host) == nil {
			total.Bytes += host.Bytes
			total.Agree.Syncs += host.Agree.Syncs
		}
		resp.Body.Close()
	}
	return total
}

// reportLatencies sorts list and reports its median, 99th percentile and maximum.
func reportLatencies(b *testing.B, list []time.Duration) {
	slices.Sort(list)
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	b.ReportMetric(ms(list[len(list)/2]), "p50-ms")
	b.ReportMetric(ms(list[len(list)*99/100]), "p99-ms")
	b.ReportMetric(ms(list[len(list)-1]), "max-ms")
}

// BenchmarkControlChange changes services in turn through one of three control
// hosts. It reports the latency of a change, the payload bytes that control hosts
// send each other and their disk syncs per change, and the payload bytes that an idle
// host sends per second.
func BenchmarkControlChange(b *testing.B) {
	for _, services := range []int{4, 16, 61} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			c := startControls(b, 3)
			c.start(0, 1, 2)
			c.awaitVoting(0, 1, 2)
			for i := range services {
				c.putUntilAnswered(0, fmt.Sprintf("s-%d", i), 0, "first", 1)
			}
			time.Sleep(2 * time.Second)
			idleStart := c.sumCounters()
			time.Sleep(idleWindow)
			before := c.sumCounters()
			idle := float64(before.Bytes-idleStart.Bytes) / idleWindow.Seconds()
			begin := time.Now()
			list := make([]time.Duration, 0, b.N)
			b.ResetTimer()
			for n := range b.N {
				at := time.Now()
				c.putUntilAnswered(0, fmt.Sprintf("s-%d", n%services), uint64(1+n/services), fmt.Sprintf("change-%d", n), 1+n%1000)
				list = append(list, time.Since(at))
			}
			b.StopTimer()
			took := time.Since(begin).Seconds()
			time.Sleep(200 * time.Millisecond) // Lets late answers and the status arrive.
			after := c.sumCounters()
			reportLatencies(b, list)
			b.ReportMetric((float64(after.Bytes-before.Bytes)-idle*took)/float64(b.N), "bytes/change")
			b.ReportMetric(float64(after.Agree.Syncs-before.Agree.Syncs)/float64(b.N), "syncs/change")
			b.ReportMetric(idle/float64(len(c.hosts)), "idle-bytes/s/host")
		})
	}
}

// BenchmarkControlChangeWithKills measures changes, which are resent until
// confirmed, while one control host after another is down for 300 ms.
func BenchmarkControlChangeWithKills(b *testing.B) {
	c := startControls(b, 3)
	c.start(0, 1, 2)
	c.awaitVoting(0, 1, 2)
	stop, stopped := make(chan struct{}), make(chan int)
	go func() {
		for kills := 0; ; kills++ {
			select {
			case <-stop:
				stopped <- kills
				return
			case <-time.After(killInterval):
			}
			c.kill(kills % 3)
			time.Sleep(300 * time.Millisecond)
			c.start(kills % 3)
		}
	}()
	list := make([]time.Duration, 0, b.N)
	b.ResetTimer()
	for n := range b.N {
		at := time.Now()
		c.putUntilAnswered(n, "x", uint64(n), fmt.Sprintf("change-%d", n), 1+n%1000)
		list = append(list, time.Since(at))
	}
	b.StopTimer()
	close(stop)
	b.ReportMetric(float64(<-stopped), "kills")
	reportLatencies(b, list)
}
