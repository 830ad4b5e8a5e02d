package spec_test

import (
	"fmt"

	"cardamomspool/core/spec"
)

func ExampleParse() {
	_, faults := spec.Parse([]byte(`{"name": "Bookings", "receive": {"path_prefixes": ["bookings"]}, "hold": {"size": 3}}`))
	for _, f := range faults {
		fmt.Println(f.Path)
	}
	// Output:
	// hold.size
	// name
	// receive.path_prefixes[0]
}

func ExampleReceive_Classify() {
	doc, _ := spec.Parse([]byte(`{"name": "bookings", "receive": {
		"path_prefixes": ["/bookings"], "deadline": "2s",
		"routes": [{"path_prefix": "/bookings/deposits", "weight": 5, "non_idempotent": true}]}}`))
	class := doc.Receive.Classify("PUT", "/bookings/deposits/17")
	fmt.Println(class.Weight, class.Deadline, class.Idempotent)
	// Output: 5 2s false
}
