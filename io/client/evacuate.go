package client

import (
	"context"
	"net/http"
	"net/url"

	"cardamomspool/io/admin"
)

// SetEvacuated orders the evacuation of a data centre, or withdraws the order if evacuated is
// false, and returns the orders then in force. It returns a *StatusError with code 404 when
// the control hosts are not part of a fleet, and with code 400 for an invalid name.
func (c *Client) SetEvacuated(ctx context.Context, dataCentre string, evacuated bool) (admin.EvacuationView, error) {
	r := request{method: http.MethodPost, path: admin.EvacuationsPath + "/" + url.PathEscape(dataCentre)}
	if !evacuated {
		r.method = http.MethodDelete
	}
	var v admin.EvacuationView
	err := c.do(ctx, r, &v)
	return v, err
}
