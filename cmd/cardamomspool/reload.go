package main

import (
	"context"
	"log/slog"
	"net/netip"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"cardamomspool/io/setup"
)

// settingsPollInterval is the time between two reads of the settings file. The file
// is read also without a SIGHUP, since whoever changes it may send none.
const settingsPollInterval = 5 * time.Second

// followSettings reads the settings file at path with load on SIGHUP and every
// settingsPollInterval until ctx ends, and calls set with the seeds when they differ
// from those in use, at first those of current. Changes of other settings need a
// restart. A file with faults is logged and ignored. SIGHUP stays caught after ctx has
// ended, so that it does not end a process that is stopping.
func followSettings(ctx context.Context, log *slog.Logger, path string, current setup.Fleet,
	load func() (setup.Fleet, error), set func([]netip.AddrPort),
) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		requested := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			requested = true
		case <-ticker.C:
		}
		next, err := load()
		if err != nil {
			log.Error("settings not reloaded, previous settings stay in effect", "path", path, "error", err)
			continue
		}
		if slices.Equal(next.Seeds, current.Seeds) {
			if requested {
				log.Info("settings reloaded, seeds unchanged", "path", path)
			}
			continue
		}
		current = next
		set(next.Seeds)
		log.Info("settings reloaded", "path", path, "seeds", next.Seeds)
	}
}
