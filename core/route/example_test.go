package route_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"cardamomspool/core/member"
	"cardamomspool/core/route"
)

func ExampleTable_Choose() {
	now := time.Unix(0, 0)
	address := netip.MustParseAddrPort("127.0.0.1:9000")
	var table route.Table
	table.Update([]member.Record{
		{Key: member.Key{Service: "bookings", Target: "bench-1"}, Address: address, State: member.Ready, Slots: 3},
		{Key: member.Key{Service: "bookings", Target: "bench-2"}, Address: address, State: member.Ready, Slots: 3},
	}, 0, now)
	table.Begin("bench-1", now)
	pick, ok := table.Choose(route.HotCold{}, route.Query{Slots: 3, Now: now}, rand.New(rand.NewPCG(1, 1)))
	fmt.Println(pick.Name, pick.Candidates, ok)
	// Output: bench-2 2 true
}
