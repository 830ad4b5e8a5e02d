package slope

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
	"cardamomspool/io/layout"
	"cardamomspool/io/setup"
)

// fleet is a set of control and entry processes on loopback.
type fleet struct {
	folder   string // Holds settings, logs and data folders.
	controls []*process
	entries  []*process
	settings []setup.Entry        // In the order of entries.
	adjust   []func(*setup.Entry) // Changes to the settings of every entry host.
}

const (
	controlHosts = 3
	startTimeout = 30 * time.Second
	folderMode   = 0o700
	fileMode     = 0o600
)

// startFleet starts three control hosts and the given number of entry hosts, with
// interval as their announce interval, and waits until they are ready. Each function
// of adjust is called with the settings of every entry host and may change them.
func startFleet(ctx context.Context, binary string, entries int, interval time.Duration, adjust ...func(*setup.Entry)) (*fleet, error) {
	f := &fleet{adjust: adjust}
	var err error
	if f.folder, err = os.MkdirTemp("", "cardamomspool-slope-"); err != nil {
		return nil, errors.Wrap(err, "slope: settings folder")
	}
	if err = f.start(binary, entries, interval); err != nil {
		f.stop()
		return nil, err
	}
	if err = f.waitReady(ctx); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start(binary string, entries int, interval time.Duration) error {
	opts := []layout.Option{
		layout.WithLogLevel("warn"),
		layout.WithEntries(func(cfg *setup.Entry) { cfg.AnnounceInterval = strict.Duration(interval) }),
	}
	for _, change := range f.adjust {
		opts = append(opts, layout.WithEntries(change))
	}
	plan, err := layout.New(f.folder, layout.Size{Controls: controlHosts, Entries: entries}, opts...)
	if err != nil {
		return err
	}
	f.settings = plan.Entries
	for _, cfg := range plan.Controls {
		if err = f.launch(binary, "control", cfg.Common, cfg, &f.controls); err != nil {
			return err
		}
	}
	for _, cfg := range plan.Entries {
		if err = f.launch(binary, "entry", cfg.Common, cfg, &f.entries); err != nil {
			return err
		}
	}
	return nil
}

// launch writes the settings of one host, starts it and appends its process to list.
func (f *fleet) launch(binary, subcommand string, host setup.Common, cfg any, list *[]*process) error {
	data, err := json.Marshal(cfg)
	if err != nil {
		return errors.Wrap(err, "slope: encode settings")
	}
	path := filepath.Join(f.folder, host.Host+".json")
	if err = os.WriteFile(path, data, fileMode); err != nil {
		return errors.Wrap(err, "slope: write settings")
	}
	p, err := start(binary, subcommand, path, host.AdminAddress)
	if err != nil {
		return err
	}
	*list = append(*list, p)
	return nil
}

// stop stops all processes and removes their files.
func (f *fleet) stop() {
	for _, p := range append(f.entries, f.controls...) {
		p.stop()
	}
	os.RemoveAll(f.folder)
}

// waitReady waits until the document of the first service is accepted and every entry
// host uses it.
func (f *fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		err := f.apply(ctx, document(0), 0, "first")
		if err == nil {
			return f.waitMetric(ctx, "services", 1)
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "slope: the hosts did not become ready in time")
		case <-time.After(readyPollInterval):
		}
	}
}

// waitMetric waits until the metric called name is n or more on every entry host.
func (f *fleet) waitMetric(ctx context.Context, name string, n float64) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, p := range f.entries {
		for {
			vars, err := p.vars(ctx)
			if v, ok := vars[name].(float64); err == nil && ok && v >= n {
				break
			}
			select {
			case <-ctx.Done():
				return errors.Errorf("slope: metric %s of an entry host is %v, not %g (%v); last log lines: %s", name, vars[name], n, err, p.logTail())
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// document returns the first document of the i-th service.
func document(i int) spec.Service {
	doc := spec.Default()
	doc.Name = fmt.Sprintf("service-%d", i)
	doc.Receive.PathPrefixes = []string{fmt.Sprintf("/service-%d/", i)}
	return doc
}

// apply sends a change of one document, based on revision base, to the first control
// host. The idempotency key is request.
func (f *fleet) apply(ctx context.Context, doc spec.Service, base uint64, request string) error {
	return f.applyAt(ctx, f.controls[0], doc, base, request)
}

// applyAt sends a change of one document, based on revision base, to one control
// host. The idempotency key is request.
func (f *fleet) applyAt(ctx context.Context, p *process, doc spec.Service, base uint64, request string) error {
	var (
		body []byte
		req  *http.Request
		resp *http.Response
		err  error
	)
	if body, err = json.Marshal(doc); err != nil {
		return errors.Wrap(err, "slope: encode document")
	}
	url := fmt.Sprintf("http://%s/v1/services/%s", p.admin, doc.Name)
	if req, err = http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body)); err != nil {
		return errors.Wrap(err, "slope: apply")
	}
	req.Header.Set("If-Match", fmt.Sprint(base))
	req.Header.Set("Idempotency-Key", request)
	if resp, err = http.DefaultClient.Do(req); err != nil {
		return errors.Wrap(err, "slope: apply")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("slope: change answered with %s", resp.Status)
	}
	return nil
}
