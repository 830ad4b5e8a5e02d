package consol_test

import (
	"html"
	"net/http"
	"net/url"
	"regexp"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/core/keys"
	"cardamomspool/core/spec"
	"cardamomspool/io/consol"
)

// shownField matches the fields of the form of accounts that an operator sees, and the names
// of the accounts.
var shownField = regexp.MustCompile(`(?s)<(input|textarea|select)[^>]*?name="(accounts[^"]*)"(?: value="([^"]*)")?[^>]*>(?:([^<]*)</textarea>|<option selected>([^<]*)|((?:<option>[^<]*</option>)+<option selected>[^<]*))?`)

// accountsForm opens the form of the accounts as an operator, and returns it as a browser
// posts it.
func (client *recordingClient) accountsForm(operator string) url.Values {
	g := gomega.NewWithT(client.t)
	g.Expect(client.do(operator, http.MethodGet, "/accounts/form", "")).To(gomega.Equal(http.StatusOK), client.body)
	return client.shownAccounts()
}

// shownAccounts returns the form of the accounts on the last page as a browser posts it.
func (client *recordingClient) shownAccounts() url.Values {
	values := client.hidden("/accounts/review")
	_, form, _ := strings.Cut(client.body, `action="/accounts/review"`)
	for _, m := range shownField.FindAllStringSubmatch(form, -1) {
		name, value := html.UnescapeString(m[2]), html.UnescapeString(m[3]+m[4]+m[5])
		if i := strings.LastIndex(m[6], "selected>"); i >= 0 {
			value = m[6][i+len("selected>"):]
		}
		if !strings.Contains(m[0], "checkbox") || strings.Contains(m[0], "checked") {
			values.Set(name, value)
		}
	}
	return values
}

// stored returns the accounts in force by name.
func (client *recordingClient) stored() map[string]spec.Account {
	v, _ := client.store.Get(spec.AccountsName)
	doc, faults := spec.ParseAccounts(v.Body)
	gomega.NewWithT(client.t).Expect(faults).To(gomega.BeEmpty())
	byName := make(map[string]spec.Account)
	for _, a := range doc.Accounts {
		byName[a.Name] = a
	}
	return byName
}

// mask returns how a stored key is named in the form.
func mask(key string) string { return keys.Of(key).Masked() }

// review posts a form for review, and then applies it.
func (client *recordingClient) applyAccounts(operator string, values url.Values) int {
	gomega.NewWithT(client.t).Expect(client.post(operator, "/accounts/review", values)).To(gomega.Equal(http.StatusOK), client.body)
	return client.post(operator, "/accounts/apply", client.hidden("/accounts/apply"))
}

// Guards against a form that shows a stored key, loses one that it should keep, or stores a
// document other than the one that the operator has entered: an account is added, and the rank,
// the quota and the keys of another one are changed.
func TestAccountsAreChangedByForm(t *testing.T) {
	g := gomega.NewWithT(t)
	client := newAccountsClient(t, consol.WithAccountsForm())
	client.text.Reset()
	values := client.accountsForm("ana")
	values.Set("accounts[0].rank", "1")
	values.Set("accounts[0].rate", "20.5")
	values.Set("accounts[0].keys."+mask("k-s3cret-2"), "rotate")
	values.Set("accounts[1].new_keys", "k-entered-1\r\n")
	values.Set("accounts[2].name", "field")
	values.Set("accounts[2].generate", "on")
	g.Expect(client.post("ana", "/accounts/review", values)).To(gomega.Equal(http.StatusOK))
	g.Expect(client.post("ana", "/accounts/form", client.hidden("/accounts/form"))).To(gomega.Equal(http.StatusOK))
	values = client.shownAccounts()
	values.Set("accounts[0].rate", "25")
	g.Expect(client.applyAccounts("ana", values)).To(gomega.Equal(http.StatusSeeOther))
	g.Expect(client.do("ana", http.MethodGet, "/accounts?applied=3", "")).To(gomega.Equal(http.StatusOK))
	client.compare("accounts_form")
	stored := client.stored()
	g.Expect(stored["shop"]).To(gomega.And(gomega.HaveField("Rate", 25.0), gomega.HaveField("Burst", 30.0), gomega.HaveField("Rank", gomega.HaveValue(gomega.Equal(1)))))
	g.Expect(stored["shop"].Keys).To(gomega.And(gomega.HaveLen(1), gomega.HaveEach(gomega.HavePrefix("id-"))))
	g.Expect(stored["desk <1>"].Keys).To(gomega.ConsistOf("k-s3cret-3", "k-entered-1"))
	g.Expect(stored["field"].Keys).To(gomega.HaveLen(1))
	g.Expect(client.text.String()).NotTo(gomega.ContainSubstring("s3cret"))
}

// Guards against two operators of whom the second one overwrites the first one's change, or
// loses what it has entered.
func TestSecondOperatorKeepsItsAccounts(t *testing.T) {
	g := gomega.NewWithT(t)
	client := newAccountsClient(t, consol.WithAccountsForm())
	client.text.Reset()
	first, second := client.accountsForm("ana"), client.accountsForm("ben")
	first.Set("accounts[0].burst", "60")
	first.Set("accounts[0].new_keys", "k-ana-1")
	first.Set("accounts[2].name", "field")
	first.Set("accounts[2].new_keys", "k-ana-2")
	g.Expect(client.applyAccounts("ana", first)).To(gomega.Equal(http.StatusSeeOther))
	second.Set("accounts[0].rate", "99")
	second.Set("accounts[0].keys."+mask("k-s3cret-2"), "withdraw")
	second.Set("accounts[0].new_keys", "k-ben-1")
	second.Set("accounts[1].remove", "on")
	g.Expect(client.applyAccounts("ben", second)).To(gomega.Equal(http.StatusConflict))
	g.Expect(client.stored()["shop"].Keys).To(gomega.ConsistOf("k-s3cret-2", "k-ana-1"), "nothing was changed")
	g.Expect(client.post("ben", "/accounts/rebase", client.hidden("/accounts/rebase"))).To(gomega.Equal(http.StatusOK))
	g.Expect(client.applyAccounts("ben", client.shownAccounts())).To(gomega.Equal(http.StatusSeeOther))
	client.compare("accounts_race")
	stored := client.stored()
	g.Expect(stored).To(gomega.And(gomega.HaveLen(2), gomega.HaveKey("field")))
	g.Expect(stored["shop"]).To(gomega.And(gomega.HaveField("Rate", 99.0), gomega.HaveField("Burst", 60.0)))
	g.Expect(stored["shop"].Keys).To(gomega.ConsistOf("k-ana-1", "k-ben-1"))
	g.Expect(client.text.String()).NotTo(gomega.ContainSubstring("s3cret"))
}

// Guards against a change that takes effect twice when its answer is lost, and against keys
// that differ when the form is sent again.
func TestLostAnswerOfAccountsIsSentAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	client := newAccountsClient(t, consol.WithAccountsForm())
	values := client.accountsForm("ana")
	values.Set("accounts[0].generate", "on")
	client.store.loseAnswers = 1
	g.Expect(client.applyAccounts("ana", values)).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(client.post("ana", "/accounts/apply", client.hidden("/accounts/apply"))).To(gomega.Equal(http.StatusSeeOther))
	v, _ := client.store.Get(spec.AccountsName)
	g.Expect(v.Revision).To(gomega.BeEquivalentTo(3))
	g.Expect(client.stored()["shop"].Keys).To(gomega.HaveLen(2))
}

// Guards against an invalid document that is offered for applying, and a form that loses what
// was entered beside the fault.
func TestFaultsOfAccountsAreShown(t *testing.T) {
	g := gomega.NewWithT(t)
	for field, value := range map[string]string{
		"accounts[0].rate": "many", "accounts[0].burst": "NaN", "accounts[0].rank": "1001", "accounts[0].rate ": "-1",
		"accounts[2].new_keys": "k-s3cret-2", "accounts[1].name": "shop", "accounts[0].new_keys": "ä",
	} {
		client := newAccountsClient(t, consol.WithAccountsForm())
		values := client.accountsForm("ana")
		values.Set(strings.TrimSpace(field), value)
		g.Expect(client.post("ana", "/accounts/review", values)).To(gomega.Equal(http.StatusUnprocessableEntity), field)
		g.Expect(client.shownAccounts()).To(gomega.HaveKeyWithValue(strings.TrimSpace(field), gomega.ContainElement(gomega.ContainSubstring(value))), field)
		v, _ := client.store.Get(spec.AccountsName)
		g.Expect(v.Revision).To(gomega.BeEquivalentTo(2), field)
	}
}

// Guards against a form in a fleet, where the accounts are part of the configuration.
func TestNoAccountsFormByDefault(t *testing.T) {
	g := gomega.NewWithT(t)
	client := newAccountsClient(t)
	g.Expect(client.do("ana", http.MethodGet, "/accounts/form", "")).To(gomega.Equal(http.StatusNotFound))
	g.Expect(client.do("ana", http.MethodGet, "/accounts", "")).To(gomega.Equal(http.StatusOK))
	g.Expect(client.body).NotTo(gomega.ContainSubstring("/accounts/form"))
}
