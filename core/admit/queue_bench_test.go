package admit_test

import (
	"fmt"
	"testing"
	"time"

	"cardamomspool/core/admit"
)

// BenchmarkQueueWithoutAccounts pushes and pops a call of a queue that holds some calls.
func BenchmarkQueueWithoutAccounts(b *testing.B) {
	for _, held := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(held), func(b *testing.B) {
			q := admit.Queue{MaxWeight: 1 << 30}
			until := time.Unix(100, 0)
			next := uint64(0)
			push := func() {
				next++
				if err := q.Push(admit.QueuedCall{Call: next, Weight: 1, Until: until, Rank: int(next % 3)}); err != nil {
					b.Fatal(err)
				}
			}
			for range held {
				push()
			}
			b.ReportAllocs()
			for b.Loop() {
				push()
				q.Pop()
			}
		})
	}
}
