package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"cardamomspool/core/check"
	"cardamomspool/core/plan"
	"cardamomspool/core/strict"
	"cardamomspool/platform"
)

type (
	// checkOptions holds the flags and arguments of ctl check.
	checkOptions struct {
		file    string
		control string // Front address of a control host; empty for no comparison.
		json    bool
	}

	// checkError says that a check has findings. It has the exit code of its report.
	checkError struct{ code int }
)

// errNotCompared says that the version in force could not be read. Its exit code is that of
// errors, since a script must not send the configuration in either case.
var errNotCompared = errors.New("not compared with the version in force")

// Error returns what kind of findings there are.
func (e checkError) Error() string {
	if e.code == check.ExitErrors {
		return "the configuration has errors"
	}
	return "the configuration has warnings"
}

// ctlCheckCommand returns the check subcommand, which contacts a control host only to
// compare a configuration with the version in force.
func ctlCheckCommand() *command {
	var o checkOptions
	sub := flaggy.NewSubcommand("check")
	sub.Description = "check the configuration of a fleet before it is sent; exits with 0 without findings, 1 with warnings, 2 with errors"
	sub.AddPositionalValue(&o.file, "file", 1, true, "file with the configuration")
	sub.String(&o.control, "a", "control", "front address of a control host, to compare with the version in force")
	sub.Bool(&o.json, "j", "json", "print JSON")
	return &command{parser: sub, run: func(ctx context.Context, _ *options) error { return runCheck(ctx, os.Stdout, &o) }}
}

// runCheck checks a configuration and writes the report to w. It returns an error that wraps
// errNotCompared if the version in force could not be read, or else a checkError if there are
// findings.
func runCheck(ctx context.Context, w io.Writer, o *checkOptions) error {
	body, err := os.ReadFile(o.file)
	if err != nil {
		return errors.Wrap(errUsage, err.Error())
	}
	report, next := checkConfiguration(body)
	var notCompared error
	if o.control != "" {
		if notCompared = compareInForce(ctx, &report, o.control, next); errors.Is(notCompared, errUsage) {
			return notCompared
		}
	}
	if o.json {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(report)
	} else {
		err = report.WriteText(w)
	}
	if err != nil {
		return err
	}
	if notCompared != nil {
		return notCompared
	}
	if code := report.ExitCode(); code != check.ExitClean {
		return checkError{code}
	}
	return nil
}

// checkConfiguration returns the report on a configuration and its plan. One that cannot be
// decoded has one error.
func checkConfiguration(body []byte) (check.Report, *plan.Plan) {
	d, err := platform.DecodeConfiguration(body)
	if faults := strict.Faults(nil); err != nil && !errors.As(err, &faults) {
		return check.Faults(strict.Faults{{Path: "configuration", Problem: err.Error()}}), &d.Plan
	}
	return check.Plan(&d.Plan), &d.Plan
}

// compareInForce adds to the report what differs from the version in force.
func compareInForce(ctx context.Context, report *check.Report, control string, next *plan.Plan) error {
	ctx, cancel := context.WithTimeout(ctx, ctlTimeout)
	defer cancel()
	address, err := netip.ParseAddrPort(control)
	if err != nil {
		return errors.Wrap(errUsage, fmt.Sprintf("--control: %s", err))
	}
	inForce, err := platform.ReadConfiguration(ctx, address)
	if err != nil {
		return errors.Wrap(errNotCompared, err.Error())
	}
	report.Changes = check.Changes(&inForce.Plan, next)
	return nil
}
