package main

import (
	"context"
	"fmt"
	"time"

	"github.com/integrii/flaggy"

	"cardamomspool/io/slope"
)

func controlCommand() *command {
	binary, window := "./cardamomspool", 20*time.Second
	sub := flaggy.NewSubcommand("control")
	sub.Description = "measure the cost of the control plane in each process, without calls or changes"
	sub.String(&binary, "b", "binary", "path of the cardamomspool binary")
	sub.Duration(&window, "w", "window", "time to measure each size")
	flaggy.AttachSubcommand(sub, 1)
	return &command{parser: sub, run: func(ctx context.Context) error {
		_, err := slope.New(binary, slope.WithWindow(window)).ControlCost(ctx)
		return err
	}}
}

func churnCommand() *command {
	binary := "./cardamomspool"
	sub := flaggy.NewSubcommand("churn")
	sub.Description = "measure the cost of target restarts in each entry host"
	sub.String(&binary, "b", "binary", "path of the cardamomspool binary")
	flaggy.AttachSubcommand(sub, 1)
	return &command{parser: sub, run: func(ctx context.Context) error {
		_, err := slope.New(binary).RestartCost(ctx)
		return err
	}}
}

func forceCommand() *command {
	binary, changes, kills := "./cardamomspool", 500, false
	sub := flaggy.NewSubcommand("force")
	sub.Description = "measure the time until a change is in force on 14 entry hosts"
	sub.String(&binary, "b", "binary", "path of the cardamomspool binary")
	sub.Int(&changes, "n", "changes", "number of changes")
	sub.Bool(&kills, "k", "kills", "kill one control host every 50 changes, for 25 changes")
	flaggy.AttachSubcommand(sub, 1)
	return &command{parser: sub, run: func(ctx context.Context) error {
		return printTimes(slope.New(binary).ChangeTimes(ctx, changes, kills))
	}}
}

func leavingCommand() *command {
	binary, trials := "./cardamomspool", 56
	sub := flaggy.NewSubcommand("leaving")
	sub.Description = "kill the entry host that receives a target's departure; measure when all other entry hosts have learnt of it"
	sub.String(&binary, "b", "binary", "path of the cardamomspool binary")
	sub.Int(&trials, "n", "trials", "number of trials")
	flaggy.AttachSubcommand(sub, 1)
	return &command{parser: sub, run: func(ctx context.Context) error {
		return printTimes(slope.New(binary).LeavingTimes(ctx, trials))
	}}
}

// printTimes prints the percentiles of the trials that were measured, even if a later
// trial failed, and returns err.
func printTimes(times slope.Quantiles, err error) error {
	fmt.Printf("%d trials: p50 %.1f ms, p99 %.1f ms, max %.1f ms\n", times.Count, times.P50, times.P99, times.Max)
	return err
}
