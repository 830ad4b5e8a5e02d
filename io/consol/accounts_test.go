package consol_test

import (
	"net/http"
	"net/url"
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/core/spec"
	"cardamomspool/io/admin"
)

// newAccountsClient returns a client of a store that holds client accounts in two revisions.
func newAccountsClient(t *testing.T) *recordingClient {
	g := gomega.NewWithT(t)
	client := newRecordingClient(t, "")
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
