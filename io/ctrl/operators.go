package ctrl

import (
	"context"
	"net/http"

	"cardamomspool/core/spec"
	"cardamomspool/io/admin"
	"cardamomspool/io/consol"
)

// operatorsHandler returns the handler of the operators' API and the console.
func (h *Host) operatorsHandler() http.Handler {
	fleet := admin.NewFleet(h.cfg.Entries)
	shown := []consol.Option{consol.WithToken(h.token), consol.WithFleet(fleet), consol.WithLogger(h.log)}
	accounts := func(ctx context.Context) []admin.AccountUse { return h.documentAccounts(ctx, fleet) }
	if h.fleet != nil {
		accounts = func(context.Context) []admin.AccountUse { return h.Accounts() }
	} else {
		shown = append(shown, consol.WithAccountsForm())
	}
	shown = append(shown, consol.WithAccounts(accounts))
	opts := []admin.Option{admin.WithFleet(fleet), admin.WithAccounts(accounts)}
	if h.fleet != nil {
		shown = append(shown, consol.WithEvacuation(h.Evacuation))
		opts = append(opts, admin.WithEvacuator(h))
	}
	opts = append(opts, admin.WithPages(consol.New(h, h.cfg.Host, shown...)))
	return admin.NewControl(h, h.token, h.metrics, h.log, opts...)
}

// documentAccounts returns the use of the client accounts of a host outside a fleet, as the
// entry hosts of the settings know it, or nothing without accounts.
func (h *Host) documentAccounts(ctx context.Context, entries *admin.Fleet) []admin.AccountUse {
	v, ok := h.Get(spec.AccountsName)
	if !ok {
		return nil
	}
	doc, faults := spec.ParseAccounts(v.Body)
	if err := faults.Err(); err != nil {
		h.log.Error("client accounts cannot be read by this version", "revision", v.Revision, "error", err)
		return nil
	}
	list := make([]admin.AccountUse, 0, len(doc.Accounts))
	for _, a := range doc.Accounts {
		list = append(list, admin.AccountUse{Account: a.Name, Rank: a.Rank, Rate: a.Rate, Burst: a.Burst})
	}
	entries.AddAccounts(ctx, list)
	return list
}
