package admin

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"cardamomspool/core/spec"
)

// AccountUse is the use of a client account's quota as one host knows it: a control host of
// a fleet, or an entry host without a fleet. A control host without a fleet adds up what
// entry hosts know.
type AccountUse struct {
	// Account is the name of the account.
	Account string `json:"account"`
	// Rank is the priority of the account's calls; nil when the account has none.
	Rank *int `json:"rank,omitempty"`
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
	// Limited says that the account has no room at present, or had none lately, at some
	// host at least.
	Limited bool `json:"limited"`
	// Unheard is the number of entry hosts that have not answered, whose numbers are
	// missing; always 0 in a fleet.
	Unheard int `json:"unheard,omitempty"`
}

const (
	// AccountsPath is where a control host serves its list of AccountUse.
	AccountsPath = "/v1/accounts"
	// AccountsDocumentPath is where a control host without a fleet serves the document of
	// the client accounts, as it serves those of services.
	AccountsDocumentPath = AccountsPath + "/document"
)

// State returns what an operator must know of the numbers and the quota, or a dash.
func (a *AccountUse) State() string {
	var parts []string
	if a.Limited {
		parts = append(parts, "limited")
	}
	if a.Restricted {
		parts = append(parts, "no majority heard")
	}
	if a.Unheard > 0 {
		parts = append(parts, strconv.Itoa(a.Unheard)+" entry hosts not heard")
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ", ")
}

// WithAccounts sets the function that returns the use of client accounts.
func WithAccounts(accounts func(context.Context) []AccountUse) Option {
	return func(c *control) { c.accounts = accounts }
}

// noAccounts returns an empty list.
func noAccounts(context.Context) []AccountUse {
	return nil
}

func (c *control) listAccounts(w http.ResponseWriter, r *http.Request) {
	list := c.accounts(r.Context())
	if list == nil {
		list = []AccountUse{}
	}
	reply(w, http.StatusOK, list)
}

// handleAccounts adds the paths of client accounts to mux. In a fleet the accounts are part of
// the plan, and the paths of their document do not exist.
func (c *control) handleAccounts(mux *http.ServeMux) {
	mux.HandleFunc("GET "+AccountsPath, c.listAccounts)
	if c.evacuator != nil {
		return
	}
	mux.HandleFunc("GET "+AccountsDocumentPath, ofAccounts(c.get))
	mux.HandleFunc("PUT "+AccountsDocumentPath, ofAccounts(c.put))
	mux.HandleFunc("DELETE "+AccountsDocumentPath, ofAccounts(c.delete))
	mux.HandleFunc("GET "+AccountsDocumentPath+"/history", ofAccounts(c.history))
	mux.HandleFunc("POST "+AccountsPath+"/validate", c.validateAccounts)
}

// ofAccounts returns a handler that has next handle requests about the document of the
// accounts.
func ofAccounts(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.SetPathValue("name", spec.AccountsName)
		next(w, r)
	}
}

// ofService returns a handler that has next handle requests about services, and no request
// about another document.
func ofService(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if name := r.PathValue("name"); name == spec.AccountsName {
			reply(w, http.StatusNotFound, Problem{Error: "no such service"})
			return
		}
		next(w, r)
	}
}

// missing returns the text of the error about a document that does not exist.
func missing(name string) string {
	if name == spec.AccountsName {
		return "no client accounts"
	}
	return "no such service"
}

func (c *control) validateAccounts(w http.ResponseWriter, r *http.Request) {
	body, ok := readDocument(w, r, spec.MaxAccountsBytes)
	if !ok {
		return
	}
	doc, faults := spec.ParseAccounts(body)
	replyValidated(w, spec.CanonicalAccounts(doc), faults)
}

// AddAccounts adds to the accounts in list, of which only names, ranks and quotas are set,
// what all entry hosts of f know of them. It queries the hosts in parallel and within
// queryTimeout.
func (f *Fleet) AddAccounts(ctx context.Context, list []AccountUse) {
	var (
		group sync.WaitGroup
		mu    sync.Mutex
		heard = make(map[string][]AccountUse, len(list))
		lost  int
	)
	for _, e := range f.entries {
		group.Go(func() {
			var answer []AccountUse
			err := f.fetch(ctx, e, AccountsPath, nil, &answer)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				lost++
				return
			}
			for _, a := range answer {
				heard[a.Account] = append(heard[a.Account], a)
			}
		})
	}
	group.Wait()
	for i := range list {
		a := &list[i]
		a.Unheard = lost
		for _, part := range heard[a.Account] {
			a.Room += part.Room
			a.Used += part.Used
			a.Refused += part.Refused
			a.Limited = a.Limited || part.Limited
		}
	}
}
