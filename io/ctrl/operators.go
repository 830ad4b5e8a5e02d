package ctrl

import (
	"net/http"

	"cardamomspool/io/admin"
	"cardamomspool/io/consol"
)

// operatorsHandler returns the handler of the operators' API and the console.
func (h *Host) operatorsHandler() http.Handler {
	fleet := admin.NewFleet(h.cfg.Entries)
	pages := consol.New(h, h.cfg.Host, consol.WithToken(h.token), consol.WithFleet(fleet), consol.WithLogger(h.log))
	return admin.NewControl(h, h.token, h.metrics, h.log, admin.WithFleet(fleet), admin.WithPages(pages), admin.WithAccounts(h.Accounts))
}
