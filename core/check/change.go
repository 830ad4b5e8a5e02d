package check

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"cardamomspool/core/plan"
)

// Change is one difference between two plans.
type Change struct {
	// At names the part of the plan.
	At string `json:"at"`
	// Text says what differs.
	Text string `json:"text"`
}

// Changes returns what differs in next from the plan in force: routes, services, accounts
// and limits, each by name, in this order and sorted by name.
func Changes(inForce, next *plan.Plan) []Change {
	changes := []Change{}
	if inForce.Version != next.Version {
		changes = append(changes, Change{At: "version", Text: fmt.Sprintf("%d, in force %d", next.Version, inForce.Version)})
	}
	changes = appendChanges(changes, "routes", inForce.Routes, next.Routes, func(r *plan.Route) string { return r.Name })
	changes = appendChanges(changes, "services", inForce.Services, next.Services, func(s *plan.Service) string { return s.Name })
	changes = appendChanges(changes, "accounts", inForce.Accounts, next.Accounts, func(a *plan.Account) string { return a.Name })
	if inForce.Limits != next.Limits {
		changes = append(changes, Change{At: "limits", Text: fieldChanges(inForce.Limits, next.Limits)})
	}
	return changes
}

// appendChanges appends the differences of two lists, whose entries nameOf names.
func appendChanges[T any](dst []Change, kind string, inForce, next []T, nameOf func(*T) string) []Change {
	before, after := make(map[string]*T), make(map[string]*T)
	var names []string
	for i := range inForce {
		before[nameOf(&inForce[i])] = &inForce[i]
		names = append(names, nameOf(&inForce[i]))
	}
	for i := range next {
		after[nameOf(&next[i])] = &next[i]
		names = append(names, nameOf(&next[i]))
	}
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		text := ""
		switch old, v := before[name], after[name]; {
		case old == nil:
			text = "added"
		case v == nil:
			text = "removed"
		default:
			text = fieldChanges(*old, *v)
		}
		if text != "" {
			dst = append(dst, Change{At: kind + "[" + name + "]", Text: text})
		}
	}
	return dst
}

// fieldChanges returns the fields that differ in two values of one type, empty for none.
func fieldChanges(before, after any) string {
	old, v := fieldsOf(before), fieldsOf(after)
	var names, list []string
	for name := range old {
		names = append(names, name)
	}
	for name := range v {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		if a, b := orNone(old[name]), orNone(v[name]); a != b {
			list = append(list, fmt.Sprintf("%s %s, in force %s", name, b, a))
		}
	}
	return strings.Join(list, "; ")
}

// fieldsOf returns the fields of a value by their names in JSON, with keys masked.
func fieldsOf(v any) map[string]string {
	if a, ok := v.(plan.Account); ok {
		fields := fieldsOf(struct {
			Rank  *int    `json:"rank,omitempty"`
			Rate  float64 `json:"rate"`
			Burst float64 `json:"burst"`
		}{a.Rank, a.Rate, a.Burst})
		masked := make([]string, len(a.Keys))
		for i, k := range a.Keys {
			masked[i] = k.Masked()
		}
		slices.Sort(masked)
		fields["keys"] = "[" + strings.Join(masked, " ") + "]"
		return fields
	}
	raw := make(map[string]json.RawMessage)
	data, err := json.Marshal(v)
	if err == nil {
		err = json.Unmarshal(data, &raw)
	}
	if err != nil {
		return map[string]string{"": err.Error()} // A plan that was decoded can be encoded.
	}
	fields := make(map[string]string, len(raw))
	for name, value := range raw {
		fields[name] = string(value)
	}
	return fields
}

// orNone returns text, or "none" when it is empty.
func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
