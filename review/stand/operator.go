package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// route is a route of a configuration.
type route struct {
	Name, Host, Prefix, Type, Service string
	TimeoutMs                         int
	Attempts                          int
	AimMs                             int // 500 for 0.
}

// limits are the limits of a configuration.
type limits struct {
	HeaderBytes, BodyBytes, HeaderMs, IdleMs int
}

// configBody returns a configuration as the operator sends it.
func configBody(version int, routes []route, services []string, l limits) map[string]any {
	var resources []any
	for _, r := range routes {
		if r.AimMs == 0 {
			r.AimMs = 500
		}
		resources = append(resources, map[string]any{
			word("kind"): "routes", "metadata": map[string]any{"name": r.Name},
			"spec": map[string]any{
				"hostname": r.Host, word("prefix"): r.Prefix, "type": r.Type, word("timeout"): r.TimeoutMs, word("aim"): r.AimMs,
				"priority": 1, "service": r.Service, word("attempts"): r.Attempts,
			},
		})
	}
	for _, s := range services {
		resources = append(resources, map[string]any{
			word("kind"): "services", "metadata": map[string]any{"name": s},
			"spec": map[string]any{word("health"): "/health", "maxConnections": 240, "protocol": "h1", "tls": false},
		})
	}
	resources = append(resources, map[string]any{
		word("kind"): "limits", "metadata": map[string]any{},
		"spec": map[string]any{"maxHeaderBytes": l.HeaderBytes, "maxBodyBytes": l.BodyBytes, "headerTimeoutMs": l.HeaderMs, "idleTimeoutMs": l.IdleMs},
	})
	return map[string]any{"version": version, "resources": resources}
}

// usualLimits are those of the example of the users' page.
var usualLimits = limits{HeaderBytes: 16384, BodyBytes: 67108864, HeaderMs: 3000, IdleMs: 15000}

// put sends a configuration until it is acknowledged or refused, for at most 15 s, and returns
// the last status.
func (d *deployment) put(body any) int {
	data, ok := body.([]byte)
	if !ok {
		data, _ = json.Marshal(body)
	}
	client := http.Client{Timeout: 2 * time.Second}
	for end, i := time.Now().Add(15*time.Second), 0; time.Now().Before(end); i++ {
		p := d.controls[i%len(d.controls)]
		status, answer, err := call(&client, http.MethodPut, "http://"+addr(p.ip, d.front)+"/config", data)
		if err == nil && status < 500 && status != http.StatusTooManyRequests {
			d.rec.note("operator", "PUT /config to %s: %d %s", p.name, status, clip(answer))
			return status
		}
		time.Sleep(200 * time.Millisecond)
	}
	d.rec.note("operator", "PUT /config was not answered clearly")
	return 0
}

// get reads the configuration from a control host.
func (d *deployment) get(i int) (int, map[string]any) {
	client := http.Client{Timeout: 4 * time.Second}
	p := d.controls[i%len(d.controls)]
	status, answer, err := call(&client, http.MethodGet, "http://"+addr(p.ip, d.front)+"/config", nil)
	if err != nil {
		return 0, nil
	}
	var v map[string]any
	if json.Unmarshal(answer, &v) != nil {
		return status, nil
	}
	d.rec.note("operator", "GET /config from %s: %d version=%v", p.name, status, v["version"])
	return status, v
}

func clip(b []byte) string {
	if len(b) > 200 {
		b = b[:200]
	}
	return fmt.Sprintf("%q", b)
}

// awaitReady waits until all entry hosts say that they are ready.
func (d *deployment) awaitReady(timeout time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, p := range d.entries {
			if status, _, err := call(&client, http.MethodGet, "http://"+addr(p.ip, d.front)+"/ready", nil); err == nil && status == http.StatusOK {
				ready++
			}
		}
		if ready == len(d.entries) {
			return true
		}
	}
	return false
}
