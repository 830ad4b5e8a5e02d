package entry

import (
	"github.com/pkg/errors"

	"cardamomspool/core/keys"
	"cardamomspool/core/plan"
	"cardamomspool/core/spec"
)

// applyAccounts puts the document of the client accounts in force, or removes the accounts if
// it is deleted. If the document is invalid, the accounts in force stay; without any, no key
// is accepted, since calls without a key must not be served while there are accounts. It is
// called by apply.
func (h *Host) applyAccounts(v spec.Versioned) error {
	if v.Deleted {
		h.quota.SetAccounts(nil)
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
	h.quota.SetAccounts(p.Accounts)
	h.documentAccounts.Store(&activePlan{plan: p, accounts: newAccounts(p)})
	h.log.Info("client accounts in force", "accounts", len(p.Accounts), "revision", v.Revision)
	return nil
}

// denyKeys has no key be accepted, unless there are accounts in force: there are some that
// this host cannot read.
func (h *Host) denyKeys() {
	h.documentAccounts.CompareAndSwap(nil, &activePlan{plan: &plan.Plan{}, accounts: new(keys.Table), unreadable: true})
}
