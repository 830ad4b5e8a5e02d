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
	sub.Description = "measure what control costs each process, without calls and changes"
	sub.String(&binary, "b", "binary", "path of the cardamomspool binary")
	sub.Duration(&window, "w", "window", "time over which each size is observed")
	flaggy.AttachSubcommand(sub, 1)
	return &command{parser: sub, run: func(ctx context.Context) error {
		_, err := slope.New(binary, slope.WithWindow(window)).Control(ctx)
		return err
	}}
}

func churnCommand() *command {
	binary := "./cardamomspool"
	sub := flaggy.NewSubcommand("churn")
	sub.Description = "measure what restarts of targets cost each entry host"
	sub.String(&binary, "b", "binary", "path of the cardamomspool binary")
	flaggy.AttachSubcommand(sub, 1)
	return &command{parser: sub, run: func(ctx context.Context) error {
		_, err := slope.New(binary).Churn(ctx)
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
		return printTimes(slope.New(binary).Force(ctx, changes, kills))
	}}
}

func leavingCommand() *command {
	binary, trials := "./cardamomspool", 56
	sub := flaggy.NewSubcommand("leaving")
	sub.Description = "kill the entry host that hears a target leave; measure when all others know"
	sub.String(&binary, "b", "binary", "path of the cardamomspool binary")
	sub.Int(&trials, "n", "trials", "number of trials")
	flaggy.AttachSubcommand(sub, 1)
	return &command{parser: sub, run: func(ctx context.Context) error {
		return printTimes(slope.New(binary).Leaving(ctx, trials))
	}}
}

func printTimes(t slope.Times, err error) error {
	fmt.Printf("%d trials: p50 %.1f ms, p99 %.1f ms, most %.1f ms\n", t.Count, t.P50, t.P99, t.Most)
	return err
}
