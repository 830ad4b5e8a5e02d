package exper

import (
	"strconv"
	"time"

	"cardamomspool/io/load"
	"cardamomspool/io/stub"
)

type (
	// Scenario is one way in which targets misbehave or load shifts.
	Scenario struct {
		// Name identifies the scenario.
		Name string
		// Utilisation is the mean rate of calls over the rate at which all
		// targets can serve them, outside surges.
		Utilisation float64
		// Surge raises the rate at times.
		Surge load.Surge
		// Behaviour is what the target with the given index does wrong.
		Behaviour func(target int) stub.Behaviour
		// Restart says that the first target is stopped and started again in
		// the middle of each run.
		Restart bool
	}
)

const (
	noisyFactor = 4
	noisySpan   = 200 * time.Millisecond
	noisyEvery  = 2500 * time.Millisecond
	reportLag   = 200 * time.Millisecond
	busy        = 0.75
)

// Scenarios lists all scenarios.
var Scenarios = []Scenario{
	{Name: "steady", Utilisation: busy, Behaviour: healthy},
	{Name: "noisy_neighbour", Utilisation: busy, Behaviour: noisy},
	{
		Name: "surge_from_idle", Utilisation: 0.05, Behaviour: healthy,
		Surge: load.Surge{Factor: 22, Duration: 100 * time.Millisecond, Period: 500 * time.Millisecond},
	},
	{Name: "straggler", Utilisation: 0.6, Behaviour: first(stub.Behaviour{Slower: 10})},
	{Name: "fail_fast", Utilisation: 0.6, Behaviour: first(stub.Behaviour{FailFast: true})},
	{Name: "drain", Utilisation: 0.6, Behaviour: healthy, Restart: true},
	{
		Name: "cold_start", Utilisation: 0.6, Restart: true,
		Behaviour: first(stub.Behaviour{ColdFactor: 10, ColdSpan: time.Second}),
	},
	{Name: "late_reports", Utilisation: busy, Behaviour: lateReports},
	{Name: "false_reports", Utilisation: busy, Behaviour: falseReports},
}

// ScenarioByName returns the scenario called name.
func ScenarioByName(name string) (Scenario, bool) {
	for _, s := range Scenarios {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

func healthy(int) stub.Behaviour {
	return stub.Behaviour{}
}

func noisy(int) stub.Behaviour {
	return stub.Behaviour{NeighbourFactor: noisyFactor, NeighbourSpan: noisySpan, NeighbourEvery: noisyEvery}
}

func first(b stub.Behaviour) func(int) stub.Behaviour {
	return func(target int) stub.Behaviour {
		if target == 0 {
			return b
		}
		return stub.Behaviour{}
	}
}

func lateReports(target int) stub.Behaviour {
	b := noisy(target)
	b.Report, b.ReportLag = stub.ReportLate, reportLag
	return b
}

// falseReports lets three targets claim to be full, three to be idle.
func falseReports(target int) stub.Behaviour {
	b := noisy(target)
	switch {
	case target < 3:
		b.Report = stub.ReportFull
	case target < 6:
		b.Report = stub.ReportIdle
	}
	return b
}

// arguments returns b as flags of the target subcommand.
func arguments(b stub.Behaviour) []string {
	return []string{
		"--neighbour-factor", number(b.NeighbourFactor), "--neighbour-span", b.NeighbourSpan.String(),
		"--neighbour-every", b.NeighbourEvery.String(), "--slower", number(b.Slower),
		"--fail-fast=" + strconv.FormatBool(b.FailFast), "--cold-factor", number(b.ColdFactor),
		"--cold-span", b.ColdSpan.String(), "--report", stub.ReportNames[b.Report], "--report-lag", b.ReportLag.String(),
	}
}

func number(f float64) string {
	return strconv.FormatFloat(f, 'g', -1, 64)
}
