package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/member"
	"cardamomspool/core/wire"
	"cardamomspool/io/drain"
)

// Target is a target for soak tests. It appends the identity of every call that it
// runs to a file, which outlives the process. Use NewTarget to create it.
type Target struct {
	name        string
	address     netip.AddrPort
	public      netip.AddrPort // The address that is announced to entry hosts.
	announce    []netip.AddrPort
	recordFile  *os.File
	arrivals    *os.File // Nil for a target without a limit.
	resets      *os.File // Nil for a target that refuses calls while it is full, and doesn't reset them.
	limit       float64  // The limit that it names, in calls a second; 0 for none.
	slots       int64
	running     atomic.Int64
	draining    atomic.Bool
	incarnation uint64
}

const (
	headerCall             = "Lab-Call"
	serviceName            = "soak"
	targetSlots            = 3
	targetAnnounceInterval = 100 * time.Millisecond
	announceTimeout        = time.Second
	targetDrainTime        = 1500 * time.Millisecond
	targetStopTimeout      = 10 * time.Second
	maxServiceMillis       = 20
)

// NewTarget returns a target that listens on address, announces the address public
// to the announce addresses of all entry hosts in turn and appends the identities of
// its calls to the file at the path record. Unless limit is 0, its answers name it, and it
// writes when its calls arrive. With reset, it resets the connections of calls beyond its
// slots, of which it keeps a record too, and refuses them otherwise.
func NewTarget(name string, address, public netip.AddrPort, announce []netip.AddrPort, record string, limit float64, reset bool) (*Target, error) {
	var (
		file, arrivals, resets *os.File
		err                    error
	)
	if file, err = openRecord(record); err != nil {
		return nil, err
	}
	if limit > 0 {
		if arrivals, err = openRecord(arrivalsFile(record)); err != nil {
			return nil, err
		}
	}
	if reset {
		if resets, err = openRecord(resetsFile(record)); err != nil {
			return nil, err
		}
	}
	return &Target{
		limit: limit, arrivals: arrivals, resets: resets,
		name: name, address: address, public: public, announce: announce, recordFile: file, slots: targetSlots,
		incarnation: uint64(time.Now().UnixNano()),
	}, nil
}

// openRecord opens a file to append to.
func openRecord(name string) (*os.File, error) {
	file, err := os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	return file, errors.Wrap(err, "soak: target record")
}

// Run serves until ctx ends. It then announces that it is draining, still accepts
// calls for targetDrainTime, and waits for the calls in progress.
func (t *Target) Run(ctx context.Context) error {
	defer t.recordFile.Close()
	if t.arrivals != nil {
		defer t.arrivals.Close()
	}
	if t.resets != nil {
		defer t.resets.Close()
	}
	var (
		l   net.Listener
		err error
	)
	if l, err = net.Listen("tcp", t.address.String()); err != nil {
		return errors.Wrap(err, "soak: target")
	}
	s := drain.New(&http.Server{Handler: t, ReadHeaderTimeout: announceTimeout})
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(l) }()
	t.announceUntil(ctx, member.Ready)
	t.draining.Store(true)
	draining, stopDrain := context.WithTimeout(context.Background(), targetDrainTime)
	defer stopDrain()
	t.announceUntil(draining, member.Draining)
	stop, cancel := context.WithTimeout(context.Background(), targetStopTimeout)
	defer cancel()
	return s.Shutdown(stop)
}

// announceUntil announces state until ctx ends: first to all entry hosts without a
// pause, and then to one of them at each targetAnnounceInterval.
func (t *Target) announceUntil(ctx context.Context, state member.State) {
	for i := 0; ; i++ {
		t.announceOnce(t.announce[i%len(t.announce)], state)
		if i < len(t.announce) {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(targetAnnounceInterval):
		}
	}
}

// announceOnce sends one announcement to the address to. Failures are ignored, since
// the next announcement follows soon.
func (t *Target) announceOnce(to netip.AddrPort, state member.State) {
	var (
		data []byte
		resp *http.Response
		err  error
	)
	if data, err = json.Marshal(wire.Announcement{
		Service: serviceName, Target: t.name, Address: t.public, DataCentre: "lab",
		State: state.String(), Incarnation: t.incarnation, Slots: int(t.slots),
	}); err != nil {
		return
	}
	client := http.Client{Timeout: announceTimeout}
	if resp, err = client.Post("http://"+to.String()+wire.AnnouncePath, "application/json", bytes.NewReader(data)); err != nil {
		return
	}
	resp.Body.Close()
}

// ServeHTTP records the call, reads its body, sleeps for a time derived from the
// call's identity and answers as answerTo says. A call beyond the slots is refused, or
// reset, and not recorded as run.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer t.running.Add(-1)
	if t.draining.Load() {
		w.Header().Set("Connection", "close")
		w.Header().Set(wire.HeaderState, member.Draining.String())
	}
	if t.limit > 0 {
		w.Header().Set(wire.HeaderLimit, wire.Limit{Named: true, Rate: t.limit}.String())
		if _, err := t.arrivals.WriteString(formatArrival(time.Now())); err != nil {
			panic(http.ErrAbortHandler) // An arrival that is not recorded must not be answered.
		}
	}
	if t.running.Add(1) > t.slots {
		if t.resets != nil {
			t.reset(w, r)
		}
		w.Header().Set(wire.HeaderOutcome, wire.OutcomeNotRun)
		http.Error(w, "full", http.StatusServiceUnavailable)
		return
	}
	id := r.Header.Get(headerCall)
	if _, err := t.recordFile.WriteString(formatSighting(id, r.Header)); err != nil {
		panic(http.ErrAbortHandler) // A call that is not recorded must not be answered.
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	time.Sleep(serviceTime(id))
	fmt.Fprint(w, answerTo(id, n))
}

// serviceTime returns the processing time of a call, derived from a hash of its
// identity.
func serviceTime(id string) time.Duration {
	h := fnv.New32a()
	io.WriteString(h, id)
	return time.Duration(h.Sum32()%maxServiceMillis) * time.Millisecond
}

// answerTo returns the complete answer to the call with the given id, whose request
// body has n bytes.
func answerTo(id string, n int64) string {
	return fmt.Sprintf("%s %d %s", id, n, strings.Repeat(id, 1+len(id)*int(n%97)))
}
