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
	// Fleet queries a list of entry hosts for their services and targets. It is
	// safe for concurrent use. Use NewFleet.
	Fleet struct {
		entries []setup.EntryAdmin
		client  *http.Client

		mu    sync.Mutex               // Held while the entry hosts are queried.
		cache map[string]cachedAnswers // By service; the key for all services is empty.
	}

	// cachedAnswers holds the answers of all entry hosts to one query.
	cachedAnswers struct {
		taken time.Time // When the last of the answers had arrived.
		list  []EntryAnswer
	}
)

const (
	// TargetsPath is where an entry host serves its EntryView.
	TargetsPath = "/v1/targets"
	// ServiceParameter is the query parameter that limits the targets to those
	// of one service.
	ServiceParameter = "service"

	// queryTimeout bounds the query of one entry host.
	queryTimeout = time.Second
	// cacheAge is how long answers are cached.
	cacheAge = time.Second
	// maxViewBytes is the maximum size of an entry host's answer.
	maxViewBytes = 4 << 20
)

// NewFleet returns a Fleet that queries the given entry hosts.
func NewFleet(entries []setup.EntryAdmin) *Fleet {
	return &Fleet{entries: entries, cache: make(map[string]cachedAnswers), client: &http.Client{
		Timeout:   queryTimeout,
		Transport: &http.Transport{DisableKeepAlives: true},
	}}
}

// Targets queries all entry hosts in parallel for the targets of one service,
// or of all services when service is empty. It returns one EntryAnswer for each
// entry host, in the order of the settings, within queryTimeout, plus the time
// for which it waits for other calls of Targets that are querying. Answers are
// cached for cacheAge, so that many operators cost the entry hosts no more than
// one.
func (f *Fleet) Targets(ctx context.Context, service string) []EntryAnswer {
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.cache, func(_ string, l cachedAnswers) bool { return time.Since(l.taken) >= cacheAge })
	if l, ok := f.cache[service]; ok {
		return l.list
	}
	list := make([]EntryAnswer, len(f.entries))
	var group sync.WaitGroup
	for i, e := range f.entries {
		group.Go(func() { list[i] = f.query(ctx, e, service) })
	}
	group.Wait()
	if ctx.Err() == nil {
		f.cache[service] = cachedAnswers{taken: time.Now(), list: list}
	}
	return list
}

// query returns the answer of one entry host. The name and the data centre in it
// are those in the settings, whatever the entry host says.
func (f *Fleet) query(ctx context.Context, e setup.EntryAdmin, service string) EntryAnswer {
	s := EntryAnswer{}
	var query url.Values
	if service != "" {
		query = url.Values{ServiceParameter: {service}}
	}
	if err := f.fetch(ctx, e, TargetsPath, query, &s.EntryView); err != nil {
		s.EntryView = EntryView{}
		s.Problem = err.Error()
	}
	s.Host, s.DataCentre = e.Host, e.DataCentre
	return s
}

// fetch reads what an entry host serves at a path into v. It fails when the entry host doesn't
// answer in time, or doesn't answer with status 200 and valid JSON of at most
// maxViewBytes.
func (f *Fleet) fetch(ctx context.Context, e setup.EntryAdmin, path string, query url.Values, v any) error {
	var (
		req  *http.Request
		resp *http.Response
		err  error
	)
	at := url.URL{Scheme: "http", Host: e.AdminAddress.String(), Path: path, RawQuery: query.Encode()}
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
