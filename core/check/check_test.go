package check_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/check"
	"cardamomspool/core/keys"
	"cardamomspool/core/plan"
	"cardamomspool/core/strict"
	"cardamomspool/internal/golden"
)

const secret = "a-key-that-must-not-be-shown"

// soundPlan returns a plan without findings.
func soundPlan() *plan.Plan {
	rank := 1
	return &plan.Plan{
		Version: 3,
		Routes: []plan.Route{{
			Name: "lookup", Host: "shop.example", PathPrefix: "/a/", Idempotent: true, Attempts: 3,
			Timeout: strict.Duration(3 * time.Second), Aim: strict.Duration(600 * time.Millisecond),
			Parts: []plan.Part{{Service: "s", Weight: 1}},
		}},
		Services: []plan.Service{{Name: "s", HealthPath: "/health", Connections: 200}},
		Accounts: []plan.Account{{Name: "acme", Keys: []keys.Digest{keys.Of(secret)}, Rank: &rank, Rate: 10, Burst: 20}},
		Limits:   plan.Limits{BodyBytes: 1 << 20},
	}
}

// faultyPlan returns a plan with a finding of every kind.
func faultyPlan() *plan.Plan {
	p := soundPlan()
	p.Version = 4
	double := p.Routes[0]
	double.Name, double.Host = "double", "SHOP.example"
	slow := p.Routes[0]
	slow.Name, slow.PathPrefix, slow.Aim = "slow", "/b/", strict.Duration(4*time.Second)
	crowded := p.Routes[0]
	crowded.Name, crowded.PathPrefix, crowded.Attempts = "crowded", "/c/", 6
	unknown := p.Routes[0]
	unknown.Name, unknown.PathPrefix, unknown.Parts = "unknown", "/d/", []plan.Part{{Service: "gone", Weight: 1}}
	p.Routes = append(p.Routes, double, slow, crowded, unknown)
	p.Services = append(p.Services, plan.Service{Name: "unused", Connections: 1})
	p.Services[0].Connections = 100
	p.Accounts[0].Burst = 5
	p.Accounts[0].Keys = []keys.Digest{keys.Of("other"), keys.Of("other")}
	p.Accounts = append(p.Accounts, plan.Account{Name: "thief", Keys: []keys.Digest{keys.Of("other")}}, plan.Account{Name: "empty"})
	p.Limits.BodyBytes = 2 << 20
	return p
}

// Guards against findings that are missed or worded otherwise, and against keys in the
// report.
func TestFindingsAndChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	r := check.Plan(faultyPlan())
	r.Changes = check.Changes(soundPlan(), faultyPlan())
	var text bytes.Buffer
	g.Expect(r.WriteText(&text)).To(gomega.Succeed())
	golden.Compare(t, "faulty", text.String())
	data, err := json.MarshalIndent(r, "", "  ")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	golden.Compare(t, "faulty_json", string(data)+"\n")
	for _, key := range []string{secret, "other"} {
		digest, err := keys.Of(key).MarshalText()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(text.String() + string(data)).NotTo(gomega.Or(gomega.ContainSubstring(key+"-"), gomega.ContainSubstring(string(digest))))
	}
	g.Expect(strings.Count(text.String(), secret)).To(gomega.BeZero())
	g.Expect(r.ExitCode()).To(gomega.Equal(check.ExitErrors))
}

// Guards against findings in a plan that has none, and differences between equal plans.
func TestSoundPlanHasNoFindings(t *testing.T) {
	g := gomega.NewWithT(t)
	r := check.Plan(soundPlan())
	g.Expect(r.Findings).To(gomega.BeEmpty())
	g.Expect(r.ExitCode()).To(gomega.Equal(check.ExitClean))
	g.Expect(check.Changes(soundPlan(), soundPlan())).To(gomega.BeEmpty())
}

// Guards against warnings that end a check as errors do.
func TestWarningsHaveTheirOwnExitCode(t *testing.T) {
	g := gomega.NewWithT(t)
	p := soundPlan()
	p.Accounts[0].Burst = 5
	r := check.Plan(p)
	g.Expect(r.Findings).To(gomega.ConsistOf(gomega.HaveField("Severity", check.Warning)))
	g.Expect(r.ExitCode()).To(gomega.Equal(check.ExitWarnings))
}
