package wire_test

import (
	"fmt"

	"cardamomspool/core/wire"
)

func ExampleParseLoad() {
	l, err := wire.ParseLoad("running=2 queued=0 slots=3")
	fmt.Println(l.FreeSlots(), err)
	// Output: 1 <nil>
}
