package consol

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"cardamomspool/core/field"
	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
)

type (
	// form is the fields of a document as posted, by path, with the faults
	// found in them. Lists of objects are rows, as in "receive.routes[0]".
	form struct {
		entries []field.Entry
		values  url.Values
		faults  strict.Faults
	}
)

// removeName ends the name of the box that takes out a row.
const removeName = ".remove"

// formOf returns the form of a valid document.
func formOf(doc spec.Service) *form {
	f := &form{entries: spec.Reference(), values: url.Values{}}
	var tree any
	dec := json.NewDecoder(bytes.NewReader(spec.Canonical(doc)))
	dec.UseNumber()
	if err := dec.Decode(&tree); err != nil {
		panic(err) // Canonical returns JSON.
	}
	f.fill(tree, "")
	return f
}

// fill takes the values of a document's JSON into the form.
func (f *form) fill(tree any, path string) {
	switch v := tree.(type) {
	case map[string]any:
		for name, value := range v {
			f.fill(value, strings.TrimPrefix(path+"."+name, "."))
		}
	case []any:
		for i, item := range v {
			if text, ok := item.(string); ok {
				f.values.Add(path, text)
				continue
			}
			f.fill(item, fmt.Sprintf("%s[%d]", path, i))
		}
	case bool:
		if v {
			f.values.Set(path, "on")
		}
	default:
		f.values.Set(path, fmt.Sprint(v))
	}
}

// posted returns the form that an operator sent. Lists written in a text area
// have one entry per line; rows that were left blank or are to be removed are
// taken out.
func posted(values url.Values) *form {
	f := &form{entries: spec.Reference(), values: url.Values{}}
	rows := make(map[string][]int)
	for _, e := range f.entries {
		list, rest, isRow := strings.Cut(e.Path, "[]")
		if !isRow {
			f.take(e, e.Path, values[e.Path])
			continue
		}
		if _, ok := rows[list]; !ok {
			rows[list] = filledRows(f.entries, values, list)
		}
		for to, from := range rows[list] {
			f.take(e, rowPath(list, to)+rest, values[rowPath(list, from)+rest])
		}
	}
	return f
}

func (f *form) take(e field.Entry, path string, given []string) {
	if e.Kind == field.List && e.Choices == nil {
		given = lines(given)
	}
	if len(given) > 0 {
		f.values[path] = given
	}
}

func lines(given []string) []string {
	var list []string
	for _, line := range strings.Split(strings.Join(given, "\n"), "\n") {
		if line = strings.TrimSpace(line); line != "" {
			list = append(list, line)
		}
	}
	return list
}

// filledRows returns the numbers of the posted rows of a list that count, in
// order.
func filledRows(entries []field.Entry, values url.Values, list string) []int {
	seen := make(map[int]bool)
	for name := range values {
		if i, ok := rowOf(name, list); ok {
			seen[i] = true
		}
	}
	var rows []int
	for _, i := range slices.Sorted(maps.Keys(seen)) {
		at := rowPath(list, i)
		if !values.Has(at+removeName) && !blank(entries, values, list, at) {
			rows = append(rows, i)
		}
	}
	return rows
}

// rowOf returns the number of the row of a list that a field belongs to.
func rowOf(name, list string) (int, bool) {
	rest, ok := strings.CutPrefix(name, list+"[")
	if !ok {
		return 0, false
	}
	number, _, _ := strings.Cut(rest, "]")
	i, err := strconv.Atoi(number)
	return i, err == nil && i >= 0
}

// blank reports whether every field of a row is empty or at its default.
func blank(entries []field.Entry, values url.Values, list, at string) bool {
	for _, e := range entries {
		rest, ok := strings.CutPrefix(e.Path, list+"[]")
		if !ok {
			continue
		}
		if v := strings.Join(values[at+rest], ""); v != "" && v != e.Default {
			return false
		}
	}
	return true
}

func rowPath(list string, i int) string {
	return list + "[" + strconv.Itoa(i) + "]"
}

// rows returns the number of filled rows of a list.
func (f *form) rows(list string) int {
	n := 0
	for path := range f.values {
		if i, ok := rowOf(path, list); ok {
			n = max(n, i+1)
		}
	}
	return n
}

// document returns the one document that the form stands for. It is usable
// only when the form then has no faults.
func (f *form) document() spec.Service {
	f.faults = nil
	tree := make(map[string]any)
	for _, e := range f.entries {
		list, rest, isRow := strings.Cut(e.Path, "[]")
		if !isRow {
			f.put(tree, e, e.Path)
			continue
		}
		for i := range f.rows(list) {
			f.put(tree, e, rowPath(list, i)+rest)
		}
	}
	data, err := json.Marshal(tree)
	if err != nil {
		panic(err) // The tree holds texts, numbers, booleans and lists.
	}
	doc, faults := spec.Parse(data)
	f.faults = append(f.faults, faults...)
	return doc
}

// put writes the value of one field into the tree of a document.
func (f *form) put(tree map[string]any, e field.Entry, path string) {
	text := strings.TrimSpace(f.values.Get(path))
	var value any = text
	switch e.Kind {
	case field.Flag:
		value = text != ""
	case field.List:
		value = append([]string{}, f.values[path]...)
	case field.Number:
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			f.faults.Add(path, "is %q, must be a whole number", text)
			return
		}
		value = n
	}
	set(tree, path, value)
}

// set stores value under a path such as "receive.routes[0].weight". Rows are
// set in order.
func set(tree map[string]any, path string, value any) {
	name, rest, nested := strings.Cut(path, ".")
	if !nested {
		tree[name] = value
		return
	}
	list, number, isRow := strings.Cut(strings.TrimSuffix(name, "]"), "[")
	if !isRow {
		child, ok := tree[name].(map[string]any)
		if !ok {
			child = make(map[string]any)
			tree[name] = child
		}
		set(child, rest, value)
		return
	}
	i, err := strconv.Atoi(number)
	if err != nil {
		return
	}
	rows, _ := tree[list].([]map[string]any)
	for len(rows) <= i {
		rows = append(rows, make(map[string]any))
	}
	tree[list] = rows
	set(rows[i], rest, value)
}
