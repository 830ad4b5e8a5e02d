package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"
)

const (
	// warmUp simulates the work that a target does before it is ready.
	warmUp = time.Second
	// drainTime is how long the target keeps accepting calls after it has
	// announced its departure: entry hosts that do not know of it yet still send
	// calls.
	drainTime     = 3 * time.Second
	stopTimeout   = 30 * time.Second
	headerTimeout = 10 * time.Second
)

func main() {
	balancer := flag.String("announce", "127.0.0.1:8101", "address that accepts announcements")
	service := flag.String("service", "bookings", "name of the service")
	name := flag.String("name", "sample-1", "name of the target")
	address := flag.String("address", "127.0.0.1:9000", "IP address and port that accept calls")
	limit := flag.Float64("limit", 0, "calls a second to ask for, over all entry hosts; 0 for no limit")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	a := Announcement{Service: *service, Target: *name, Address: *address, DataCentre: "sample", State: "cold", Slots: 3}
	if err := run(ctx, NewAnnouncer(*balancer, a), *address, *limit); err != nil {
		slog.Error("target failed", "error", err)
		os.Exit(1)
	}
}

// run serves calls until ctx ends. It then announces its departure, keeps serving
// for drainTime, and shuts down after the calls in progress have ended. Its answers name
// limit, unless that is 0.
func run(ctx context.Context, announcer *Announcer, address string, limit float64) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{ReadHeaderTimeout: headerTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		announcer.Mark(w.Header())
		w.Header().Set("Spool-Call", r.Header.Get("Spool-Call"))
		if limit > 0 {
			w.Header().Set("Spool-Limit", strconv.FormatFloat(limit, 'f', -1, 64))
		}
		fmt.Fprintf(w, "hello from %s, call %s\n", address, r.Header.Get("Spool-Call"))
	})}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(l) }()
	announceCtx, stopAnnouncing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopAnnouncing()
	go announcer.Run(announceCtx)
	ready := time.AfterFunc(warmUp, func() { announcer.SetState("ready") })
	defer ready.Stop()
	select {
	case err = <-failed:
		return err
	case <-ctx.Done():
	}
	ready.Stop()
	stopAnnouncing()
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err = announcer.Leave(stopCtx); err != nil {
		slog.Warn("departure not accepted; answers still carry the state", "error", err)
	}
	time.Sleep(drainTime)
	if err = server.Shutdown(stopCtx); err != nil {
		return err
	}
	if err = <-failed; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
