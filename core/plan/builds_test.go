package plan_test

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/keys"
	"cardamomspool/core/plan"
	"cardamomspool/core/strict"
)

// oldDocumentsFile is written by a build of 0e43ae4, which knows no accounts and no
// evacuations, and must not change: a small stored document and a compressed one.
const oldDocumentsFile = "testdata/old_build.golden"

// oldDocuments returns documents with all fields that the earlier build knew.
func oldDocuments() []plan.Document {
	var list []plan.Document
	for _, routes := range []int{1, 400} {
		d := plan.Document{Source: json.RawMessage(`{"version":9}`), Plan: plan.Plan{
			Version:  9,
			Services: []plan.Service{{Name: "s", HealthPath: "/health", Connections: 7}},
			Limits: plan.Limits{
				HeaderBytes: 1, BodyBytes: 2, HeaderTimeout: strict.Duration(time.Second), IdleTimeout: strict.Duration(time.Minute),
			},
		}}
		for i := range routes {
			d.Plan.Routes = append(d.Plan.Routes, plan.Route{
				Name: fmt.Sprintf("r%d", i), Host: "shop.example", PathPrefix: fmt.Sprintf("/%d", i), Idempotent: true,
				Timeout: strict.Duration(3 * time.Second), Aim: strict.Duration(time.Second), Rank: 1, Attempts: 2,
				Parts: []plan.Part{{Service: "s", Weight: 1.5}},
			})
		}
		list = append(list, d)
	}
	return list
}

// encodeDocuments returns a line of hexadecimal digits for each document.
func encodeDocuments(t *testing.T, list []plan.Document) string {
	var text strings.Builder
	for i := range list {
		data, err := list[i].Encode()
		if err != nil {
			t.Fatal(err)
		}
		text.WriteString(hex.EncodeToString(data) + "\n")
	}
	return text.String()
}

type (
	// oldDocument, oldPlan, oldRoute and oldService are the types of the earlier build.
	oldDocument struct {
		Plan   oldPlan         `json:"plan"`
		Source json.RawMessage `json:"source"`
	}

	oldPlan struct {
		Version  uint64       `json:"version"`
		Routes   []oldRoute   `json:"routes"`
		Services []oldService `json:"services"`
		Limits   plan.Limits  `json:"limits"`
	}

	oldRoute struct {
		Name       string          `json:"name"`
		Host       string          `json:"host"`
		PathPrefix string          `json:"path_prefix"`
		Idempotent bool            `json:"idempotent"`
		Timeout    strict.Duration `json:"timeout"`
		Aim        strict.Duration `json:"aim"`
		Rank       int             `json:"rank"`
		Attempts   int             `json:"attempts"`
		Parts      []plan.Part     `json:"parts"`
	}

	oldService struct {
		Name        string `json:"name"`
		HealthPath  string `json:"health_path"`
		Connections int    `json:"connections"`
	}
)

// Guards against a stored plan that the earlier build has written and that is read
// differently, or that this build writes differently although no new field is set.
func TestDocumentsOfTheOldBuild(t *testing.T) {
	g := gomega.NewWithT(t)
	text, err := os.ReadFile(oldDocumentsFile)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(encodeDocuments(t, oldDocuments())).To(gomega.Equal(string(text)))
	for i, line := range strings.Fields(string(text)) {
		data, err := hex.DecodeString(line)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		d, err := plan.DecodeDocument(data)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(d).To(gomega.Equal(oldDocuments()[i]))
	}
}

// Shows what docs/design/compatibility.md says of a host of the earlier build that is sent a
// plan with accounts: it uses the rest of the plan, and what it passes on has no accounts, so
// that calls need no key at hosts which get the plan from it.
func TestOldBuildDropsAccounts(t *testing.T) {
	g := gomega.NewWithT(t)
	d := oldDocuments()[0]
	want, err := json.Marshal(d)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	rank := 1
	d.Plan.Accounts = []plan.Account{{Name: "first", Keys: []keys.Digest{{1}}, Rank: &rank, Rate: 10, Burst: 5}}
	d.Plan.Routes[0].Open = true
	d.Plan.Services[0].WarmTime, d.Plan.Services[0].WarmRate = strict.Duration(time.Second), 4.2
	d.Evacuated = []string{"buda"}
	data, err := d.Encode()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var old oldDocument
	g.Expect(json.Unmarshal(data, &old)).To(gomega.Succeed())
	passedOn, err := json.Marshal(old)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(passedOn)).To(gomega.Equal(string(want)))
	var back plan.Plan
	planText, err := json.Marshal(old.Plan)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(json.Unmarshal(planText, &back)).To(gomega.Succeed())
	g.Expect(back.Accounts).To(gomega.BeEmpty())
}
