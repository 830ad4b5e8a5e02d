package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"cardamomspool/core/spec"
	"cardamomspool/io/setup"
)

// ctlOptions are the values of the operators' command line.
type ctlOptions struct {
	control   string
	tokenFile string
	name      string
	file      string
	base      string
	request   string
}

const (
	defaultControl = "127.0.0.1:7001"
	ctlTimeout     = 15 * time.Second
	maxReplyBytes  = 16 << 20
)

func ctlCommands(o *ctlOptions) []*command {
	o.control, o.base = defaultControl, "0"
	ctl := flaggy.NewSubcommand("ctl")
	ctl.Description = "read and change service documents"
	ctl.String(&o.control, "a", "control", "admin address of a control host")
	ctl.String(&o.tokenFile, "t", "token-file", "file with the operator token")
	get := flaggy.NewSubcommand("get")
	get.Description = "print one service document, or all without a name"
	get.AddPositionalValue(&o.name, "name", 1, false, "name of the service")
	apply := flaggy.NewSubcommand("apply")
	apply.Description = "replace a service document"
	apply.AddPositionalValue(&o.file, "file", 1, true, "JSON file with the document")
	apply.String(&o.base, "b", "base", "revision that the change is based on, 0 for a new service")
	apply.String(&o.request, "q", "request", "identity of the request; give the same one to send it again")
	ctl.AttachSubcommand(get, 1)
	ctl.AttachSubcommand(apply, 1)
	flaggy.AttachSubcommand(ctl, 1)
	return []*command{
		{parser: get, run: func(ctx context.Context, _ *options) error { return ctlGet(ctx, o) }},
		{parser: apply, run: func(ctx context.Context, _ *options) error { return ctlApply(ctx, o) }},
		{parser: ctl, run: func(context.Context, *options) error { return errUsage }},
	}
}

func ctlGet(ctx context.Context, o *ctlOptions) error {
	path := "/v1/services"
	if o.name != "" {
		path += "/" + o.name
	}
	return ctlDo(ctx, o, http.MethodGet, path, nil)
}

func ctlApply(ctx context.Context, o *ctlOptions) error {
	var (
		data []byte
		err  error
	)
	if data, err = os.ReadFile(o.file); err != nil {
		return errors.Wrap(err, "document")
	}
	doc, faults := spec.Parse(data)
	if err = faults.Err(); err != nil {
		return errors.Wrapf(err, "document %s", o.file)
	}
	if o.request == "" {
		o.request = rand.Text()
	}
	return ctlDo(ctx, o, http.MethodPut, "/v1/services/"+doc.Name, data)
}

// ctlDo sends one request to the control host and prints its answer.
func ctlDo(ctx context.Context, o *ctlOptions, method, path string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, ctlTimeout)
	defer cancel()
	var (
		req   *http.Request
		resp  *http.Response
		token string
		data  []byte
		err   error
	)
	if req, err = http.NewRequestWithContext(ctx, method, "http://"+o.control+path, bytes.NewReader(body)); err != nil {
		return errors.Wrap(err, "ctl")
	}
	if token, err = setup.Token(o.tokenFile); err != nil {
		return err
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	req.Header.Set("If-Match", o.base)
	req.Header.Set("Idempotency-Key", o.request)
	if resp, err = http.DefaultClient.Do(req); err != nil {
		return errors.Wrapf(err, "ctl: no answer to request %q", o.request)
	}
	defer resp.Body.Close()
	if data, err = io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes)); err != nil {
		return errors.Wrap(err, "ctl")
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("ctl: %s\n%s", resp.Status, data)
	}
	fmt.Print(string(data))
	return nil
}
