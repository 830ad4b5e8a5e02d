package quorum_test

import (
	"errors"
	"fmt"

	"cardamomspool/core/quorum"
)

func ExampleApply() {
	first := quorum.Change{Name: "bookings", Base: 0, Request: "ana-1", Body: []byte(`{"slots":3}`)}
	v, done, err := quorum.Apply(quorum.Value{}, first)
	fmt.Println("accepted as revision", done.Revision, err)

	// The response was lost; a retry of the request returns the same result.
	v, done, err = quorum.Apply(v, first)
	fmt.Println("accepted as revision", done.Revision, err)

	// Another operator has based a change on revision 0 as well.
	second := quorum.Change{Name: "bookings", Base: 0, Request: "beni-1", Body: []byte(`{"slots":4}`)}
	_, _, err = quorum.Apply(v, second)
	var conflict *quorum.ConflictError
	fmt.Println("conflict:", errors.As(err, &conflict), "with revision", conflict.Current.Revision)
	// Output:
	// accepted as revision 1 <nil>
	// accepted as revision 1 <nil>
	// conflict: true with revision 1
}
