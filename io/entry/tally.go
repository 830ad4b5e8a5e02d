package entry

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"cardamomspool/core/engine"
)

type (
	// accountTally counts the calls of client accounts by how they were decided. The zero
	// value is ready for use. It is safe for concurrent use.
	accountTally struct {
		mu       sync.Mutex
		accounts map[string]*accountCalls
		others   accountCalls // Of the accounts beyond maxTallied.
	}

	// accountCalls counts the calls of one account since the start of the process.
	accountCalls struct {
		// Admitted counts the calls that were sent to a target at least once.
		Admitted int64 `json:"admitted"`
		// OverQuota and NoRoom count the calls that were refused over the quota and for lack
		// of room at targets or in the queue.
		OverQuota int64 `json:"over_quota"`
		NoRoom    int64 `json:"no_room"`
		logged    int64 // The value of NoRoom in the last log line.
	}

	// accountCounts is the metric calls_by_account.
	accountCounts struct {
		Accounts map[string]accountCalls `json:"accounts"`
		Others   accountCalls            `json:"others"`
	}
)

const (
	// maxTallied is the number of accounts that are counted one by one, three times that of
	// the largest deployment. The memory of the metric is thus bounded.
	maxTallied = 256
	// noRoomLogPeriod is the time between two log lines about one account, and maxNoRoomLines
	// the number of accounts that are named each time.
	noRoomLogPeriod = 10 * time.Second
	maxNoRoomLines  = 20
)

// of returns the counts of an account. The caller holds mu.
func (t *accountTally) of(account string) *accountCalls {
	if n, ok := t.accounts[account]; ok {
		return n
	}
	if len(t.accounts) >= maxTallied {
		return &t.others
	}
	if t.accounts == nil {
		t.accounts = make(map[string]*accountCalls)
	}
	n := &accountCalls{}
	t.accounts[account] = n
	return n
}

// admit counts a call that is sent to a target for the first time. It does nothing for calls
// without an account.
func (t *accountTally) admit(account string) {
	if account == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.of(account).Admitted++
}

// refuse counts a refused call. Refusals for other reasons than the quota and lack of room
// are not counted, nor those of calls without an account.
func (t *accountTally) refuse(account string, reason engine.Reason) {
	if account == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch reason {
	case engine.OverQuota:
		t.of(account).OverQuota++
	case engine.NoProspect, engine.QueueFull, engine.WaitedTooLong, engine.TooManyOpen:
		t.of(account).NoRoom++
	}
}

// counts returns all counts.
func (t *accountTally) counts() any {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := accountCounts{Accounts: make(map[string]accountCalls, len(t.accounts)), Others: t.others}
	for name, n := range t.accounts {
		c.Accounts[name] = *n
	}
	return c
}

// logNoRoom logs the accounts of which calls were refused for lack of room since the last
// call: those with the most such calls, and how many others there are.
func (t *accountTally) logNoRoom(log *slog.Logger) {
	type refusals struct {
		account string
		n       int64
	}
	var list []refusals
	t.mu.Lock()
	for name, n := range t.accounts {
		if n.NoRoom > n.logged {
			list = append(list, refusals{name, n.NoRoom - n.logged})
			n.logged = n.NoRoom
		}
	}
	t.mu.Unlock()
	slices.SortFunc(list, func(a, b refusals) int {
		if a.n != b.n {
			return int(b.n - a.n)
		}
		return strings.Compare(a.account, b.account)
	})
	for _, r := range list[:min(len(list), maxNoRoomLines)] {
		log.Warn("account refused for lack of room", "account", r.account, "refused", r.n, "period", noRoomLogPeriod.String())
	}
	if omitted := len(list) - maxNoRoomLines; omitted > 0 {
		log.Warn("further accounts refused for lack of room", "accounts", omitted)
	}
}

// run logs refusals until ctx ends.
func (t *accountTally) run(ctx context.Context, log *slog.Logger) {
	ticker := time.NewTicker(noRoomLogPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			t.logNoRoom(log)
		}
	}
}
