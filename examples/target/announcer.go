package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

type (
	// Announcement is the JSON body of an announcement.
	Announcement struct {
		Service string `json:"service"`
		// Target is the name of the target.
		Target string `json:"target"`
		// Address is the IP address and port that accept calls.
		Address    string `json:"address"`
		DataCentre string `json:"data_centre"`
		// State is cold (not yet warmed up), ready or leaving in this example.
		State string `json:"state"`
		// Incarnation must be higher after each start of the target's process.
		Incarnation uint64 `json:"incarnation"`
		// Slots is the number of calls that the target runs at once.
		Slots int `json:"slots"`
	}

	// Announcer announces one target to the load balancer. Use NewAnnouncer.
	Announcer struct {
		balancer string
		client   http.Client
		changed  chan struct{} // Tells Run that the state has changed.

		mu             sync.Mutex
		announcement   Announcement
		entryAddresses []string // Announce addresses from the last reply.
	}

	// reply is the JSON body of the answer to an accepted announcement.
	reply struct {
		// Interval is the time until the next announcement, as in "1s".
		Interval string `json:"interval"`
		// AnnounceAddress is the address for the next announcement, and
		// OtherAddresses are the addresses to use if it fails.
		AnnounceAddress string   `json:"announce_address"`
		OtherAddresses  []string `json:"other_addresses"`
	}
)

const (
	requestTimeout  = 700 * time.Millisecond
	minRetryDelay   = 100 * time.Millisecond
	maxRetryDelay   = 5 * time.Second
	leaveRetryDelay = 50 * time.Millisecond
	maxReplyBytes   = 64 << 10
)

// errRefused reports an announcement that must not be sent again unchanged.
var errRefused = errors.New("announcement refused")

// NewAnnouncer returns an Announcer that sends its first announcement to balancer,
// an address that forwards to the entry hosts. It sets the announcement's
// incarnation, which must be higher after each start of the target, to the current
// time in nanoseconds.
func NewAnnouncer(balancer string, announcement Announcement) *Announcer {
	announcement.Incarnation = uint64(time.Now().UnixNano())
	return &Announcer{balancer: balancer, client: http.Client{Timeout: requestTimeout}, changed: make(chan struct{}, 1), announcement: announcement}
}

// SetState changes the state and makes Run announce it immediately.
func (n *Announcer) SetState(state string) {
	n.mu.Lock()
	n.announcement.State = state
	n.mu.Unlock()
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// Mark adds the target's state to the header of an answer to a call. The entry host
// thus learns of a change even when no announcement reaches it.
func (n *Announcer) Mark(header http.Header) {
	n.mu.Lock()
	defer n.mu.Unlock()
	header.Set("Spool-State", n.announcement.State)
	header.Set("Spool-Incarnation", strconv.FormatUint(n.announcement.Incarnation, 10))
}

// Run announces the target until ctx ends: when its state changes, and otherwise
// after 3/4 to all of the interval that the last reply named, at random. Failed
// announcements are retried with exponential backoff and jitter.
func (n *Announcer) Run(ctx context.Context) {
	retryDelay := minRetryDelay
	for {
		wait, err := n.announce(ctx)
		switch {
		case err == nil:
			retryDelay = minRetryDelay
			wait = wait*3/4 + rand.N(wait/4+1)
		case ctx.Err() != nil:
			return
		default:
			slog.Warn("announcement failed", "error", err)
			wait = retryDelay/2 + rand.N(retryDelay)
			retryDelay = min(2*retryDelay, maxRetryDelay)
		}
		select {
		case <-ctx.Done():
			return
		case <-n.changed:
		case <-time.After(wait):
		}
	}
}

// Leave announces that the target is leaving until an entry host accepts the
// announcement, which means that two entry hosts know of it, or until ctx ends. It
// returns the last error if the announcement was not accepted.
func (n *Announcer) Leave(ctx context.Context) error {
	n.SetState("leaving")
	for {
		_, err := n.announce(ctx)
		if err == nil || errors.Is(err, errRefused) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(leaveRetryDelay):
		}
	}
}

// announce sends one announcement and returns the time until the next. It tries the
// address that the last reply named for it, then the balancer, then the other
// addresses of that reply.
func (n *Announcer) announce(ctx context.Context) (time.Duration, error) {
	n.mu.Lock()
	body, err := json.Marshal(n.announcement)
	addresses := append([]string{}, n.entryAddresses...)
	n.mu.Unlock()
	if err != nil {
		return 0, err
	}
	if len(addresses) == 0 {
		addresses = []string{n.balancer}
	} else {
		addresses = append([]string{addresses[0], n.balancer}, addresses[1:]...)
	}
	for _, address := range addresses {
		var r reply
		if r, err = n.post(ctx, address, body); err != nil {
			if errors.Is(err, errRefused) || ctx.Err() != nil {
				return 0, err
			}
			continue
		}
		n.mu.Lock()
		n.entryAddresses = append([]string{r.AnnounceAddress}, r.OtherAddresses...)
		n.mu.Unlock()
		return time.ParseDuration(r.Interval)
	}
	return 0, err
}

// post sends an announcement to one address. The error wraps errRefused if the answer's
// status is neither 200 nor one of the server errors from 500.
func (n *Announcer) post(ctx context.Context, address string, body []byte) (reply, error) {
	var r reply
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/announce", bytes.NewReader(body))
	if err != nil {
		return r, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := n.client.Do(req)
	if err != nil {
		return r, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	switch {
	case err != nil:
		return r, err
	case resp.StatusCode >= 500:
		return r, fmt.Errorf("%s answered %s: %s", address, resp.Status, data)
	case resp.StatusCode != http.StatusOK:
		return r, fmt.Errorf("%w by %s, %s: %s", errRefused, address, resp.Status, data)
	}
	return r, json.Unmarshal(data, &r)
}
