package probe

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/member"
	"cardamomspool/core/route"
	"cardamomspool/core/wire"
)

const (
	// idleTimeout is how long a connection is kept open after its last probe.
	idleTimeout = 30 * time.Second
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 16 << 10
	// maxBodyBytes is how much is read of the body of an answer.
	maxBodyBytes = 4 << 10
)

// HTTP returns a Func that sends a GET request to the target over a keep-alive
// connection and interprets the response in the given dialect. It follows no
// redirects. A response that is cut short within maxBodyBytes of its body is a lost
// probe.
func HTTP(dialect wire.Dialect) Func {
	dialer := &net.Dialer{Timeout: probeTimeout}
	client := &http.Client{
		Transport: &http.Transport{
			DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return func(ctx context.Context, target member.Record, path string) (route.Probe, error) {
		var (
			r    *http.Request
			resp *http.Response
			err  error
		)
		if r, err = http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target.Address.String()+path, nil); err != nil {
			return route.Probe{Result: route.ProbeLost}, errors.Wrap(err, "probe")
		}
		if resp, err = client.Do(r); err != nil {
			return route.Probe{Result: route.ProbeLost}, errors.Wrap(err, "probe")
		}
		defer resp.Body.Close()
		if _, err = io.CopyN(io.Discard, resp.Body, maxBodyBytes); err != nil && !errors.Is(err, io.EOF) {
			return route.Probe{Result: route.ProbeLost}, errors.Wrap(err, "probe")
		}
		h := dialect.ParseHealth(resp.StatusCode, resp.Header, target.Target)
		result := route.Probe{Result: route.ProbeUnhealthy, Load: h.Load, Reported: h.Reported, Limit: h.Limit, Rest: h.Rest, WarmFor: h.WarmFor, Leaving: h.Leaving}
		switch {
		case h.AddressTaken:
			result = route.Probe{Result: route.ProbeAddressTaken}
		case h.Healthy:
			result.Result = route.ProbeHealthy
		}
		return result, nil
	}
}
