package member_test

import (
	"fmt"
	"net/netip"

	"cardamomspool/core/member"
)

func ExampleRecord_Join() {
	ready := member.Record{
		Key:     member.Key{Service: "bookings", Target: "bench-7"},
		Address: netip.MustParseAddrPort("127.0.0.1:9000"), State: member.Ready, Incarnation: 1,
	}
	leaving, restarted := ready, ready
	leaving.State = member.Leaving
	restarted.State, restarted.Incarnation = member.Cold, 2

	// Entry hosts may receive the changes in any order.
	fmt.Println(ready.Join(leaving).State, leaving.Join(ready).State)
	fmt.Println(restarted.Join(leaving).State, leaving.Join(restarted).State)
	// Output:
	// leaving leaving
	// cold cold
}
