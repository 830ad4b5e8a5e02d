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
	"syscall"
	"time"
)

const (
	// warmUp stands for the work after which the target is ready.
	warmUp = time.Second
	// drainTime is how long the target goes on taking calls that were sent
	// before all entry hosts knew that it leaves.
	drainTime     = 3 * time.Second
	stopLimit     = 30 * time.Second
	headerTimeout = 10 * time.Second
)

func main() {
	balancer := flag.String("announce", "127.0.0.1:8101", "address that takes announcements")
	service := flag.String("service", "bookings", "name of the service")
	name := flag.String("name", "sample-1", "name of the target")
	address := flag.String("address", "127.0.0.1:9000", "IP number and port that take calls")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	a := Announcement{Service: *service, Target: *name, Address: *address, DataCentre: "sample", State: "cold", Slots: 3}
	if err := run(ctx, NewAnnouncer(*balancer, a), *address); err != nil {
		slog.Error("target failed", "error", err)
		os.Exit(1)
	}
}

// run serves calls until ctx ends and then leaves in order: drain, leave, end
// the calls in progress.
func run(ctx context.Context, announcer *Announcer, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{ReadHeaderTimeout: headerTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		announcer.Mark(w.Header())
		fmt.Fprintf(w, "hello from %s, call %s\n", address, r.Header.Get("Spool-Call"))
	})}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(l) }()
	announcing, stopAnnouncing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopAnnouncing()
	go announcer.Run(announcing)
	ready := time.AfterFunc(warmUp, func() { announcer.Set("ready") })
	defer ready.Stop()
	select {
	case err = <-failed:
		return err
	case <-ctx.Done():
	}
	ready.Stop()
	stopAnnouncing()
	ending, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopLimit)
	defer cancel()
	if err = announcer.Leave(ending); err != nil {
		slog.Warn("leaving was not accepted; answers still say so", "error", err)
	}
	time.Sleep(drainTime)
	if err = server.Shutdown(ending); err != nil {
		return err
	}
	if err = <-failed; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
