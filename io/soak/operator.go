package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
)

type (
	// operator changes the service's document again and again, reads it back
	// from other control hosts and notes what contradicts an accepted change.
	operator struct {
		soak *Soak

		mu       sync.Mutex
		changes  int
		reads    int
		accepted uint64         // The highest revision known to be agreed.
		sent     map[uint64]int // The length of the queue that a revision set.
		wrong    []string
	}

	// reply is a control host's answer to a change or a read.
	reply struct {
		spec.Versioned
		Confirmed bool           `json:"confirmed"`
		Current   spec.Versioned `json:"current"`
	}
)

const (
	operatorPause   = 150 * time.Millisecond
	operatorTimeout = 5 * time.Second
	// leastHold is the length of the queue in the first document. Each change
	// sets another one.
	leastHold = 100
	holds     = 1000
	// settleLimit is how long after all faults a majority may take to answer.
	settleLimit = 20 * time.Second
)

// document returns the document that the change of the given number sets.
func document(number int) spec.Service {
	doc := spec.Default()
	doc.Name = serviceName
	doc.Receive.PathPrefixes = []string{"/"}
	doc.Receive.Deadline = strict.Duration(callDeadline)
	doc.Targets.Slots = targetSlots
	doc.Hold.Length = leastHold + number%holds
	return doc
}

// begin makes the first document, at the first control host.
func (o *operator) begin(ctx context.Context) error {
	if o.accepted > 0 {
		return nil
	}
	status, r, err := o.change(ctx, o.soak.controls[0], 0, 0)
	switch {
	case err != nil:
		return err
	case status != http.StatusOK:
		return errors.Errorf("soak: the service was answered with status %d", status)
	}
	o.took(r.Revision, 0)
	return nil
}

// run changes the document until ctx ends, and meanwhile reads it from every
// control host.
func (o *operator) run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for _, p := range o.soak.controls {
		group.Go(func() {
			for sleep(ctx, operatorPause) {
				o.read(ctx, p)
			}
		})
	}
	rng := rand.New(rand.NewPCG(o.soak.seed, 3))
	for number := 1; sleep(ctx, operatorPause); number++ {
		o.makeChange(ctx, rng, number)
	}
}

func (o *operator) any(rng *rand.Rand) *process {
	return o.soak.controls[rng.IntN(len(o.soak.controls))]
}

// makeChange sends one change until its outcome is known, each time to another
// control host.
func (o *operator) makeChange(ctx context.Context, rng *rand.Rand, number int) {
	base := o.floor()
	for more := ctx.Err() == nil; more; more = sleep(ctx, operatorPause/3) {
		status, r, err := o.change(ctx, o.any(rng), base, number)
		switch {
		case err == nil && status == http.StatusOK:
			o.took(r.Revision, number)
			return
		case err == nil && status == http.StatusConflict:
			// The operator is alone: only a change of its own that got no
			// answer can have come before, and this one is resent instead.
			o.fail("change %d to revision %d conflicts with revision %d", number, base, r.Current.Revision)
			return
		}
	}
}

// floor returns the highest revision known to be agreed.
func (o *operator) floor() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.accepted
}

func (o *operator) took(revision uint64, number int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.changes++
	if revision != o.accepted+1 {
		o.wrong = append(o.wrong, fmt.Sprintf("change %d to revision %d was accepted as revision %d", number, o.accepted, revision))
	}
	o.accepted = max(o.accepted, revision)
	o.sent[revision] = leastHold + number%holds
}

func (o *operator) fail(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.wrong = append(o.wrong, fmt.Sprintf(format, args...))
}

// read reads the document from a majority and reports whether it came.
func (o *operator) read(ctx context.Context, from *process) bool {
	floor := o.floor()
	status, r, err := o.ask(ctx, from, http.MethodGet, nil, nil)
	if err != nil || status != http.StatusOK || !r.Confirmed {
		return false
	}
	o.mu.Lock()
	o.reads++
	want, known := o.sent[r.Revision]
	o.mu.Unlock()
	if r.Revision < floor {
		o.fail("%s read revision %d after %d had been accepted", from.name, r.Revision, floor)
	}
	var doc spec.Service
	if err = json.Unmarshal(r.Body, &doc); err != nil {
		o.fail("%s read revision %d, which is no document: %v", from.name, r.Revision, err)
		return true
	}
	if known && want != doc.Hold.Length {
		o.fail("%s read a queue of %d in revision %d, which set %d", from.name, doc.Hold.Length, r.Revision, want)
	}
	return true
}

// settle checks, once all faults have ended, that every control host reads what
// was accepted.
func (o *operator) settle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	for _, p := range o.soak.controls {
		for !o.read(ctx, p) {
			if !sleep(ctx, pollInterval) {
				o.fail("%s can not read the service %s after all faults", p.name, settleLimit)
				return
			}
		}
	}
}

func (o *operator) report(r *Report) {
	r.Changes, r.Reads, r.LostChanges = o.changes, o.reads, len(o.wrong)
	r.Faults = append(r.Faults, o.wrong...)
}

func (o *operator) change(ctx context.Context, at *process, base uint64, number int) (int, reply, error) {
	body, err := json.Marshal(document(number))
	if err != nil {
		return 0, reply{}, errors.Wrap(err, "soak: document")
	}
	header := http.Header{}
	header.Set("If-Match", strconv.FormatUint(base, 10))
	header.Set("Idempotency-Key", "soak-"+strconv.Itoa(number))
	return o.ask(ctx, at, http.MethodPut, body, header)
}

func (o *operator) ask(ctx context.Context, at *process, method string, body []byte, header http.Header) (int, reply, error) {
	var (
		req  *http.Request
		resp *http.Response
		r    reply
		err  error
	)
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/services/%s", o.soak.adminAddress[at], serviceName)
	if req, err = http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body)); err != nil {
		return 0, r, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	if resp, err = http.DefaultClient.Do(req); err != nil {
		return 0, r, err
	}
	defer resp.Body.Close()
	if err = json.NewDecoder(resp.Body).Decode(&r); err != nil {
		return 0, r, errors.Wrap(err, "soak: answer of a control host")
	}
	return resp.StatusCode, r, nil
}
