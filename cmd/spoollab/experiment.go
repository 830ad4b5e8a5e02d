package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"cardamomspool/core/spec"
	"cardamomspool/io/exper"
)

// experimentOptions are the flags of the experiment subcommand.
type experimentOptions struct {
	cfg       exper.Config
	scenarios string // Names separated by commas, or "all".
	policies  string // Names separated by commas.
	output    string // Path of the file for results; empty for none.
}

func experimentCommand() *command {
	o := &experimentOptions{policies: strings.Join(spec.Policies, ","), scenarios: "all", cfg: exper.Config{
		Controls: 3, Entries: 14, Targets: 10, Slots: 3, Queue: 1, MeanServiceTime: 16 * time.Millisecond,
		RunTime: 5 * time.Second, Rounds: 3, DecisionLogOneIn: 100,
	}}
	sub := flaggy.NewSubcommand("experiment")
	sub.Description = "compare routing policies on real processes and print a table"
	sub.String(&o.cfg.Binary, "b", "binary", "path of the cardamomspool binary; by default the one in spoollab's folder")
	sub.String(&o.scenarios, "s", "scenarios", "scenarios, separated by commas")
	sub.String(&o.policies, "p", "policies", "policies, separated by commas")
	sub.String(&o.output, "o", "output", "file to append each result to, as a JSON line")
	sub.Int(&o.cfg.Entries, "", "entries", "number of entry hosts")
	sub.Int(&o.cfg.Controls, "", "controls", "number of control hosts")
	sub.Int(&o.cfg.Targets, "", "targets", "number of targets")
	sub.Int(&o.cfg.Slots, "", "slots", "slots of each target")
	sub.Int(&o.cfg.Queue, "", "queue", "number of calls that a target queues beyond its slots")
	sub.Duration(&o.cfg.MeanServiceTime, "", "mean", "mean service time")
	sub.Duration(&o.cfg.RunTime, "", "span", "measured time per policy and seed")
	sub.Int(&o.cfg.Rounds, "", "seeds", "number of seeds")
	sub.Int(&o.cfg.DecisionLogOneIn, "", "log-one-in", "decision_log_one_in of the entry hosts")
	flaggy.AttachSubcommand(sub, 1)
	return &command{parser: sub, run: func(ctx context.Context) error { return runExperiment(ctx, o) }}
}

// runExperiment measures all given scenarios and prints a table of the results.
func runExperiment(ctx context.Context, o *experimentOptions) error {
	var (
		out  *os.File
		rows []exper.Row
		err  error
	)
	if o.cfg.LabBinary, err = os.Executable(); err != nil {
		return errors.Wrap(err, "experiment")
	}
	if o.cfg.Binary == "" {
		o.cfg.Binary = filepath.Join(filepath.Dir(o.cfg.LabBinary), "cardamomspool")
	}
	o.cfg.Policies = strings.Split(o.policies, ",")
	if o.output != "" {
		if out, err = os.OpenFile(o.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
			return errors.Wrap(err, "--output")
		}
		defer out.Close()
	}
	var scenarios []exper.Scenario
	if scenarios, err = parseScenarios(o.scenarios); err != nil {
		return err
	}
	for _, s := range scenarios {
		err = exper.Run(ctx, o.cfg, s, func(r exper.Row) {
			rows = append(rows, r)
			writeRow(out, r)
		})
		if err != nil {
			return err
		}
	}
	exper.WriteTable(os.Stdout, rows)
	return nil
}

// parseScenarios returns the scenarios of a comma-separated list, or all of them
// for "all".
func parseScenarios(names string) ([]exper.Scenario, error) {
	if names == "all" {
		return exper.Scenarios, nil
	}
	var list []exper.Scenario
	for name := range strings.SplitSeq(names, ",") {
		s, ok := exper.ScenarioByName(name)
		if !ok {
			return nil, errors.Errorf("--scenarios: unknown scenario %q", name)
		}
		list = append(list, s)
	}
	return list, nil
}

// writeRow appends a result to out, unless that is nil, and prints it to standard
// error.
func writeRow(out *os.File, r exper.Row) {
	line, err := json.Marshal(r)
	if err == nil && out != nil {
		_, err = fmt.Fprintf(out, "%s\n", line)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "result not written:", err)
	}
	fmt.Fprintf(os.Stderr, "%s\n", line)
}
