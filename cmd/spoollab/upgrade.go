package main

import (
	"context"
	"os"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"cardamomspool/io/soak"
)

func upgradeCommand() *command {
	var from, to, folder string
	pause := soak.DefaultUpgradePause
	sub := flaggy.NewSubcommand("upgrade")
	sub.Description = "replace the hosts of a small fleet one by one, and back, under load and check every call"
	sub.String(&from, "", "from", "path of the cardamomspool binary that the fleet starts with")
	sub.String(&to, "", "to", "path of the binary that replaces it")
	sub.Duration(&pause, "p", "pause", "time between the replacements of two hosts")
	sub.String(&folder, "f", "folder", "folder for settings and logs; a temporary one by default")
	flaggy.AttachSubcommand(sub, 1)
	return &command{parser: sub, run: func(ctx context.Context) error {
		if from == "" || to == "" {
			return errors.New("--from and --to must name a binary each")
		}
		var (
			report soak.Report
			err    error
		)
		if folder, err = makeFolder(folder); err != nil {
			return err
		}
		report, err = soak.NewUpgrade(from, to, folder, soak.WithProgress(os.Stderr), soak.WithUpgradePause(pause)).Run(ctx)
		printReport(report, true)
		return err
	}}
}
