package plan_test

import (
	"fmt"

	"cardamomspool/core/plan"
)

func ExampleTable_Find() {
	p := plan.Plan{Routes: []plan.Route{{Name: "all", Host: "shop.example", PathPrefix: "/"}, {Name: "photos", Host: "shop.example", PathPrefix: "/photos/"}}}
	fmt.Println(plan.NewTable(&p).Find("shop.example", "/photos/1").Name)
	// Output: photos
}
