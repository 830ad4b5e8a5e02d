package admit_test

import (
	"fmt"
	"time"

	"cardamomspool/core/admit"
)

func ExampleQueue() {
	until := time.Unix(100, 0)
	q := admit.Queue{MaxWeight: 3}
	for _, c := range []admit.QueuedCall{
		{Call: 1, Weight: 1, Until: until, Patient: true},
		{Call: 2, Weight: 2, Until: until},
		{Call: 3, Weight: 1, Until: until},
	} {
		if err := q.Push(c); err != nil {
			fmt.Println("call", c.Call, "is refused:", err)
		}
	}
	for c, ok := q.Pop(); ok; c, ok = q.Pop() {
		fmt.Println("call", c.Call, "is served")
	}
	// Output:
	// call 3 is refused: admit: queue is full
	// call 2 is served
	// call 1 is served
}

func ExampleEstimateWait() {
	// 4 calls ahead, 6 in flight, 8 ms each: Little's law.
	fmt.Println(admit.EstimateWait(4, 6, 8*time.Millisecond).Round(100 * time.Microsecond))
	// Output: 6.7ms
}
