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
	// operator changes the service's document repeatedly, reads it back from all
	// control hosts and records reads that contradict an accepted change.
	operator struct {
		soak *Soak

		mu               sync.Mutex
		changes          int
		reads            int
		acceptedRevision uint64         // The highest revision that was accepted.
		queueLengths     map[uint64]int // The queue length that each revision set.
		faults           []string
	}

	// reply is a control host's answer to a change or a read.
	reply struct {
		spec.Versioned
		Confirmed bool           `json:"confirmed"`
		Current   spec.Versioned `json:"current"`
	}
)

const (
	servicePath      = "/v1/services/" + serviceName
	operatorInterval = 150 * time.Millisecond
	operatorTimeout  = 5 * time.Second
	// baseQueueLength is the queue length in the first document. The n-th change
	// sets it to baseQueueLength plus n modulo distinctQueueLengths, so that a read
	// shows which change it returns.
	baseQueueLength      = 100
	distinctQueueLengths = 1000
	// recoveryTimeout is how long after all faults have ended control hosts may
	// take until every one of them answers a read with a majority's confirmation.
	recoveryTimeout = 20 * time.Second
)

// document returns the document that the n-th change sets.
func document(n int) spec.Service {
	doc := spec.Default()
	doc.Name = serviceName
	doc.Receive.PathPrefixes = []string{"/"}
	doc.Receive.Deadline = strict.Duration(callDeadline)
	doc.Targets.Slots = targetSlots
	doc.Hold.Length = baseQueueLength + n%distinctQueueLengths
	return doc
}

// createService creates the service's first document at the first control host. It
// does nothing if the document was accepted before.
func (o *operator) createService(ctx context.Context) error {
	if o.acceptedRevision > 0 {
		return nil
	}
	status, r, err := o.change(ctx, o.soak.controls[0], 0, 0)
	switch {
	case err != nil:
		return err
	case status != http.StatusOK:
		return errors.Errorf("soak: creating the service was answered with status %d", status)
	}
	o.recordAccepted(r.Revision, 0)
	return nil
}

// run changes the document until ctx ends, and concurrently reads it from every
// control host.
func (o *operator) run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for _, p := range o.soak.controls {
		group.Go(func() {
			for sleep(ctx, operatorInterval) {
				o.read(ctx, p)
			}
		})
	}
	rng := rand.New(rand.NewPCG(o.soak.seed, 3))
	for n := 1; sleep(ctx, operatorInterval); n++ {
		o.changeUntilAccepted(ctx, rng, n)
	}
}

// randomControl returns a control host drawn from rng.
func (o *operator) randomControl(rng *rand.Rand) *process {
	return o.soak.controls[rng.IntN(len(o.soak.controls))]
}

// changeUntilAccepted sends the n-th change again and again, each time to a random
// control host, until it is accepted or conflicts or ctx ends. A conflict is a fault.
func (o *operator) changeUntilAccepted(ctx context.Context, rng *rand.Rand, n int) {
	base := o.latestAccepted()
	for again := ctx.Err() == nil; again; again = sleep(ctx, operatorInterval/3) {
		status, r, err := o.change(ctx, o.randomControl(rng), base, n)
		switch {
		case err == nil && status == http.StatusOK:
			o.recordAccepted(r.Revision, n)
			return
		case err == nil && status == http.StatusConflict:
			// There is only one operator, and a change that got no answer is
			// retried under the same key, so no other change can conflict.
			o.addFault("change %d, based on revision %d, conflicts with revision %d", n, base, r.Current.Revision)
			return
		}
	}
}

// latestAccepted returns the highest revision that was accepted.
func (o *operator) latestAccepted() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.acceptedRevision
}

// recordAccepted records that the n-th change was accepted as the given revision. It
// is a fault if that is not the next revision.
func (o *operator) recordAccepted(revision uint64, n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.changes++
	if revision != o.acceptedRevision+1 {
		o.faults = append(o.faults, fmt.Sprintf("change %d, based on revision %d, was accepted as revision %d", n, o.acceptedRevision, revision))
	}
	o.acceptedRevision = max(o.acceptedRevision, revision)
	o.queueLengths[revision] = baseQueueLength + n%distinctQueueLengths
}

// addFault records an answer of a control host that contradicts an accepted change.
func (o *operator) addFault(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = append(o.faults, fmt.Sprintf(format, args...))
}

// read reads the document through a control host and checks it against the accepted
// changes. A contradiction is recorded as a fault. It reports whether a majority
// confirmed that the document is the newest.
func (o *operator) read(ctx context.Context, control *process) bool {
	latest := o.latestAccepted()
	status, r, err := o.request(ctx, control, http.MethodGet, servicePath, nil, nil)
	if err != nil || status != http.StatusOK || !r.Confirmed {
		return false
	}
	o.mu.Lock()
	o.reads++
	want, known := o.queueLengths[r.Revision]
	o.mu.Unlock()
	if r.Revision < latest {
		o.addFault("%s read revision %d after %d had been accepted", control.name, r.Revision, latest)
	}
	var doc spec.Service
	if err = json.Unmarshal(r.Body, &doc); err != nil {
		o.addFault("%s read revision %d, which is not a document: %v", control.name, r.Revision, err)
		return true
	}
	if known && want != doc.Hold.Length {
		o.addFault("%s read queue length %d in revision %d, which had set %d", control.name, doc.Hold.Length, r.Revision, want)
	}
	return true
}

// readFromAll checks, after all faults have ended, that a read at every control host
// succeeds within recoveryTimeout.
func (o *operator) readFromAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	for _, p := range o.soak.controls {
		for !o.read(ctx, p) {
			if !sleep(ctx, pollInterval) {
				o.addFault("%s could not read the service within %s after all faults", p.name, recoveryTimeout)
				return
			}
		}
	}
}

// addTo adds the operator's counts and faults to a report.
func (o *operator) addTo(r *Report) {
	r.Changes, r.Reads, r.LostChanges = o.changes, o.reads, len(o.faults)
	r.Faults = append(r.Faults, o.faults...)
}

// change sends the n-th change, based on revision base, to a control host. It returns
// the status and the reply, or an error if no answer came.
func (o *operator) change(ctx context.Context, control *process, base uint64, n int) (int, reply, error) {
	body, err := json.Marshal(document(n))
	if err != nil {
		return 0, reply{}, errors.Wrap(err, "soak: document")
	}
	header := http.Header{}
	header.Set("If-Match", strconv.FormatUint(base, 10))
	header.Set("Idempotency-Key", "soak-"+strconv.Itoa(n))
	return o.request(ctx, control, http.MethodPut, servicePath, body, header)
}

// request sends a request to a path of a control host. It returns the status and
// the reply, or an error if no answer in JSON came within operatorTimeout.
func (o *operator) request(ctx context.Context, control *process, method, path string, body []byte, header http.Header) (int, reply, error) {
	var (
		req  *http.Request
		resp *http.Response
		r    reply
		err  error
	)
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	url := "http://" + o.soak.adminAddress[control].String() + path
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
