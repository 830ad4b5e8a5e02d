package slope

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"cardamomspool/core/wire"
	"cardamomspool/io/ports"
	"cardamomspool/io/stub"
)

const (
	announceTimeout = 2 * time.Second
	// callSlots is both the number of slots and the queue length of a target that
	// is called.
	callSlots = 1000
)

// announceTargets announces n targets until ctx ends, spread evenly over the entry
// hosts, the services and the announce interval. Nothing listens at the targets'
// addresses.
func (f *fleet) announceTargets(ctx context.Context, group *sync.WaitGroup, n, services int) {
	client := &http.Client{Timeout: announceTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: n}}
	for i := range n {
		a := wire.Announcement{
			Service: document(i % services).Name, Target: fmt.Sprintf("target-%d", i), DataCentre: "lab",
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(20000+i)),
			State:   "ready", Incarnation: 1, Slots: 3,
		}
		to := f.settings[i%len(f.settings)]
		group.Go(func() { announceUntil(ctx, client, a, to.AnnounceAddress, to.AnnounceInterval.Std(), i, n) })
	}
}

// startTargets runs n stub targets of the first service, which answer without delay,
// until ctx ends. It returns the URLs at which they can be called directly.
func (f *fleet) startTargets(ctx context.Context, group *sync.WaitGroup, n int) ([]string, error) {
	addresses, err := ports.Free(n)
	if err != nil {
		return nil, err
	}
	var urls []string
	for i, address := range addresses {
		t := stub.New(document(0).Name, fmt.Sprintf("target-%d", i), address, f.settings[0].AnnounceAddress,
			stub.WithSlots(callSlots, callSlots), stub.WithServiceTime(0))
		group.Go(func() {
			if err := t.Run(ctx); err != nil {
				fmt.Fprintln(os.Stderr, "slope: target stopped:", err)
			}
		})
		urls = append(urls, fmt.Sprintf("http://%s/", address))
	}
	return urls, nil
}

// announceUntil announces the i-th of n targets to the address to until ctx ends, at
// the intervals that the entry host replies with. Its first announcement comes after
// i/n of interval.
func announceUntil(ctx context.Context, client *http.Client, a wire.Announcement, to netip.AddrPort, interval time.Duration, i, n int) {
	wait := interval * time.Duration(i) / time.Duration(n)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = announceOnce(ctx, client, a, to, interval)
	}
}

// announceOnce sends one announcement and returns the time until the next one, which
// is interval if there is no usable reply.
func announceOnce(ctx context.Context, client *http.Client, a wire.Announcement, to netip.AddrPort, interval time.Duration) time.Duration {
	var (
		data  []byte
		req   *http.Request
		resp  *http.Response
		reply wire.AnnouncementReply
		err   error
	)
	if data, err = json.Marshal(a); err != nil {
		return interval
	}
	url := "http://" + to.String() + wire.AnnouncePath
	if req, err = http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data)); err != nil {
		return interval
	}
	if resp, err = client.Do(req); err != nil {
		return interval
	}
	defer resp.Body.Close()
	if err = json.NewDecoder(resp.Body).Decode(&reply); err != nil || reply.Interval == 0 {
		return interval
	}
	return reply.Interval.Std()
}
