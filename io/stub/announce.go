package stub

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/member"
	"cardamomspool/core/wire"
)

// announcer sends announcements to the entry host that took the last one, and
// to others when it fails.
type announcer struct {
	client   http.Client
	balancer netip.AddrPort
	current  netip.AddrPort
	others   []netip.AddrPort
}

const (
	announceTimeout = 700 * time.Millisecond
	announceRetry   = 200 * time.Millisecond
	leaveRetry      = 50 * time.Millisecond
	leaveLimit      = 3 * time.Second
	maxReplyBytes   = 4 << 10
)

// errRefused reports an announcement that no entry host would take.
var errRefused = errors.New("stub: the announcement was refused")

func newAnnouncer(balancer netip.AddrPort) *announcer {
	return &announcer{
		client:   http.Client{Timeout: announceTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		balancer: balancer, current: balancer,
	}
}

// send announces a to the first address that takes it and returns the time
// until the next announcement is due. It returns errRefused when a is at
// fault.
func (n *announcer) send(ctx context.Context, a wire.Announcement) (time.Duration, error) {
	var (
		data []byte
		err  error
	)
	if data, err = json.Marshal(a); err != nil {
		return 0, errors.Wrap(err, "stub: announce")
	}
	for _, address := range append([]netip.AddrPort{n.current, n.balancer}, n.others...) {
		var reply wire.AnnouncementReply
		if reply, err = n.post(ctx, address, data); err == nil {
			n.current, n.others = reply.AnnounceAddress, reply.OtherAddresses
			return reply.Interval.Std(), nil
		}
		if errors.Is(err, errRefused) || ctx.Err() != nil {
			return 0, err
		}
	}
	return 0, err
}

func (n *announcer) post(ctx context.Context, to netip.AddrPort, data []byte) (wire.AnnouncementReply, error) {
	var (
		reply wire.AnnouncementReply
		req   *http.Request
		resp  *http.Response
		err   error
	)
	url := "http://" + to.String() + wire.AnnouncePath
	if req, err = http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data)); err != nil {
		return reply, errors.Wrap(err, "stub: announce")
	}
	req.Header.Set("Content-Type", "application/json")
	if resp, err = n.client.Do(req); err != nil {
		return reply, errors.Wrap(err, "stub: announce")
	}
	defer resp.Body.Close()
	body := io.LimitReader(resp.Body, maxReplyBytes)
	if resp.StatusCode >= http.StatusBadRequest && resp.StatusCode < http.StatusInternalServerError {
		return reply, errors.Wrap(errRefused, resp.Status)
	}
	if resp.StatusCode != http.StatusOK {
		return reply, errors.Errorf("stub: announcement answered with %s", resp.Status)
	}
	return reply, json.NewDecoder(body).Decode(&reply)
}

// announceUntil announces the target, when it changes and at the intervals it
// is told, until ctx ends or the target no longer serves.
func (t *Target) announceUntil(ctx context.Context, failed <-chan error) {
	for {
		wait := announceRetry
		interval, err := t.announcer.send(ctx, t.announcement())
		if err != nil && ctx.Err() == nil {
			t.log.Warn("announcement failed", "target", t.name, "error", err)
		}
		if err == nil {
			wait = interval
		}
		select {
		case <-ctx.Done():
			return
		case err = <-failed:
			t.log.Error("target stopped serving", "target", t.name, "error", err)
			return
		case <-t.changed:
		case <-time.After(wait*3/4 + rand.N(wait/4+1)):
		}
	}
}

// leave announces that the target is leaving until an entry host says that
// another one knows of it too.
func (t *Target) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveLimit)
	defer cancel()
	defer t.announcer.client.CloseIdleConnections()
	for {
		_, err := t.announcer.send(ctx, t.announcement())
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			t.log.Warn("leaving was not accepted", "target", t.name, "error", err)
			return
		case <-time.After(leaveRetry):
		}
	}
}

func (t *Target) announcement() wire.Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	return wire.Announcement{
		Service: t.service, Target: t.name, Address: t.address, DataCentre: t.dataCentre,
		State: t.state.String(), Incarnation: t.incarnation, Slots: t.slots,
	}
}

func (t *Target) setState(s member.State) {
	t.mu.Lock()
	t.state = s
	t.mu.Unlock()
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// mark writes the target's state on an answer.
func (t *Target) mark(header http.Header) {
	t.mu.Lock()
	defer t.mu.Unlock()
	header.Set(wire.HeaderState, t.state.String())
	header.Set(wire.HeaderIncarnation, strconv.FormatUint(t.incarnation, 10))
}
