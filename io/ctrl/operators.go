package ctrl

import (
	"net/http"

	"cardamomspool/io/admin"
	"cardamomspool/io/consol"
)

// operatorsHandler returns the handler of the operators' API and the console.
func (h *Host) operatorsHandler() http.Handler {
	fleet := admin.NewFleet(h.cfg.Entries)
	shown := []consol.Option{consol.WithToken(h.token), consol.WithFleet(fleet), consol.WithLogger(h.log)}
	opts := []admin.Option{admin.WithFleet(fleet), admin.WithAccounts(h.Accounts)}
	if h.fleet != nil {
		shown = append(shown, consol.WithEvacuation(h.Evacuation))
		opts = append(opts, admin.WithEvacuator(h))
	}
	opts = append(opts, admin.WithPages(consol.New(h, h.cfg.Host, shown...)))
	return admin.NewControl(h, h.token, h.metrics, h.log, opts...)
}
