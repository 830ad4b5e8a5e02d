package entry

import (
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/keys"
	"cardamomspool/core/plan"
	"cardamomspool/core/spec"
	"cardamomspool/io/admin"
)

// applyAccounts puts the document of the client accounts in force, or removes the accounts if
// it is deleted. If the document is invalid, the accounts in force stay; without any, no key
// is accepted, since calls without a key must not be served while there are accounts. It is
// called by apply.
func (h *Host) applyAccounts(v spec.Versioned) error {
	if v.Deleted {
		h.setAccounts(nil)
		h.documentAccounts.Store(nil)
		h.log.Info("client accounts removed", "revision", v.Revision)
		return nil
	}
	doc, faults := spec.ParseAccounts(v.Body)
	if err := faults.Err(); err != nil {
		h.denyKeys()
		return errors.Wrap(err, "entry: client accounts")
	}
	p := &plan.Plan{Version: v.Revision, Accounts: doc.Plan()}
	h.setAccounts(p.Accounts)
	h.documentAccounts.Store(&activePlan{plan: p, accounts: newAccounts(p)})
	h.log.Info("client accounts in force", "accounts", len(p.Accounts), "revision", v.Revision)
	return nil
}

// denyKeys has no key be accepted, unless there are accounts in force: there are some that
// this host cannot read.
func (h *Host) denyKeys() {
	h.documentAccounts.CompareAndSwap(nil, &activePlan{plan: &plan.Plan{}, accounts: new(keys.Table), unreadable: true})
}

// setAccounts puts the quotas of accounts in force and has their calls counted.
func (h *Host) setAccounts(accounts []plan.Account) {
	h.quota.SetAccounts(accounts)
	h.tally.SetAccounts(accounts)
}

// accountUse returns the use of the client accounts at this host alone.
func (h *Host) accountUse(now time.Time) []admin.AccountUse {
	list := []admin.AccountUse{}
	v := h.documentAccounts.Load()
	if v == nil {
		return list
	}
	for i := range v.plan.Accounts {
		a := &v.plan.Accounts[i]
		use := admin.AccountUse{Account: a.Name, Rank: a.Rank, Rate: a.Rate, Burst: a.Burst}
		use.Used, use.Refused = h.tally.Counts(a.Name, now)
		room, hasQuota := h.quota.Room(a.Name, now)
		use.Room, use.Limited = room, hasQuota && room < 1
		list = append(list, use)
	}
	return list
}
