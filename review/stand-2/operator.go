package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

type (
	// route is a route of a configuration.
	route struct {
		name, host, prefix, kind, service string
		timeout                           time.Duration
		attempts                          int
	}
)

const (
	orderTimeout = time.Second
	orderPause   = 50 * time.Millisecond
	// proposeTimeout is how long a read may take.
	proposeTimeout = 4 * time.Second
)

// configuration returns the text of a configuration.
func configuration(version int, routes []route, services []string, tenants map[string][]string) []byte {
	var list []map[string]any
	add := func(kind, name string, spec map[string]any) {
		list = append(list, map[string]any{word("kind"): kind, "metadata": map[string]any{"name": name}, "spec": spec})
	}
	for _, r := range routes {
		add("routes", r.name, map[string]any{
			"hostname": r.host, word("prefix"): r.prefix, "type": r.kind, word("timeout"): r.timeout.Milliseconds(),
			word("aim"): 500, "priority": 1, "service": r.service, word("attempts"): max(r.attempts, 1),
		})
	}
	for _, name := range services {
		add("services", name, map[string]any{word("health"): "/health", "maxConnections": 240, "protocol": "h1", "tls": false})
	}
	for name, keys := range tenants {
		add("tenants", name, map[string]any{"name": name, word("keys"): keys})
	}
	add("limits", "", map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000})
	text, err := json.Marshal(map[string]any{"version": version, "resources": list})
	if err != nil {
		panic(err) // Strings and numbers are encoded without errors.
	}
	return text
}

// call makes one call at the control host i.
func (b *bench) call(method string, i int, path string, body []byte, timeout time.Duration) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+b.controlAddress(i)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, text
}

// put sends a configuration to the control hosts in turn until one acknowledges it.
func (b *bench) put(version int, text []byte, timeout time.Duration, controls ...int) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(orderPause) {
		for _, i := range controls {
			status, _ := b.call(http.MethodPut, i, "/config", text, orderTimeout)
			b.record("operator", "PUT version %d to core-%d: %d", version, i, status)
			if status == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("version %d was not acknowledged within %s", version, timeout)
}

// get reads the version of the configuration at the control host i, 0 for none.
func (b *bench) get(i int, timeout time.Duration) int {
	var c struct {
		Version int `json:"version"`
	}
	status, text := b.call(http.MethodGet, i, "/config", nil, timeout)
	if status == http.StatusOK && json.Unmarshal(text, &c) != nil {
		c.Version = -1
	}
	b.record("operator", "GET at core-%d: %d, version %d", i, status, c.Version)
	return c.Version
}
