package roster_test

import (
	"fmt"

	"cardamomspool/core/member"
	"cardamomspool/core/roster"
)

func ExampleTable_Merge() {
	t := roster.NewTable()
	fmt.Println(t.Merge(target("a", 1, 1, member.Ready)), t.Merge(target("a", 1, 2, member.Ready)))
	// Output: true false
}
