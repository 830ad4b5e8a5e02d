package consol_test

import (
	"net/http"
	"net/url"
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/core/spec"
	"cardamomspool/io/admin"
	"cardamomspool/io/consol"
)

// newAccountsClient returns a client of a store that holds client accounts in two revisions.
func newAccountsClient(t *testing.T, opts ...consol.Option) *recordingClient {
	g := gomega.NewWithT(t)
	client := newRecordingClient(t, "", opts...)
	for i, body := range []string{
		`{"accounts":[{"name":"shop","keys":["k-s3cret-1","k-s3cret-2"],"rank":2,"rate":12.5,"burst":30}]}`,
		`{"accounts":[{"name":"shop","keys":["k-s3cret-2"],"rank":2,"rate":12.5,"burst":30},{"name":"desk <1>","keys":["k-s3cret-3"]}]}`,
	} {
		status := client.do("marta", http.MethodPut, admin.AccountsDocumentPath, body,
			admin.HeaderBaseRevision, []string{"0", "1"}[i], admin.HeaderIdempotencyKey, []string{"a", "b"}[i])
		g.Expect(status).To(gomega.Equal(http.StatusOK), client.body)
	}
	return client
}

// Guards against pages of services that show the keys of accounts or change them.
func TestPagesOfServicesShowNoAccounts(t *testing.T) {
	g := gomega.NewWithT(t)
	client := newAccountsClient(t)
	g.Expect(client.do("marta", http.MethodGet, "/", "")).To(gomega.Equal(http.StatusOK))
	g.Expect(client.body).NotTo(gomega.ContainSubstring(spec.AccountsName))
	for _, path := range []string{"", "/history", "/delete", "?from=1"} {
		g.Expect(client.do("marta", http.MethodGet, "/services/"+spec.AccountsName+path, "")).To(gomega.Equal(http.StatusNotFound), path)
		g.Expect(client.body).NotTo(gomega.ContainSubstring("s3cret"), path)
	}
	g.Expect(client.do("marta", http.MethodGet, "/services/bookings/delete", "")).To(gomega.Equal(http.StatusOK))
	values := client.hidden("/delete")
	values.Set("name", spec.AccountsName)
	values.Set("base", "2")
	g.Expect(client.post("marta", "/delete", values)).To(gomega.Equal(http.StatusNotFound))
	g.Expect(client.post("marta", "/apply", url.Values{"form": values["form"], "name": {spec.AccountsName}})).To(gomega.Equal(http.StatusNotFound))
	v, ok := client.store.Get(spec.AccountsName)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(v.Revision).To(gomega.BeEquivalentTo(2))
}

// Guards against a page that shows a key, or hides an account that has no room.
func TestAccountsPageMasksKeys(t *testing.T) {
	g := gomega.NewWithT(t)
	client, rank := newAccountsClient(t), 2
	client.text.Reset() // The changes above hold keys in clear.
	client.accounts = []admin.AccountUse{
		{Account: "shop", Rank: &rank, Rate: 12.5, Burst: 30, Room: 0.25, Used: 61, Refused: 7, Limited: true},
		{Account: "desk <1>", Used: 3, Unheard: 1},
	}
	g.Expect(client.do("marta", http.MethodGet, "/accounts", "")).To(gomega.Equal(http.StatusOK))
	g.Expect(client.body).NotTo(gomega.ContainSubstring("s3cret"))
	client.comment("In a fleet without quotas, or without accounts, there is nothing to show.")
	client.accounts = nil
	g.Expect(client.do("marta", http.MethodDelete, admin.AccountsDocumentPath, "",
		admin.HeaderBaseRevision, "2", admin.HeaderIdempotencyKey, "c")).To(gomega.Equal(http.StatusOK))
	g.Expect(client.do("marta", http.MethodGet, "/accounts", "")).To(gomega.Equal(http.StatusOK))
	client.compare("accounts")
}
