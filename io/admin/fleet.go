package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/io/setup"
)

// Fleet asks entry hosts what they know of services and targets. Use NewFleet.
type Fleet struct {
	entries []setup.Watched
	client  *http.Client

	mu    sync.Mutex
	taken time.Time
	last  []Sighting
}

const (
	// TargetsPath is where an entry host serves its EntryView.
	TargetsPath = "/v1/targets"

	sightingTimeout = time.Second
	sightingAge     = time.Second
	maxViewBytes    = 4 << 20
)

// NewFleet returns a Fleet of the given entry hosts.
func NewFleet(entries []setup.Watched) *Fleet {
	return &Fleet{entries: entries, client: &http.Client{
		Timeout:   sightingTimeout,
		Transport: &http.Transport{DisableKeepAlives: true},
	}}
}

// Look asks every entry host at once and returns one Sighting for each, in
// the order of the settings, after a second at most. Answers are kept for a
// second, so that many operators cost no more than one.
func (f *Fleet) Look(ctx context.Context) []Sighting {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.last != nil && time.Since(f.taken) < sightingAge {
		return f.last
	}
	list := make([]Sighting, len(f.entries))
	var group sync.WaitGroup
	for i, e := range f.entries {
		group.Go(func() { list[i] = f.ask(ctx, e) })
	}
	group.Wait()
	if ctx.Err() == nil {
		f.last, f.taken = list, time.Now()
	}
	return list
}

func (f *Fleet) ask(ctx context.Context, e setup.Watched) Sighting {
	s := Sighting{}
	if err := f.fetch(ctx, e, &s.EntryView); err != nil {
		s.EntryView = EntryView{}
		s.Problem = err.Error()
	}
	s.Host, s.DataCentre = e.Host, e.DataCentre
	return s
}

func (f *Fleet) fetch(ctx context.Context, e setup.Watched, v *EntryView) error {
	var (
		req  *http.Request
		resp *http.Response
		err  error
	)
	if req, err = http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.AdminAddress.String()+TargetsPath, nil); err != nil {
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
