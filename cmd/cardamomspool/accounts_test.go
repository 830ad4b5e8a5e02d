package main

import (
	"bytes"
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/io/admin"
)

// Guards against a table that shows a quota for an account without one, or hides that
// the numbers may be old.
func TestAccountsAreListed(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	g.Expect(printAccounts(&out, outputTable, []admin.AccountUse{
		{Account: "shop", Rate: 150, Burst: 37.5, Room: -3.04, Used: 790, Refused: 12},
		{Account: "free", Used: 4, Restricted: true},
	})).To(gomega.Succeed())
	g.Expect(out.String()).To(gomega.Equal(
		"ACCOUNT  USED  RATE  BURST  ROOM  REFUSED  STATE\n" +
			"shop     790   150   37.5   -3    12       -\n" +
			"free     4     -     -      -     0        no majority heard\n"))
}
