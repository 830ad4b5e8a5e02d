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
	rank := 2
	g.Expect(printAccounts(&out, outputTable, []admin.AccountUse{
		{Account: "shop", Rank: &rank, Rate: 150, Burst: 37.5, Room: -3.04, Used: 790, Refused: 12, Limited: true},
		{Account: "free", Used: 4, Restricted: true, Unheard: 2},
	})).To(gomega.Succeed())
	g.Expect(out.String()).To(gomega.Equal(
		"ACCOUNT  RANK  USED  RATE  BURST  ROOM  REFUSED  STATE\n" +
			"shop     2     790   150   37.5   -3    12       limited\n" +
			"free     -     4     -     -      -     0        no majority heard, 2 entry hosts not heard\n"))
}
