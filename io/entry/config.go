package entry

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/engine"
	"cardamomspool/core/follow"
	"cardamomspool/core/quorum"
	"cardamomspool/core/spec"
	"cardamomspool/io/disk"
)

type (
	// configuration manages the service documents of this host. It restores
	// them from the data folder, receives new ones from control hosts over watch
	// streams, saves these and then puts them in force.
	configuration struct {
		host     *Host
		stopping atomic.Bool // The host stops, so ready is false.

		mu       sync.Mutex
		follower *follow.Follower
		folder   *disk.Folder // nil without a data folder.
		trusted  bool         // The folder held all confirmed documents at the start.
		complete bool         // The documents have been confirmed, now or in an earlier run.
		started  time.Time    // When open was called.
		controls []*watchState
		// confirmed is closed when the documents have been confirmed since the start.
		confirmed chan struct{}
	}

	// documentStatus is the state of the documents as shown to operators.
	documentStatus struct {
		// State is confirmed, restored or waiting.
		State string `json:"state"`
		// InForce is the number of services.
		InForce int `json:"in_force"`
		// Revisions is the sum of the revisions in force.
		Revisions uint64 `json:"revisions"`
		// Accounts is the revision of the client accounts in force; 0 for none.
		Accounts uint64 `json:"accounts,omitempty"`
		// Reported is the number of control hosts that have sent all documents
		// that they know to be chosen, since the start.
		Reported int `json:"controls_reported"`
		// Needed is the number of control hosts that form a majority.
		Needed int `json:"controls_needed"`
		// Streams is the number of streams on which a control host has reported.
		Streams int `json:"streams"`
		// Behind names documents of which a newer revision exists.
		Behind []string `json:"behind,omitempty"`
	}

	// completeMark is saved once the data folder holds all confirmed documents.
	completeMark struct {
		Confirmed bool `json:"confirmed"`
	}
)

const (
	stateConfirmed = "confirmed"
	stateRestored  = "restored"
	stateWaiting   = "waiting"

	documentPrefix   = "document-"
	completeMarkName = "whole"
	// maxConfirmWait is how long a host that restored all confirmed documents
	// waits for newer ones before it reports ready.
	maxConfirmWait = 2 * time.Second
	// waitingLogInterval is the time between two warnings of a host whose
	// documents are not confirmed.
	waitingLogInterval = 5 * time.Second
)

func newConfiguration(h *Host) *configuration {
	c := &configuration{host: h, follower: follow.New(len(h.cfg.Controls)), started: time.Now(), confirmed: make(chan struct{})}
	for _, p := range h.cfg.Controls {
		c.controls = append(c.controls, &watchState{peer: p})
	}
	return c
}

// open restores the documents of the data folder, if there is one. It returns an
// error if the folder cannot be opened or listed. A damaged file is no error: its
// document must then be confirmed.
func (c *configuration) open() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started = time.Now()
	if c.host.cfg.DataFolder == "" {
		c.host.log.Warn("no data folder: calls are refused until a majority of control hosts has confirmed the documents",
			"controls", len(c.controls))
		return nil
	}
	var (
		names []string
		err   error
	)
	if c.folder, err = disk.Open(c.host.cfg.DataFolder); err != nil {
		return err
	}
	if names, err = c.folder.Names(); err != nil {
		return err
	}
	damaged := 0
	for _, name := range names {
		if strings.HasPrefix(name, documentPrefix) && !c.restore(name) {
			damaged++
		}
	}
	var mark completeMark
	if err = c.folder.Load(completeMarkName, &mark); err == nil && mark.Confirmed && damaged == 0 {
		c.follower.Trust()
		c.trusted, c.complete = true, true
	}
	c.host.log.Info("documents restored", "files", len(names), "damaged", damaged, "trusted", c.trusted)
	return nil
}

// restore puts a saved document in force. It reports false for a damaged file,
// which is treated as lost: the document must then be confirmed.
func (c *configuration) restore(name string) bool {
	var (
		v   spec.Versioned
		err error
	)
	if err = c.folder.Load(name, &v); err != nil || documentPrefix+v.Name != name {
		c.host.log.Error("kept document is damaged", "file", name, "error", err)
		if name == documentPrefix+spec.AccountsName {
			c.host.denyKeys()
		}
		return false
	}
	c.applyAll(c.follower.Restore(nil, v))
	return true
}

// close releases the data folder.
func (c *configuration) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.folder == nil {
		return
	}
	if err := c.folder.Close(); err != nil {
		c.host.log.Error("data folder not closed", "error", err)
	}
	c.folder = nil
}

// update handles a chosen document from a control host.
func (c *configuration) update(v spec.Versioned) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.saveAndApply(c.follower.Update(nil, v))
}

// recordReport records that a control host has sent all documents that it knows
// to be chosen. accepted holds, by document name, newer revisions that it has
// accepted without knowing whether they are chosen.
func (c *configuration) recordReport(name string, accepted map[string]uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.saveAndApply(c.follower.Report(nil, name, accepted))
	count, needed := c.follower.Reported()
	c.host.log.Info("control host reported", "control", name, "reported", count, "needed", needed,
		"behind", c.follower.Outdated(), "confirmed", c.follower.Confirmed())
}

// saveAndApply saves documents, puts them in force and, once all documents are
// confirmed, marks the folder complete. The caller holds mu.
func (c *configuration) saveAndApply(list []spec.Versioned) {
	for _, v := range list {
		c.save(v)
	}
	c.applyAll(list)
	if c.follower.Confirmed() && !isClosed(c.confirmed) {
		close(c.confirmed)
	}
	if c.complete || !c.follower.Confirmed() {
		return
	}
	c.complete = true
	c.host.log.Info("documents confirmed", "after", time.Since(c.started).String())
	if c.folder == nil {
		return
	}
	if err := c.folder.Save(completeMarkName, completeMark{Confirmed: true}); err != nil {
		c.host.log.Error("data folder not marked as complete", "error", err)
	}
}

// save saves a document before it comes into force, so that a restart cannot
// bring back an older one. When the disk fails, the document still comes into
// force, since the operators' latest intent has priority, and the failure is
// counted.
func (c *configuration) save(v spec.Versioned) {
	if c.folder == nil {
		return
	}
	if err := c.folder.Save(documentPrefix+v.Name, v); err != nil {
		c.host.metrics.Counter("documents_unsaved").Add(1)
		c.host.log.Error("document not kept: a restart may bring back an older one", "service", v.Name,
			"revision", v.Revision, "error", err)
	}
}

// applyAll puts documents in force. It counts and logs those that are invalid.
func (c *configuration) applyAll(list []spec.Versioned) {
	for _, v := range list {
		if err := c.host.apply(v); err != nil {
			c.host.metrics.Counter("documents_refused").Add(1)
			c.host.log.Error("document refused", "service", v.Name, "revision", v.Revision, "error", err)
		}
	}
}

// ready reports whether this host should receive calls: it is not stopping, and
// its documents are confirmed, or the data folder held all confirmed documents and
// the host started at least maxConfirmWait ago.
func (c *configuration) ready() bool {
	if c.stopping.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.follower.Confirmed() || c.trusted && time.Since(c.started) >= maxConfirmWait
}

// synced reports whether the documents in force are the newest as far as control hosts in
// touch know: a majority has reported on its present streams, and nothing newer is known.
func (c *configuration) synced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streams() >= quorum.Majority(len(c.controls)) && len(c.follower.Outdated()) == 0
}

// streams returns the number of streams on which a control host has reported. The caller
// holds mu.
func (c *configuration) streams() int {
	n := 0
	for _, k := range c.controls {
		if k.reported {
			n++
		}
	}
	return n
}

// status returns the state of the documents and of the watch streams.
func (c *configuration) status() documentStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := documentStatus{State: stateWaiting, InForce: len(c.host.services.Load().list), Behind: c.follower.Outdated()}
	s.Reported, s.Needed = c.follower.Reported()
	for _, service := range c.host.services.Load().list {
		s.Revisions += service.revision
	}
	if v := c.host.documentAccounts.Load(); v != nil {
		s.Accounts = v.plan.Version
	}
	s.Streams = c.streams()
	switch {
	case c.follower.Confirmed():
		s.State = stateConfirmed
	case c.trusted:
		s.State = stateRestored
	}
	return s
}

// warnWhileWaiting logs a warning every waitingLogInterval until the documents
// are confirmed or ctx ends.
func (c *configuration) warnWhileWaiting(ctx context.Context) {
	ticker := time.NewTicker(waitingLogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s := c.status()
		if s.State == stateConfirmed {
			return
		}
		c.host.log.Warn("documents not confirmed", "state", s.State, "reported", s.Reported, "needed", s.Needed, "behind", s.Behind)
	}
}

// apply puts a document in force, or removes its service, or the accounts, if it is deleted.
// It returns an error if the document is invalid. The caller holds the mutex of the
// configuration and passes only documents newer than those in force.
func (h *Host) apply(v spec.Versioned) error {
	if v.Name == spec.AccountsName {
		return h.applyAccounts(v)
	}
	current := h.services.Load()
	old := current.byName[v.Name]
	if v.Deleted {
		h.services.Store(current.without(v.Name))
		if old != nil {
			h.system.Root.Stop(old.pid)
		}
		h.log.Info("service removed", "service", v.Name, "revision", v.Revision)
		return nil
	}
	doc, faults := spec.Parse(v.Body)
	if err := faults.Err(); err != nil {
		return errors.Wrap(err, "entry: document")
	}
	s := &service{doc: doc, revision: v.Revision}
	if old != nil {
		s.pid = old.pid
		h.system.Root.Send(s.pid, engine.Configure{Document: doc})
	} else {
		s.pid = h.spawnEngine(doc)
	}
	h.services.Store(current.with(s))
	h.members.publishTargets(v.Name)
	h.log.Info("document in force", "service", v.Name, "revision", v.Revision)
	return nil
}
