// Package sample holds large inputs for the tests of several packages.
package sample

import (
	"fmt"
	"time"

	"cardamomspool/core/plan"
	"cardamomspool/core/strict"
)

// Plan returns a plan of the given version with n routes, whose names and paths differ
// as much as those that operators choose.
func Plan(version uint64, n int) *plan.Plan {
	p := &plan.Plan{Version: version, Services: []plan.Service{{Name: "bookings", HealthPath: "/health", Connections: 240}}}
	for i := range n {
		mark := uint32(i+1) * 2654435761 // Spreads the digits of consecutive numbers.
		p.Routes = append(p.Routes, plan.Route{
			Name: fmt.Sprintf("r-%07x", mark>>4), Host: "shop.example", PathPrefix: fmt.Sprintf("/%08x/%d/", mark, i%97), Rank: i % 3,
			Timeout: strict.Duration(1200 * time.Millisecond), Aim: strict.Duration(500 * time.Millisecond), Attempts: 2,
			Parts: []plan.Part{{Service: "bookings", Weight: 1}},
		})
	}
	return p
}
