package spec_test

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/core/field"
	"cardamomspool/core/spec"
	"cardamomspool/internal/golden"
)

// secret is part of every key in these tests; no fault may show it.
const secret = "s3cret"

// Guards against faults that are accepted, named unclearly or show a key, and against a
// stored form that changes.
func TestAccountsDocuments(t *testing.T) {
	g := gomega.NewWithT(t)
	digest := "TLdbpf7gDIRkJ2Srvsn3j6FtnlUlI/Ev1wQVO4lv1Ws"
	var out strings.Builder
	for _, body := range []string{
		`{"accounts": [
			{"name": "shop", "keys": ["s3cret-1", "s3cret-2"], "rank": 0, "rate": 12.5, "burst": 30},
			{"name": "desk", "key_digests": ["` + digest + `"]}]}`,
		`{}`,
		`{"accounts": []}`,
		`{"accounts": [{"name": "a", "keys": ["s3cret"]}, {"name": "b", "keys": ["s3cret"]}]}`,
		`{"accounts": [{"name": "a", "keys": ["s3cret 1", "", "s3cr\u00e9t"]}]}`,
		`{"accounts": [{"name": ""}, {"name": "a"}, {"name": "a"}, {"name": " b"}, {"name": "c\nd"}]}`,
		`{"accounts": [{"name": "a", "rate": -1}, {"name": "b", "burst": -1}, {"name": "c", "rank": -1}]}`,
		`{"accounts": [{"name": "` + strings.Repeat("n", 129) + `"}]}`,
		`{"accounts": [{"name": "a", "keys": "s3cret", "rank": "s3cret", "limit": 1}]}`,
		`{"accounts": [{"name": "a", "key_digests": ["s3cret"]}]}`,
		`{"name": "s", "receive": {"hosts": ["h"]}}`,
		`[]`,
	} {
		doc, faults := spec.ParseAccounts([]byte(body))
		out.WriteString("document " + body + "\n")
		if err := faults.Err(); err != nil {
			g.Expect(err.Error()).NotTo(gomega.ContainSubstring(secret))
			out.WriteString(err.Error() + "\n\n")
			continue
		}
		out.WriteString("stored   " + string(spec.CanonicalAccounts(doc)) + "\n")
		digested := spec.CanonicalAccounts(doc.Digested())
		out.WriteString("digested " + string(digested) + "\n\n")
		g.Expect(string(digested)).NotTo(gomega.ContainSubstring(secret))
		again, faults := spec.ParseAccounts(digested)
		g.Expect(faults).To(gomega.BeEmpty())
		g.Expect(again.Plan()).To(gomega.Equal(doc.Plan()), "the accounts of an entry host are those of the operators")
	}
	golden.Compare(t, "accounts", out.String())
}

// Guards against a document that control hosts accept and entry hosts refuse, since it is
// longer with digests.
func TestDigestsCountForTheSizeOfAccounts(t *testing.T) {
	g := gomega.NewWithT(t)
	short := `{"accounts":[{"name":"a","keys":["` + strings.Repeat(`k","`, 6000) + `k"]}]}`
	_, faults := spec.ParseAccounts([]byte(short))
	g.Expect(len(short)).To(gomega.BeNumerically("<", spec.MaxAccountsBytes))
	g.Expect(faults).To(gomega.HaveLen(1))
	g.Expect(faults[0].Path).To(gomega.Equal("."))
}

func TestEveryFieldOfAccountsIsDescribed(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(field.UnknownPaths(spec.AccountFields, &spec.Accounts{})).To(gomega.BeEmpty())
	for _, e := range spec.AccountReference() {
		g.Expect(e.Known).To(gomega.BeTrue(), e.Path)
	}
}

// Guards against a service whose document cannot be told from that of the accounts.
func TestNoServiceHasTheNameOfTheAccounts(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(spec.ValidName(spec.AccountsName)).To(gomega.BeFalse())
	g.Expect(spec.ValidDocumentName(spec.AccountsName)).To(gomega.BeTrue())
	_, faults := spec.CanonicalNamed(spec.AccountsName, []byte(`{"name":"_accounts","receive":{"hosts":["h"]}}`))
	g.Expect(faults).NotTo(gomega.BeEmpty())
}

// Guards against a field that services of today would get: old entry hosts refuse unknown
// fields.
func TestServicesThatAreNotPublicKeepTheirBytes(t *testing.T) {
	g := gomega.NewWithT(t)
	doc, faults := spec.Parse([]byte(`{"name":"s","receive":{"hosts":["h"]}}`))
	g.Expect(faults).To(gomega.BeEmpty())
	g.Expect(string(spec.Canonical(doc))).NotTo(gomega.ContainSubstring("public"))
}
