package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/keys"
	"cardamomspool/core/spec"
	"cardamomspool/io/admin"
)

type (
	// keyring changes the document of the client accounts repeatedly: each change withdraws
	// a key and adds another. It knows which keys an entry host must refuse.
	keyring struct {
		soak *Soak

		mu       sync.Mutex
		accepted uint64 // The highest revision that was accepted.
		changes  int
		// withdrawn holds the revision in which the n-th key was withdrawn.
		withdrawn map[int]uint64
		// inForce holds the highest revision that each entry host has shown to be in force.
		inForce map[*process]uint64
		faults  []string
	}

	// callKey is the key of a call.
	callKey struct {
		text    string // Empty for none.
		account string // Empty if the key was never valid.
		valid   bool   // The key is never withdrawn.
		// forbidden says that the call must not run: the key was never valid, or its
		// withdrawal had been in force at the entry host when the call began.
		forbidden bool
	}

	// sighting is what a target saw of a call: the account, and whether there was a key.
	sighting struct {
		account string
		hasKey  bool
	}
)

const (
	// accountsInterval is the time between two changes of the accounts.
	accountsInterval = 300 * time.Millisecond
	steadyAccount    = "steady"
	steadyKey        = "key-steady"
	changingAccount  = "changing"
	// One in forbiddenOneIn calls has an unknown key or none, and one in changingOneIn calls
	// one of the latest recentKeys keys that are added and withdrawn.
	forbiddenOneIn = 20
	changingOneIn  = 8
	recentKeys     = 4
	// seenKey follows the account in the record of a call that came with a key.
	seenKey = " key"
)

// changingKey returns the n-th key that is added and withdrawn.
func changingKey(n int) string {
	return "key-changing-" + strconv.Itoa(n)
}

// accountsDocument returns the accounts that the n-th change sets.
func accountsDocument(n int) *spec.Accounts {
	last := 1
	return &spec.Accounts{Accounts: []spec.Account{
		{Name: steadyAccount, Keys: []string{steadyKey}},
		{Name: changingAccount, Keys: []string{changingKey(n)}, Rank: &last},
	}}
}

// create makes the first document at the first control host, if it was not accepted before.
func (k *keyring) create(ctx context.Context) error {
	k.mu.Lock()
	created := k.accepted > 0
	k.mu.Unlock()
	if created {
		return nil
	}
	status, r, err := k.change(ctx, k.soak.controls[0], 0, 0)
	switch {
	case err != nil:
		return err
	case status != http.StatusOK:
		return errors.Errorf("soak: creating the accounts was answered with status %d", status)
	}
	k.recordAccepted(r.Revision, 0)
	return nil
}

// run changes the accounts until ctx ends, and observes what is in force at entry hosts.
func (k *keyring) run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for _, p := range k.soak.entries {
		group.Go(func() {
			for sleep(ctx, pollInterval) {
				k.observe(ctx, p)
			}
		})
	}
	rng := rand.New(rand.NewPCG(k.soak.seed, 4))
	for n := 1; sleep(ctx, accountsInterval); n++ {
		if !k.changeUntilAccepted(ctx, rng, n) {
			return
		}
	}
}

// changeUntilAccepted sends the n-th change to random control hosts until it is accepted.
// It reports false if ctx ends first or the change conflicts, which is a fault.
func (k *keyring) changeUntilAccepted(ctx context.Context, rng *rand.Rand, n int) bool {
	k.mu.Lock()
	base := k.accepted
	k.mu.Unlock()
	for ctx.Err() == nil {
		status, r, err := k.change(ctx, k.soak.operator.randomControl(rng), base, n)
		switch {
		case err == nil && status == http.StatusOK:
			k.recordAccepted(r.Revision, n)
			return true
		case err == nil && status == http.StatusConflict:
			k.mu.Lock()
			defer k.mu.Unlock()
			k.faults = append(k.faults, fmt.Sprintf("change %d of the accounts, based on revision %d, conflicts with revision %d", n, base, r.Current.Revision))
			return false
		}
		sleep(ctx, operatorInterval/3)
	}
	return false
}

// change sends the n-th change of the accounts to a control host.
func (k *keyring) change(ctx context.Context, control *process, base uint64, n int) (int, reply, error) {
	header := http.Header{}
	header.Set(admin.HeaderBaseRevision, strconv.FormatUint(base, 10))
	header.Set(admin.HeaderIdempotencyKey, "soak-accounts-"+strconv.Itoa(n))
	body := spec.CanonicalAccounts(*accountsDocument(n))
	return k.soak.operator.request(ctx, control, http.MethodPut, admin.AccountsDocumentPath, body, header)
}

// recordAccepted records that the n-th change was accepted: the key before its own is
// withdrawn.
func (k *keyring) recordAccepted(revision uint64, n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if revision != k.accepted+1 {
		k.faults = append(k.faults, fmt.Sprintf("change %d of the accounts, based on revision %d, was accepted as revision %d", n, k.accepted, revision))
	}
	k.accepted, k.changes = max(k.accepted, revision), n
	k.withdrawn[n-1] = revision
}

// observe records the revision of the accounts that is in force at an entry host. A host may
// have an older one after a restart only before it is ready, when it serves no calls.
func (k *keyring) observe(ctx context.Context, p *process) {
	var vars struct {
		Documents struct {
			Accounts uint64 `json:"accounts"`
		} `json:"documents"`
	}
	if k.soak.readVars(ctx, p, &vars) != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.inForce[p] = max(k.inForce[p], vars.Documents.Accounts)
}

// draw draws the key of a call that begins now at an entry host.
func (k *keyring) draw(rng *rand.Rand, entry *process) callKey {
	switch {
	case rng.IntN(forbiddenOneIn) == 0:
		text := ""
		if rng.IntN(2) == 0 {
			text = "key-unknown-" + strconv.Itoa(rng.IntN(recentKeys))
		}
		return callKey{text: text, forbidden: true}
	case rng.IntN(changingOneIn) != 0:
		return callKey{text: steadyKey, account: steadyAccount, valid: true}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	n := max(k.changes-rng.IntN(recentKeys), 0)
	revision, withdrawn := k.withdrawn[n]
	return callKey{text: changingKey(n), account: changingAccount, forbidden: withdrawn && k.inForce[entry] >= revision}
}

// set has a request carry the key.
func (c *callKey) set(h http.Header) {
	if c.text != "" {
		h.Set(keys.Field, keys.Scheme+" "+c.text)
	}
}

// formatSighting returns the record of a call at a target.
func formatSighting(id string, h http.Header) string {
	line := id + " " + h.Get("Spool-Account")
	if len(h[keys.Field]) > 0 {
		line += seenKey
	}
	return line + "\n"
}

// readSightings reads the record files of all targets and returns what they saw of each call
// that carried an account or a key, by its id.
func readSightings(files []string) (map[string][]sighting, error) {
	seen := make(map[string][]sighting)
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "soak: target record")
		}
		lines := bufio.NewScanner(file)
		for lines.Scan() {
			id, rest, _ := strings.Cut(lines.Text(), " ")
			account, hasKey := strings.CutSuffix(rest, seenKey)
			seen[id] = append(seen[id], sighting{account: account, hasKey: hasKey})
		}
		file.Close()
		if err = lines.Err(); err != nil {
			return nil, errors.Wrap(err, "soak: target record")
		}
	}
	return seen, nil
}

// checkKeys adds what went wrong with the keys of calls. seen is what targets saw of them.
func (r *Report) checkKeys(records []callRecord, seen map[string][]sighting) {
	for i := range records {
		c := &records[i]
		if c.key.forbidden {
			r.Forbidden++
		}
		if c.key.forbidden && len(seen[c.id]) > 0 {
			r.addFault(&r.ForbiddenRan, c, "ran with the key "+strconv.Quote(c.key.text)+", which its entry host had to refuse")
		}
		if c.key.valid && c.status == http.StatusUnauthorized {
			r.addFault(&r.ValidRefused, c, "was refused with a valid key")
		}
		for _, s := range seen[c.id] {
			if s.hasKey || s.account != c.key.account {
				r.addFault(&r.WrongAccounts, c, fmt.Sprintf("reached a target as account %q, with a key %t", s.account, s.hasKey))
			}
		}
	}
}

// addTo adds the changes of the accounts and their faults to a report.
func (k *keyring) addTo(r *Report) {
	k.mu.Lock()
	defer k.mu.Unlock()
	r.KeyChanges = k.changes
	r.LostChanges += len(k.faults)
	r.Faults = append(r.Faults, k.faults...)
}
