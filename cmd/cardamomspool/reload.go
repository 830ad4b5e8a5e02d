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

// settingsPeriod is the time between two looks at the settings file, which may
// change without a signal.
const settingsPeriod = 5 * time.Second

// followSettings hands over new seeds when the settings file changes, on
// SIGHUP and every settingsPeriod, until ctx ends. Other settings need a
// restart. SIGHUP has no effect afterwards, as the process is then stopping.
func followSettings(ctx context.Context, log *slog.Logger, path string, present setup.Fleet,
	load func() (setup.Fleet, error), set func([]netip.AddrPort),
) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPeriod)
	defer ticker.Stop()
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			asked = true
		case <-ticker.C:
		}
		next, err := load()
		if err != nil {
			log.Error("settings not reloaded, the former ones stay in force", "path", path, "error", err)
			continue
		}
		if slices.Equal(next.Seeds, present.Seeds) {
			if asked {
				log.Info("settings reloaded, nothing to change", "path", path)
			}
			continue
		}
		present = next
		set(next.Seeds)
		log.Info("settings reloaded", "path", path, "seeds", next.Seeds)
	}
}
