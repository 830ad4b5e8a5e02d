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
)

// Target is a stand-in target that writes down every call that reaches it.
// Use NewTarget.
type Target struct {
	name     string
	address  netip.AddrPort
	public   netip.AddrPort // Where entry hosts find it.
	announce []netip.AddrPort
	record   *os.File
	slots    int64
	running  atomic.Int64
	draining atomic.Bool
	born     uint64
}

const (
	headerCall      = "Lab-Call"
	serviceName     = "soak"
	targetSlots     = 3
	announceEvery   = 100 * time.Millisecond
	announceTimeout = time.Second
	targetDrain     = 1500 * time.Millisecond
	targetGrace     = 10 * time.Second
	longestService  = 20 // Milliseconds.
)

// NewTarget returns a target that listens on address, announces itself as found
// at public to all entry hosts in turn and appends its record to the file called record.
func NewTarget(name string, address, public netip.AddrPort, announce []netip.AddrPort, record string) (*Target, error) {
	var (
		file *os.File
		err  error
	)
	if file, err = os.OpenFile(record, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644); err != nil {
		return nil, errors.Wrap(err, "soak: target record")
	}
	return &Target{
		name: name, address: address, public: public, announce: announce, record: file, slots: targetSlots,
		born: uint64(time.Now().UnixNano()),
	}, nil
}

// Run serves until ctx ends. It then announces that it drains, still takes
// calls for a while, and lets the calls in progress end.
func (t *Target) Run(ctx context.Context) error {
	defer t.record.Close()
	var (
		l   net.Listener
		err error
	)
	if l, err = net.Listen("tcp", t.address.String()); err != nil {
		return errors.Wrap(err, "soak: target")
	}
	s := &http.Server{Handler: t, ReadHeaderTimeout: announceTimeout}
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(l) }()
	t.announceUntil(ctx, member.Ready)
	t.draining.Store(true)
	drain, stopDrain := context.WithTimeout(context.Background(), targetDrain)
	defer stopDrain()
	t.announceUntil(drain, member.Draining)
	stop, cancel := context.WithTimeout(context.Background(), targetGrace)
	defer cancel()
	return s.Shutdown(stop)
}

// announceUntil announces state to one entry host after another, to all of
// them at once first, until ctx ends.
func (t *Target) announceUntil(ctx context.Context, state member.State) {
	for i := 0; ; i++ {
		t.announceOnce(t.announce[i%len(t.announce)], state)
		if i < len(t.announce) {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(announceEvery):
		}
	}
}

// announceOnce sends one announcement. One that fails is made up for by the
// next.
func (t *Target) announceOnce(to netip.AddrPort, state member.State) {
	var (
		data []byte
		resp *http.Response
		err  error
	)
	if data, err = json.Marshal(wire.Announcement{
		Service: serviceName, Target: t.name, Address: t.public, DataCentre: "lab",
		State: state.String(), Incarnation: t.born, Slots: int(t.slots),
	}); err != nil {
		return
	}
	client := http.Client{Timeout: announceTimeout}
	if resp, err = client.Post("http://"+to.String()+wire.AnnouncePath, "application/json", bytes.NewReader(data)); err != nil {
		return
	}
	resp.Body.Close()
}

// ServeHTTP notes the call, reads its body, takes a time that follows from the
// call's name and answers with the name and the length of the body. A call
// beyond the slots is refused and not noted.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer t.running.Add(-1)
	if t.draining.Load() {
		w.Header().Set("Connection", "close")
		w.Header().Set(wire.HeaderState, member.Draining.String())
	}
	if t.running.Add(1) > t.slots {
		w.Header().Set(wire.HeaderOutcome, wire.OutcomeNotRun)
		http.Error(w, "full", http.StatusServiceUnavailable)
		return
	}
	id := r.Header.Get(headerCall)
	if _, err := t.record.WriteString(id + "\n"); err != nil {
		panic(http.ErrAbortHandler) // Without its record the call must not look answered.
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	time.Sleep(serviceTime(id))
	fmt.Fprint(w, answerTo(id, n))
}

func serviceTime(id string) time.Duration {
	h := fnv.New32a()
	io.WriteString(h, id)
	return time.Duration(h.Sum32()%longestService) * time.Millisecond
}

// answerTo returns the whole answer to a call with a body of n bytes.
func answerTo(id string, n int64) string {
	return fmt.Sprintf("%s %d %s", id, n, strings.Repeat(id, 1+len(id)*int(n%97)))
}
