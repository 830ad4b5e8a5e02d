package main

import (
	"context"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"cardamomspool/io/slope"
)

// slopesOptions are the flags of the slopes subcommand.
type slopesOptions struct {
	binary string
	folder string
	window time.Duration
	sweeps string
}

func slopesCommand() *command {
	o := &slopesOptions{binary: "./cardamomspool", folder: "docs/img", window: 10 * time.Second}
	sub := flaggy.NewSubcommand("slopes")
	sub.Description = "measure the cost of processes at several system sizes and fit lines"
	sub.String(&o.binary, "b", "binary", "path of the cardamomspool binary")
	sub.String(&o.folder, "f", "folder", "folder for slopes.json and the plots")
	sub.Duration(&o.window, "w", "window", "time to measure each size")
	sub.String(&o.sweeps, "s", "sweeps", "sweeps to run, separated by commas: targets, services, entries, changes, calls (default: all)")
	flaggy.AttachSubcommand(sub, 1)
	return &command{parser: sub, run: func(ctx context.Context) error { return runSlopes(ctx, o) }}
}

// runSlopes takes the measurements and writes the report and its plots to the folder.
func runSlopes(ctx context.Context, o *slopesOptions) error {
	opts := []slope.Option{slope.WithWindow(o.window)}
	if o.sweeps != "" {
		opts = append(opts, slope.WithSweeps(strings.Split(o.sweeps, ",")...))
	}
	report, err := slope.New(o.binary, opts...).Run(ctx)
	if err != nil {
		return err
	}
	return report.Write(o.folder)
}
