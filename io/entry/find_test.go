package entry

import (
	"net/http"

	"cardamomspool/core/spec"
	"cardamomspool/core/wire"
)

// find returns the service and the class that the gate finds for a call, or the problem of
// the first check that fails.
func (h *Host) find(r *http.Request, callInfo wire.CallerInfo) (*service, spec.Class, *problem) {
	parse := h.dialect.ParseCall
	defer func() { h.dialect.ParseCall = parse }()
	h.dialect.ParseCall = func(http.Header) wire.CallerInfo { return callInfo }
	a := &arrival{host: h, r: r}
	for _, check := range []func(*arrival) *problem{(*arrival).checkPlan, (*arrival).checkRoute, (*arrival).awaitLease, (*arrival).checkKey, (*arrival).checkPart} {
		if p := check(a); p != nil {
			return nil, a.class, p
		}
	}
	return a.service, a.class, nil
}

func (f *fleet) find(r *http.Request, callInfo wire.CallerInfo) (*service, spec.Class, *problem) {
	return f.host.find(r, callInfo)
}
