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
	// Announcement is the body of an announcement.
	Announcement struct {
		Service     string `json:"service"`
		Target      string `json:"target"`
		Address     string `json:"address"`
		DataCentre  string `json:"data_centre"`
		State       string `json:"state"`
		Incarnation uint64 `json:"incarnation"`
		Slots       int    `json:"slots"`
	}

	// Announcer tells the load balancer about one target.
	Announcer struct {
		balancer string
		client   http.Client
		changed  chan struct{}

		mu    sync.Mutex
		a     Announcement
		hosts []string
	}

	// reply is the answer to an accepted announcement.
	reply struct {
		Interval        string   `json:"interval"`
		AnnounceAddress string   `json:"announce_address"`
		OtherAddresses  []string `json:"other_addresses"`
	}
)

const (
	tryTimeout    = 700 * time.Millisecond
	firstRetry    = 100 * time.Millisecond
	longestRetry  = 5 * time.Second
	leaveRetry    = 50 * time.Millisecond
	maxReplyBytes = 64 << 10
)

// errRefused reports an announcement that must not be sent again as it is.
var errRefused = errors.New("announcement refused")

// NewAnnouncer returns an Announcer that first turns to balancer, the address
// behind which the entry hosts take announcements. The incarnation of a is set
// to the present time.
func NewAnnouncer(balancer string, a Announcement) *Announcer {
	a.Incarnation = uint64(time.Now().UnixNano())
	return &Announcer{balancer: balancer, client: http.Client{Timeout: tryTimeout}, changed: make(chan struct{}, 1), a: a}
}

// Set changes the state, which is announced at once.
func (n *Announcer) Set(state string) {
	n.mu.Lock()
	n.a.State = state
	n.mu.Unlock()
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// Mark writes the state on an answer to a call, which tells the entry host of
// a change even when no announcement gets through.
func (n *Announcer) Mark(header http.Header) {
	n.mu.Lock()
	defer n.mu.Unlock()
	header.Set("Spool-State", n.a.State)
	header.Set("Spool-Incarnation", strconv.FormatUint(n.a.Incarnation, 10))
}

// Run announces the target until ctx ends: when its state changes, and a
// little before each interval is over.
func (n *Announcer) Run(ctx context.Context) {
	retry := firstRetry
	for {
		wait, err := n.announce(ctx)
		switch {
		case err == nil:
			retry = firstRetry
			wait = wait*3/4 + rand.N(wait/4+1)
		case ctx.Err() != nil:
			return
		default:
			slog.Warn("announcement failed", "error", err)
			wait = retry/2 + rand.N(retry)
			retry = min(2*retry, longestRetry)
		}
		select {
		case <-ctx.Done():
			return
		case <-n.changed:
		case <-time.After(wait):
		}
	}
}

// Leave announces that the target is leaving until this is accepted, which
// means that two entry hosts know, or until ctx ends.
func (n *Announcer) Leave(ctx context.Context) error {
	n.Set("leaving")
	for {
		_, err := n.announce(ctx)
		if err == nil || errors.Is(err, errRefused) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(leaveRetry):
		}
	}
}

// announce tries the entry host that took the last announcement, then the
// balancer, then the other entry hosts that were named.
func (n *Announcer) announce(ctx context.Context) (time.Duration, error) {
	n.mu.Lock()
	body, err := json.Marshal(n.a)
	hosts := append([]string{}, n.hosts...)
	n.mu.Unlock()
	if err != nil {
		return 0, err
	}
	if len(hosts) == 0 {
		hosts = []string{n.balancer}
	} else {
		hosts = append([]string{hosts[0], n.balancer}, hosts[1:]...)
	}
	for _, host := range hosts {
		var r reply
		if r, err = n.post(ctx, host, body); err != nil {
			if errors.Is(err, errRefused) || ctx.Err() != nil {
				return 0, err
			}
			continue
		}
		n.mu.Lock()
		n.hosts = append([]string{r.AnnounceAddress}, r.OtherAddresses...)
		n.mu.Unlock()
		return time.ParseDuration(r.Interval)
	}
	return 0, err
}

func (n *Announcer) post(ctx context.Context, host string, body []byte) (reply, error) {
	var r reply
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+"/v1/announce", bytes.NewReader(body))
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
		return r, fmt.Errorf("%s answered %s: %s", host, resp.Status, data)
	case resp.StatusCode != http.StatusOK:
		return r, fmt.Errorf("%w by %s, %s: %s", errRefused, host, resp.Status, data)
	}
	return r, json.Unmarshal(data, &r)
}
