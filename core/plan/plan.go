package plan

import (
	"encoding/json"
	"strings"
	"time"

	"cardamomspool/core/keys"
	"cardamomspool/core/strict"
)

type (
	// Plan is one version of the whole configuration.
	Plan struct {
		// Version orders plans; the plan with the highest version applies.
		Version uint64 `json:"version"`
		// Routes select services by host name and path.
		Routes []Route `json:"routes"`
		// Services are the services that routes may name.
		Services []Service `json:"services"`
		// Accounts are the client accounts; without any, calls need no key.
		Accounts []Account `json:"accounts,omitempty"`
		// Limits limits what callers may send.
		Limits Limits `json:"limits"`
	}

	// Route selects the services for calls of one host name and path prefix,
	// and sets their timeout, priority and attempts.
	Route struct {
		// Name identifies the route.
		Name string `json:"name"`
		// Host is a host name without port, compared without regard to case.
		Host string `json:"host"`
		// PathPrefix is the prefix of the paths that the route matches.
		PathPrefix string `json:"path_prefix"`
		// Idempotent says that calls may run more than once.
		Idempotent bool `json:"idempotent"`
		// Timeout is the longest time from the arrival of a call to its end.
		Timeout strict.Duration `json:"timeout"`
		// Aim is the desired latency: an answer within it has its full value;
		// 0 means that there is none.
		Aim strict.Duration `json:"aim"`
		// Rank is the priority of queued calls; lower ranks are served first.
		Rank int `json:"rank"`
		// Attempts is the largest number of attempts of one call.
		Attempts int `json:"attempts"`
		// Parts lists the services that share the calls.
		Parts []Part `json:"parts"`
		// Open says that calls need no key although the plan has accounts.
		Open bool `json:"open,omitempty"`
	}

	// Part is one service's share of a route.
	Part struct {
		// Service is the name of the service.
		Service string `json:"service"`
		// Weight is the share of the calls, relative to the other parts.
		Weight float64 `json:"weight"`
	}

	// Service is a named group of targets that answer the same calls.
	Service struct {
		// Name identifies the service.
		Name string `json:"name"`
		// HealthPath is the path of the health check, which also reports the
		// load of a target.
		HealthPath string `json:"health_path"`
		// Connections is the largest number of connections to a target over
		// all entry hosts.
		Connections int `json:"connections"`
		// WarmTime is how long a target that has just started is cold, and WarmRate
		// the calls per second that a cold target takes from all hosts together; 0
		// means that there is no limit.
		WarmTime strict.Duration `json:"warm_time,omitempty"`
		WarmRate float64         `json:"warm_rate,omitempty"`
	}

	// Account is a client account: the callers that share keys, a rank and a quota.
	Account struct {
		// Name identifies the account; targets are told of it.
		Name string `json:"name"`
		// Keys are the digests of the account's keys.
		Keys []keys.Digest `json:"keys"`
		// Rank replaces the rank of the route; nil keeps that.
		Rank *int `json:"rank,omitempty"`
		// Rate is the quota in calls per second, over all hosts and services; 0
		// means that there is none.
		Rate float64 `json:"rate,omitempty"`
		// Burst is the number of calls that the account may make at once beyond
		// Rate.
		Burst float64 `json:"burst,omitempty"`
	}

	// Limits limits what callers may send. A limit of 0 means that the setting of
	// the entry host applies.
	Limits struct {
		// HeaderBytes is the largest size of a request's header in bytes.
		HeaderBytes int `json:"header_bytes"`
		// BodyBytes is the largest size of a request's body in bytes.
		BodyBytes int `json:"body_bytes"`
		// HeaderTimeout is the longest time that reading a header may take.
		HeaderTimeout strict.Duration `json:"header_timeout"`
		// IdleTimeout is the time after which an unused connection is closed.
		IdleTimeout strict.Duration `json:"idle_timeout"`
	}

	// Document is the stored form of a plan: the plan and the text that the
	// operators sent, which they can read back unchanged.
	Document struct {
		// Plan is the plan read from Source.
		Plan Plan `json:"plan"`
		// Source is the operators' text, in a format of their own.
		Source json.RawMessage `json:"source"`
		// Evacuated lists the data centres whose targets get no calls, sorted.
		Evacuated []string `json:"evacuated,omitempty"`
	}
)

// MaxTimeout is the longest timeout of a route.
const MaxTimeout = 10 * time.Minute

// Validate returns all faults of the plan's values, none when it is valid.
func (p *Plan) Validate() strict.Faults {
	var f strict.Faults
	if p.Version == 0 {
		f.Add("version", "must be 1 or more")
	}
	serviceNames := make(map[string]bool, len(p.Services))
	for _, s := range p.Services {
		if s.Name == "" {
			f.Add("services", "one has no name")
		}
		serviceNames[s.Name] = true
	}
	for i := range p.Routes {
		p.Routes[i].validate(&f, serviceNames)
	}
	CheckAccounts(&f, p.Accounts)
	return f
}

// validate adds the faults of the route to f. The keys of services are the names
// of the plan's services.
func (r *Route) validate(f *strict.Faults, services map[string]bool) {
	at := "routes[" + r.Name + "]"
	if r.Host == "" {
		f.Add(at+".host", "must be set")
	}
	if !strings.HasPrefix(r.PathPrefix, "/") {
		f.Add(at+".path_prefix", "is %q, must start with a slash", r.PathPrefix)
	}
	if d := r.Timeout.Std(); d <= 0 || d > MaxTimeout {
		f.Add(at+".timeout", "is %s, must be above 0 and at most %s", d, MaxTimeout)
	}
	if r.Attempts < 1 {
		f.Add(at+".attempts", "is %d, must be 1 or more", r.Attempts)
	}
	if len(r.Parts) == 0 {
		f.Add(at+".parts", "must name a service")
	}
	for _, part := range r.Parts {
		if !services[part.Service] {
			f.Add(at+".parts", "names the unknown service %q", part.Service)
		}
		if part.Weight < 0 {
			f.Add(at+".parts", "has the weight %v, must be 0 or more", part.Weight)
		}
	}
}
