package admin

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/io/setup"
)

type (
	// Fleet asks entry hosts what they know of services and targets. Use
	// NewFleet.
	Fleet struct {
		entries []setup.Watched
		client  *http.Client

		mu   sync.Mutex
		last map[string]look
	}

	// look is a round of answers.
	look struct {
		taken time.Time
		list  []Sighting
	}
)

const (
	// TargetsPath is where an entry host serves its EntryView.
	TargetsPath = "/v1/targets"
	// ServiceParameter names the service whose targets are asked for.
	ServiceParameter = "service"

	sightingTimeout = time.Second
	sightingAge     = time.Second
	maxViewBytes    = 4 << 20
)

// NewFleet returns a Fleet of the given entry hosts.
func NewFleet(entries []setup.Watched) *Fleet {
	return &Fleet{entries: entries, last: make(map[string]look), client: &http.Client{
		Timeout:   sightingTimeout,
		Transport: &http.Transport{DisableKeepAlives: true},
	}}
}

// Look asks every entry host at once for the targets of one service, or of all
// when service is empty, and returns one Sighting for each, in the order of the
// settings, after a second at most. Answers are kept for a second, so that many
// operators cost no more than one.
func (f *Fleet) Look(ctx context.Context, service string) []Sighting {
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.last, func(_ string, l look) bool { return time.Since(l.taken) >= sightingAge })
	if l, ok := f.last[service]; ok {
		return l.list
	}
	list := make([]Sighting, len(f.entries))
	var group sync.WaitGroup
	for i, e := range f.entries {
		group.Go(func() { list[i] = f.ask(ctx, e, service) })
	}
	group.Wait()
	if ctx.Err() == nil {
		f.last[service] = look{taken: time.Now(), list: list}
	}
	return list
}

func (f *Fleet) ask(ctx context.Context, e setup.Watched, service string) Sighting {
	s := Sighting{}
	if err := f.fetch(ctx, e, service, &s.EntryView); err != nil {
		s.EntryView = EntryView{}
		s.Problem = err.Error()
	}
	s.Host, s.DataCentre = e.Host, e.DataCentre
	return s
}

func (f *Fleet) fetch(ctx context.Context, e setup.Watched, service string, v *EntryView) error {
	var (
		req  *http.Request
		resp *http.Response
		err  error
	)
	at := url.URL{Scheme: "http", Host: e.AdminAddress.String(), Path: TargetsPath}
	if service != "" {
		at.RawQuery = url.Values{ServiceParameter: {service}}.Encode()
	}
	if req, err = http.NewRequestWithContext(ctx, http.MethodGet, at.String(), nil); err != nil {
		return err
	}
	if resp, err = f.client.Do(req); err != nil {
		return errors.New("no answer from " + e.AdminAddress.String())
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s answered %s", e.AdminAddress, resp.Status)
	}
	return json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxViewBytes)).Decode(v)
}
