package soak

import (
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a check that misses a call with a wrong key that ran, or finds fault with
// calls that are right.
func TestCheckKeysDetectsEachFault(t *testing.T) {
	g := gomega.NewWithT(t)
	entry := &process{name: "entry-1"}
	steady := callKey{text: steadyKey, account: steadyAccount, valid: true}
	records := []callRecord{
		{id: "fine", entry: entry, key: steady, status: http.StatusOK},
		{id: "refused", entry: entry, key: callKey{text: "unknown", forbidden: true}, status: http.StatusUnauthorized},
		{id: "late", entry: entry, key: callKey{text: "key-changing-1", account: changingAccount}, status: http.StatusOK},
		{id: "ran", entry: entry, key: callKey{text: "key-changing-1", account: changingAccount, forbidden: true}},
		{id: "denied", entry: entry, key: steady, status: http.StatusUnauthorized},
		{id: "other", entry: entry, key: steady, status: http.StatusOK},
		{id: "leaked", entry: entry, key: steady, status: http.StatusOK},
	}
	file := filepath.Join(t.TempDir(), "record")
	g.Expect(os.WriteFile(file, []byte(
		formatSighting("fine", http.Header{"Spool-Account": {steadyAccount}})+
			formatSighting("late", http.Header{"Spool-Account": {changingAccount}})+
			formatSighting("ran", http.Header{"Spool-Account": {changingAccount}})+
			formatSighting("other", http.Header{"Spool-Account": {changingAccount}})+
			formatSighting("leaked", http.Header{"Spool-Account": {steadyAccount}, "Authorization": {"Bearer k"}})), 0o600)).To(gomega.Succeed())
	seen, err := readSightings([]string{file})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(readRuns([]string{file})).To(gomega.HaveKeyWithValue("leaked", 1))
	var report Report
	report.checkKeys(records, seen)
	g.Expect([]int{report.Forbidden, report.ForbiddenRan, report.ValidRefused, report.WrongAccounts}).To(gomega.Equal([]int{2, 1, 1, 2}))
	g.Expect(report.Faults).To(gomega.HaveLen(4))
}

// Guards against a run that never calls with a key that its entry host must refuse, or takes
// a key as withdrawn that the host cannot know of.
func TestWithdrawnKeysAreForbiddenOnceInForce(t *testing.T) {
	g := gomega.NewWithT(t)
	knows, behind := &process{}, &process{}
	k := &keyring{withdrawn: make(map[int]uint64), inForce: map[*process]uint64{knows: 6, behind: 1}}
	for n := range 6 {
		k.recordAccepted(uint64(n+1), n)
	}
	g.Expect(k.faults).To(gomega.BeEmpty())
	rng, forbidden := rand.New(rand.NewPCG(1, 1)), 0
	for range 2000 {
		if key := k.draw(rng, knows); key.account == changingAccount {
			g.Expect(key.forbidden).To(gomega.Equal(key.text != changingKey(5)))
			if key.forbidden {
				forbidden++
			}
		}
		if key := k.draw(rng, behind); key.account == changingAccount {
			g.Expect(key.forbidden).To(gomega.BeFalse(), "the withdrawal is not in force there")
		}
	}
	g.Expect(forbidden).To(gomega.BeNumerically(">", 100))
}

// Guards against a check that lets a call that is not idempotent be sent again after a reset.
func TestCallsAreNotSentAgainAfterAReset(t *testing.T) {
	g := gomega.NewWithT(t)
	entry := &process{name: "entry-1"}
	records := []callRecord{{id: "again", entry: entry}, {id: "safe", entry: entry, idempotent: true}, {id: "lost", entry: entry}}
	var report Report
	report.checkResets(records, map[string]int{"again": 1, "safe": 1}, map[string]int{"again": 1, "safe": 2, "lost": 1})
	g.Expect([]int{report.Resets, report.RanTwice}).To(gomega.Equal([]int{3, 1}))
}
