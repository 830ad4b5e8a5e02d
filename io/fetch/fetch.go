package fetch

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// timeout bounds one request, with the reading of its answer.
const timeout = 5 * time.Second

// JSON decodes the document at url into v. It fails when there is no complete
// answer within timeout or before ctx ends, when the status is not 200, or when
// the body is not valid JSON or doesn't fit the type of v.
func JSON(ctx context.Context, url string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var (
		req  *http.Request
		resp *http.Response
		err  error
	)
	if req, err = http.NewRequestWithContext(ctx, http.MethodGet, url, nil); err != nil {
		return errors.Wrap(err, "fetch")
	}
	if resp, err = http.DefaultClient.Do(req); err != nil {
		return errors.Wrap(err, "fetch")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("fetch: %s answered with %s", url, resp.Status)
	}
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(v), "fetch")
}
