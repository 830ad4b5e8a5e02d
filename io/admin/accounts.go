package admin

import "net/http"

// AccountUse is the use of a client account's quota as one control host knows it.
type AccountUse struct {
	// Account is the name of the account.
	Account string `json:"account"`
	// Rate and Burst are its quota; a Rate of 0 means that there is none.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Room is the number of calls that may be made at once.
	Room float64 `json:"room"`
	// Used is the number of calls of all hosts in the last window, and Refused that of
	// the calls that this host has refused.
	Used    int `json:"used"`
	Refused int `json:"refused"`
	// Restricted says that the host hears no majority, so that it admits only as much
	// as an entry host alone and its numbers may be old.
	Restricted bool `json:"restricted"`
}

// AccountsPath is where a control host serves its list of AccountUse.
const AccountsPath = "/v1/accounts"

// WithAccounts sets the function that returns the use of client accounts.
func WithAccounts(accounts func() []AccountUse) Option {
	return func(c *control) { c.accounts = accounts }
}

// noAccounts returns an empty list.
func noAccounts() []AccountUse {
	return nil
}

func (c *control) listAccounts(w http.ResponseWriter, _ *http.Request) {
	list := c.accounts()
	if list == nil {
		list = []AccountUse{}
	}
	reply(w, http.StatusOK, list)
}
