package admin

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"cardamomspool/core/plan"
	"cardamomspool/core/quorum"
)

type (
	// Evacuator takes the orders to evacuate data centres.
	Evacuator interface {
		// SetEvacuated orders the evacuation of a data centre, or withdraws it. It
		// returns plan.ErrDataCentreName for an invalid name, and another error when the
		// outcome is unknown.
		SetEvacuated(ctx context.Context, dataCentre string, evacuated bool) error
		// Evacuation returns the evacuated data centres as known to this host, and the
		// revision of the agreed value that lists them.
		Evacuation() (uint64, []string)
	}

	// StatusView is the status of a control host with the orders in force.
	StatusView struct {
		quorum.Status
		// Version is that of the program; empty for builds that do not tell it.
		Version string `json:"version,omitempty"`
		// Evacuated lists the evacuated data centres.
		Evacuated []string `json:"evacuated,omitempty"`
	}

	// EvacuationView is the answer to a request for the orders in force.
	EvacuationView struct {
		// Revision is that of the agreed value; 0 when no order was ever given.
		Revision uint64 `json:"revision"`
		// DataCentres are the evacuated data centres.
		DataCentres []string `json:"data_centres"`
	}
)

// EvacuationsPath is where a control host of a fleet serves its EvacuationView; the path of
// an order follows it with a slash and the name of the data centre.
const EvacuationsPath = "/v1/evacuations"

// WithEvacuator sets what takes the orders to evacuate data centres. Without it the paths of
// orders do not exist.
func WithEvacuator(e Evacuator) Option {
	return func(c *control) { c.evacuator = e }
}

// handleEvacuations adds the paths of orders to mux.
func (c *control) handleEvacuations(mux *http.ServeMux) {
	if c.evacuator == nil {
		return
	}
	mux.HandleFunc("GET "+EvacuationsPath, func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, c.evacuation())
	})
	mux.HandleFunc("POST "+EvacuationsPath+"/{name}", func(w http.ResponseWriter, r *http.Request) { c.setEvacuated(w, r, true) })
	mux.HandleFunc("DELETE "+EvacuationsPath+"/{name}", func(w http.ResponseWriter, r *http.Request) { c.setEvacuated(w, r, false) })
}

// evacuation returns the orders in force.
func (c *control) evacuation() EvacuationView {
	v := EvacuationView{DataCentres: []string{}}
	revision, list := c.evacuator.Evacuation()
	v.Revision = revision
	v.DataCentres = append(v.DataCentres, list...)
	return v
}

// setEvacuated carries out an order and answers with the orders then in force.
func (c *control) setEvacuated(w http.ResponseWriter, r *http.Request, evacuated bool) {
	err := c.evacuator.SetEvacuated(r.Context(), r.PathValue("name"), evacuated)
	switch {
	case err == nil:
		reply(w, http.StatusOK, c.evacuation())
	case errors.Is(err, plan.ErrDataCentreName):
		reply(w, http.StatusBadRequest, Problem{Error: err.Error()})
	default:
		w.Header().Set("Retry-After", "1")
		reply(w, http.StatusServiceUnavailable, Problem{Error: err.Error() + "; send the same request again"})
	}
}
