package exper

import (
	"strconv"
	"time"

	"cardamomspool/io/load"
	"cardamomspool/io/stub"
)

type (
	// Scenario is a load pattern together with the misbehaviour of targets.
	Scenario struct {
		// Name identifies the scenario.
		Name string
		// Utilisation is the mean rate of calls outside surges, divided by the
		// rate at which all targets together can serve calls.
		Utilisation float64
		// Surge raises the rate periodically.
		Surge load.Surge
		// Behaviour returns the behaviour of the target with the given index.
		Behaviour func(target int) stub.Behaviour
		// RestartFirstTarget makes the first target stop and start again in the
		// middle of each run.
		RestartFirstTarget bool
	}
)

const (
	noisyFactor     = 4
	noisyDuration   = 200 * time.Millisecond
	noisyInterval   = 2500 * time.Millisecond
	reportLag       = 200 * time.Millisecond
	highUtilisation = 0.75
)

// Scenarios lists all scenarios.
var Scenarios = []Scenario{
	{Name: "steady", Utilisation: highUtilisation, Behaviour: healthy},
	{Name: "noisy_neighbour", Utilisation: highUtilisation, Behaviour: noisy},
	{
		Name: "surge_from_idle", Utilisation: 0.05, Behaviour: healthy,
		Surge: load.Surge{Factor: 22, Duration: 100 * time.Millisecond, Period: 500 * time.Millisecond},
	},
	{Name: "straggler", Utilisation: 0.6, Behaviour: onlyFirst(stub.Behaviour{SlowFactor: 10})},
	{Name: "fail_fast", Utilisation: 0.6, Behaviour: onlyFirst(stub.Behaviour{FailFast: true})},
	{Name: "drain", Utilisation: 0.6, Behaviour: healthy, RestartFirstTarget: true},
	{
		Name: "cold_start", Utilisation: 0.6, RestartFirstTarget: true,
		Behaviour: onlyFirst(stub.Behaviour{ColdFactor: 10, ColdDuration: time.Second}),
	},
	{Name: "late_reports", Utilisation: highUtilisation, Behaviour: lateReports},
	{Name: "false_reports", Utilisation: highUtilisation, Behaviour: falseReports},
}

// ScenarioByName returns the scenario called name, and false if there is none.
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

// noisy gives every target a noisy neighbour.
func noisy(int) stub.Behaviour {
	return stub.Behaviour{NeighbourFactor: noisyFactor, NeighbourDuration: noisyDuration, NeighbourInterval: noisyInterval}
}

// onlyFirst returns behaviour b for the first target and healthy behaviour for others.
func onlyFirst(b stub.Behaviour) func(int) stub.Behaviour {
	return func(target int) stub.Behaviour {
		if target == 0 {
			return b
		}
		return stub.Behaviour{}
	}
}

// lateReports gives every target a noisy neighbour and load reports that are too old.
func lateReports(target int) stub.Behaviour {
	b := noisy(target)
	b.Report, b.ReportLag = stub.ReportLate, reportLag
	return b
}

// falseReports gives every target a noisy neighbour. The first three targets always
// report that they are full, and the next three that they are idle.
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

// targetFlags returns b as flags of the target subcommand.
func targetFlags(b stub.Behaviour) []string {
	return []string{
		"--neighbour-factor", formatFloat(b.NeighbourFactor), "--neighbour-span", b.NeighbourDuration.String(),
		"--neighbour-every", b.NeighbourInterval.String(), "--slower", formatFloat(b.SlowFactor),
		"--fail-fast=" + strconv.FormatBool(b.FailFast), "--cold-factor", formatFloat(b.ColdFactor),
		"--cold-span", b.ColdDuration.String(), "--report", stub.ReportModeNames[b.Report], "--report-lag", b.ReportLag.String(),
	}
}

// formatFloat formats f as the shortest text that is read back as f.
func formatFloat(f float64) string {
	return strconv.FormatFloat(f, 'g', -1, 64)
}
