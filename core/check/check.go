package check

import (
	"fmt"
	"io"
	"strings"
	"time"

	"cardamomspool/core/keys"
	"cardamomspool/core/plan"
	"cardamomspool/core/strict"
)

type (
	// Severity says how bad a finding is.
	Severity string

	// Finding is one fault of a plan.
	Finding struct {
		// Severity is Error or Warning.
		Severity Severity `json:"severity"`
		// At names the part of the plan.
		At string `json:"at"`
		// Text says what is wrong.
		Text string `json:"text"`
	}

	// Report is the result of a check.
	Report struct {
		// Findings lists the faults, errors first.
		Findings []Finding `json:"findings"`
		// Changes lists what differs from the plan in force; nil without one.
		Changes []Change `json:"changes,omitempty"`
	}
)

// The severities of findings.
const (
	// Error marks what a control host refuses.
	Error Severity = "error"
	// Warning marks what a control host accepts.
	Warning Severity = "warning"
)

// The exit codes of a check.
const (
	ExitClean    = 0
	ExitWarnings = 1
	ExitErrors   = 2
)

// Plan returns the report on a plan: the faults for which it is refused, then warnings.
func Plan(p *plan.Plan) Report {
	r := Faults(p.Validate())
	r.warnOfRoutes(p.Routes)
	r.warnOfServices(p)
	r.warnOfAccounts(p.Accounts)
	return r
}

// Faults returns a report with an error for each fault.
func Faults(faults strict.Faults) Report {
	r := Report{Findings: []Finding{}} // An empty list in JSON, not null.
	for _, f := range faults {
		r.Findings = append(r.Findings, Finding{Severity: Error, At: f.Path, Text: f.Problem})
	}
	return r
}

// ExitCode returns the exit code for the report.
func (r *Report) ExitCode() int {
	code := ExitClean
	for _, f := range r.Findings {
		if f.Severity == Error {
			return ExitErrors
		}
		code = ExitWarnings
	}
	return code
}

// WriteText writes the report, one finding or change per line.
func (r *Report) WriteText(w io.Writer) error {
	for _, f := range r.Findings {
		if _, err := fmt.Fprintf(w, "%s: %s: %s\n", f.Severity, f.At, f.Text); err != nil {
			return err
		}
	}
	for _, c := range r.Changes {
		if _, err := fmt.Fprintf(w, "%s: %s\n", c.At, c.Text); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d findings, %d changes\n", len(r.Findings), len(r.Changes))
	return err
}

func (r *Report) warn(at, format string, args ...any) {
	r.Findings = append(r.Findings, Finding{Severity: Warning, At: at, Text: fmt.Sprintf(format, args...)})
}

// warnOfRoutes adds routes that never match, as an earlier one has the same host and path
// prefix, and those whose limits contradict each other.
func (r *Report) warnOfRoutes(routes []plan.Route) {
	first := make(map[[2]string]string)
	for i := range routes {
		v := &routes[i]
		at := "routes[" + v.Name + "]"
		key := [2]string{strings.ToLower(v.Host), v.PathPrefix}
		if other, taken := first[key]; taken {
			r.warn(at, "has the host and path prefix of the route %q: one of them never matches", other)
		} else {
			first[key] = v.Name
		}
		aim, timeout := v.Aim.Std(), v.Timeout.Std()
		switch {
		case aim > timeout:
			r.warn(at, "has the aim %s above the timeout %s", aim, timeout)
		case aim > 0 && time.Duration(v.Attempts) > timeout/aim:
			r.warn(at, "allows %d attempts, but %s has room for %d of the aim %s", v.Attempts, timeout, timeout/aim, aim)
		}
	}
}

// warnOfServices adds services that no route names.
func (r *Report) warnOfServices(p *plan.Plan) {
	named := make(map[string]bool)
	for i := range p.Routes {
		for _, part := range p.Routes[i].Parts {
			named[part.Service] = true
		}
	}
	for _, s := range p.Services {
		if !named[s.Name] {
			r.warn("services["+s.Name+"]", "has no route")
		}
	}
}

// warnOfAccounts adds bursts that a steady rate exceeds, keys that an account lists twice
// and accounts without keys. A key of two accounts is an error.
func (r *Report) warnOfAccounts(accounts []plan.Account) {
	for i := range accounts {
		a := &accounts[i]
		at := "accounts[" + a.Name + "]"
		if a.Rate > 0 && a.Burst < a.Rate {
			r.warn(at, "has the burst %v below one second of the rate %v", a.Burst, a.Rate)
		}
		if len(a.Keys) == 0 {
			r.warn(at, "has no keys")
		}
		seen := make(map[keys.Digest]bool)
		for _, k := range a.Keys {
			if seen[k] {
				r.warn(at, "lists the key %s twice", k.Masked())
			}
			seen[k] = true
		}
	}
}
