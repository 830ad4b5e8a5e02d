package consol

import (
	"fmt"
	"net/http"
	"strconv"

	"cardamomspool/core/spec"
	"cardamomspool/io/admin"
)

type (
	accountsPage struct {
		page
		// Accounts is empty in a fleet without quotas, or without accounts.
		Accounts []accountRow
		// Document is the newest document of accounts that this host has learnt; nil for
		// none, as in a fleet.
		Document *admin.HistoryEntry
		// Unreadable says that this version cannot read the document.
		Unreadable bool
		// Form says that the accounts can be changed here.
		Form   bool
		Notice string
	}

	// accountRow is a client account with its keys, masked.
	accountRow struct {
		admin.AccountUse
		Keys []string
	}
)

// listAccounts shows the client accounts with their keys masked. If the query holds applied,
// the page says that the change with that revision is accepted.
func (c *Console) listAccounts(w http.ResponseWriter, r *http.Request, s session) {
	p := accountsPage{page: c.page("Client accounts", s), Form: c.accountsForm}
	keys := make(map[string][]string)
	if v, ok := c.store.Get(spec.AccountsName); ok {
		entry := c.latest(v)
		doc, faults := spec.ParseAccounts(v.Body)
		p.Document, p.Unreadable = &entry, len(faults) > 0
		for _, a := range doc.Masked().Accounts {
			keys[a.Name] = a.Keys
		}
	}
	if applied, err := strconv.ParseUint(r.URL.Query().Get("applied"), 10, 64); err == nil && p.Document != nil && applied <= p.Document.Revision {
		p.Notice = fmt.Sprintf("Revision %d is accepted: a majority of control hosts holds it on disk.", applied)
	}
	for _, a := range c.accounts(r.Context()) {
		p.Accounts = append(p.Accounts, accountRow{AccountUse: a, Keys: keys[a.Account]})
	}
	c.render(w, http.StatusOK, "accounts", p)
}
