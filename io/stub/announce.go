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

// announcer sends announcements to the address that the last reply named, and falls
// back to other addresses when that fails.
type announcer struct {
	client   http.Client
	balancer netip.AddrPort   // The configured address.
	current  netip.AddrPort   // The address to use first, from the last reply.
	others   []netip.AddrPort // The other addresses from the last reply.
}

const (
	announceTimeout       = 700 * time.Millisecond
	announceRetryInterval = 200 * time.Millisecond
	leaveRetryInterval    = 50 * time.Millisecond
	leaveTimeout          = 3 * time.Second
	maxReplyBytes         = 4 << 10
)

// errRefused reports an announcement that was answered with a 4xx status. Every entry
// host would refuse it.
var errRefused = errors.New("stub: the announcement was refused")

func newAnnouncer(balancer netip.AddrPort) *announcer {
	return &announcer{
		client:   http.Client{Timeout: announceTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		balancer: balancer, current: balancer,
	}
}

// send sends a to the current address, the balancer and the other addresses in turn
// until one accepts it, and returns the interval until the next announcement. It
// returns errRefused, without trying further addresses, when a itself is refused, and
// otherwise the last error.
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

// post sends an encoded announcement to one address.
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

// announceUntil announces the target until ctx ends or failed yields the error with which
// serving ended. It sends an announcement whenever the state changes, and otherwise after
// 3/4 to all, drawn at random, of the interval that the entry host replied with, or of
// announceRetryInterval after a failure.
func (t *Target) announceUntil(ctx context.Context, failed <-chan error) {
	for {
		wait := announceRetryInterval
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

// announceLeaving retries the announcement that the target is leaving until an entry
// host accepts the announcement, which means that a second one knows of it too, or
// until leaveTimeout has passed.
func (t *Target) announceLeaving() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	defer t.announcer.client.CloseIdleConnections()
	for {
		_, err := t.announcer.send(ctx, t.announcement())
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			t.log.Warn("announcement of leaving failed", "target", t.name, "error", err)
			return
		case <-time.After(leaveRetryInterval):
		}
	}
}

// announcement returns the announcement of the target's current state.
func (t *Target) announcement() wire.Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	return wire.Announcement{
		Service: t.service, Target: t.name, Address: t.address, DataCentre: t.dataCentre,
		State: t.state.String(), Incarnation: t.incarnation, Slots: t.slots,
	}
}

// setState sets the state that is announced and triggers an announcement.
func (t *Target) setState(s member.State) {
	t.mu.Lock()
	t.state = s
	t.mu.Unlock()
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// setStateHeaders sets the header fields with the target's state and incarnation.
func (t *Target) setStateHeaders(header http.Header) {
	t.mu.Lock()
	defer t.mu.Unlock()
	header.Set(wire.HeaderState, t.state.String())
	header.Set(wire.HeaderIncarnation, strconv.FormatUint(t.incarnation, 10))
}
