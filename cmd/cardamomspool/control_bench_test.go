package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"
)

// counts are the counters of all control hosts together.
type counts struct {
	Bytes int64 `json:"agreement_bytes_out"`
	Watch int64 `json:"watch_bytes_out"`
	Agree struct {
		Syncs int64 `json:"disk_syncs"`
	} `json:"agreement"`
}

const (
	idleSpan   = 5 * time.Second
	killPeriod = 300 * time.Millisecond
)

func (c *controls) counts() counts {
	var sum counts
	for i := range c.hosts {
		var one counts
		resp, err := http.Get(c.url(i, "/debug/vars"))
		if err != nil {
			continue
		}
		if json.NewDecoder(resp.Body).Decode(&one) == nil {
			sum.Bytes += one.Bytes
			sum.Agree.Syncs += one.Agree.Syncs
		}
		resp.Body.Close()
	}
	return sum
}

func reportLatencies(b *testing.B, list []time.Duration) {
	slices.Sort(list)
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	b.ReportMetric(ms(list[len(list)/2]), "p50-ms")
	b.ReportMetric(ms(list[len(list)*99/100]), "p99-ms")
	b.ReportMetric(ms(list[len(list)-1]), "max-ms")
}

// BenchmarkControlChange changes services in turn through one control host of
// three, and reports latency, payload bytes between control hosts and syncs of
// all of them per change, and payload bytes a second of a host when idle.
func BenchmarkControlChange(b *testing.B) {
	for _, services := range []int{4, 16, 61} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			c := startControls(b, 3)
			c.start(0, 1, 2)
			c.voting(0, 1, 2)
			for i := range services {
				c.insist(0, fmt.Sprintf("s-%d", i), 0, "first", 1)
			}
			time.Sleep(2 * time.Second)
			resting := c.counts()
			time.Sleep(idleSpan)
			before := c.counts()
			idle := float64(before.Bytes-resting.Bytes) / idleSpan.Seconds()
			begin := time.Now()
			list := make([]time.Duration, 0, b.N)
			b.ResetTimer()
			for n := range b.N {
				at := time.Now()
				c.insist(0, fmt.Sprintf("s-%d", n%services), uint64(1+n/services), fmt.Sprintf("change-%d", n), 1+n%1000)
				list = append(list, time.Since(at))
			}
			b.StopTimer()
			took := time.Since(begin).Seconds()
			time.Sleep(200 * time.Millisecond) // Late answers and the status.
			after := c.counts()
			reportLatencies(b, list)
			b.ReportMetric((float64(after.Bytes-before.Bytes)-idle*took)/float64(b.N), "bytes/change")
			b.ReportMetric(float64(after.Agree.Syncs-before.Agree.Syncs)/float64(b.N), "syncs/change")
			b.ReportMetric(idle/float64(len(c.hosts)), "idle-bytes/s/host")
		})
	}
}

// BenchmarkControlChangeWithKills kills one control host after another, each
// for 300 ms, while changes are sent and resent until they are confirmed.
func BenchmarkControlChangeWithKills(b *testing.B) {
	c := startControls(b, 3)
	c.start(0, 1, 2)
	c.voting(0, 1, 2)
	stop, stopped := make(chan struct{}), make(chan int)
	go func() {
		for kills := 0; ; kills++ {
			select {
			case <-stop:
				stopped <- kills
				return
			case <-time.After(killPeriod):
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
		c.insist(n, "x", uint64(n), fmt.Sprintf("change-%d", n), 1+n%1000)
		list = append(list, time.Since(at))
	}
	b.StopTimer()
	close(stop)
	b.ReportMetric(float64(<-stopped), "kills")
	reportLatencies(b, list)
}
