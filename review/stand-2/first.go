package main

import (
	"time"
)

const (
	// firstKill is when the first seed is lost, before the other machines start. All start
	// within 0.3 s.
	firstKill  = 150 * time.Millisecond
	firstOther = 250 * time.Millisecond
	// firstReplaced is the time from the loss to the start of the empty machine that replaces it.
	firstReplaced = time.Second
	firstWatch    = 45 * time.Second
	firstRead     = 4 * time.Second
	// contact is the time for which the operator reads at the end of a day.
	contact = 3 * time.Second
)

// firstStart starts four control hosts, three of them seeds, for the first time. The seed that
// starts first is lost for good before the others start, and an empty machine at another address
// replaces it. The operator then sends the first configuration until it is acknowledged, and reads
// it at the end.
func firstStart(b *bench) (bool, error) {
	b.seeds = []string{b.controlAddress(1), b.controlAddress(2), b.controlAddress(3)}
	if err := b.startControl(1, true); err != nil {
		return false, err
	}
	time.Sleep(firstKill)
	if b.trouble {
		if err := b.kill("core-1"); err != nil {
			return false, err
		}
	}
	time.Sleep(firstOther - firstKill)
	for i := 2; i <= 4; i++ {
		if err := b.startControl(i, true); err != nil {
			return false, err
		}
	}
	if err := b.startEntry(1, true); err != nil {
		return false, err
	}
	controls := []int{1, 2, 3, 4}
	if b.trouble {
		time.Sleep(firstReplaced - firstOther + firstKill)
		b.seeds = []string{b.controlAddress(2), b.controlAddress(3), b.controlAddress(4)}
		if err := b.startControl(5, false); err != nil {
			return false, err
		}
		controls = []int{2, 3, 4, 5}
	}
	routes := []route{{name: "first", host: strayHost, prefix: "/first/", kind: "safe", service: "svc-first", timeout: strayDeadline, attempts: 2}}
	acknowledged := b.put(1, configuration(1, routes, []string{"svc-first"}, nil), firstWatch, controls...) == nil
	b.record("operator", "first configuration acknowledged: %t", acknowledged)
	for end := time.Now().Add(contact); time.Now().Before(end); {
		for _, i := range controls {
			if b.get(i, firstRead) == 1 {
				return false, nil
			}
		}
		time.Sleep(orderPause)
	}
	return true, nil
}
