package roster_test

import (
	"fmt"

	"cardamomspool/core/member"
	"cardamomspool/core/roster"
)

func ExampleTable_Hear() {
	t := roster.NewTable()
	fmt.Println(t.Hear(target("a", 1, 1, member.Ready)), t.Hear(target("a", 1, 2, member.Ready)))
	// Output: true false
}
