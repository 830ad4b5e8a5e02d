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
	// form holds the values of a document's fields by path, as a browser posts
	// them, and the faults found in them. An object in a list is a row; its path
	// ends in an index, as in "receive.routes[0]".
	form struct {
		entries []field.Entry // Describe all fields of a document.
		values  url.Values
		faults  strict.Faults
	}
)

// removeSuffix is the suffix of the name of the checkbox that removes a row.
const removeSuffix = ".remove"

// formOf returns the form of a valid document.
func formOf(doc spec.Service) *form {
	f := &form{entries: spec.Reference(), values: url.Values{}}
	var tree any
	dec := json.NewDecoder(bytes.NewReader(spec.Canonical(doc)))
	dec.UseNumber()
	if err := dec.Decode(&tree); err != nil {
		panic(err) // Canonical returns JSON.
	}
	f.addJSON(tree, "")
	return f
}

// addJSON adds the values of a decoded JSON document to the form, under path.
func (f *form) addJSON(tree any, path string) {
	switch v := tree.(type) {
	case map[string]any:
		for name, value := range v {
			f.addJSON(value, strings.TrimPrefix(path+"."+name, "."))
		}
	case []any:
		for i, item := range v {
			if text, ok := item.(string); ok {
				f.values.Add(path, text)
				continue
			}
			f.addJSON(item, fmt.Sprintf("%s[%d]", path, i))
		}
	case bool:
		if v {
			f.values.Set(path, "on")
		}
	default:
		f.values.Set(path, fmt.Sprint(v))
	}
}

// parseForm returns the form that an operator posted. Lists in a text area have
// one entry per line. Rows that are blank or marked for removal are dropped, and the
// remaining ones are numbered from 0.
func parseForm(values url.Values) *form {
	f := &form{entries: spec.Reference(), values: url.Values{}}
	rows := make(map[string][]int)
	for _, e := range f.entries {
		list, rest, isRow := strings.Cut(e.Path, "[]")
		if !isRow {
			f.setValues(e, e.Path, values[e.Path])
			continue
		}
		if _, ok := rows[list]; !ok {
			rows[list] = keptRows(f.entries, values, list)
		}
		for to, from := range rows[list] {
			f.setValues(e, rowPath(list, to)+rest, values[rowPath(list, from)+rest])
		}
	}
	return f
}

// setValues stores the posted values of field e under path, unless there are none.
func (f *form) setValues(e field.Entry, path string, values []string) {
	if e.Kind == field.List && e.Choices == nil {
		values = splitLines(values)
	}
	if len(values) > 0 {
		f.values[path] = values
	}
}

// splitLines returns the trimmed lines that are not empty.
func splitLines(values []string) []string {
	var list []string
	for _, line := range strings.Split(strings.Join(values, "\n"), "\n") {
		if line = strings.TrimSpace(line); line != "" {
			list = append(list, line)
		}
	}
	return list
}

// keptRows returns the indices of the posted rows of a list that are neither blank
// nor marked for removal, in ascending order.
func keptRows(entries []field.Entry, values url.Values, list string) []int {
	seen := make(map[int]bool)
	for name := range values {
		if i, ok := rowIndex(name, list); ok {
			seen[i] = true
		}
	}
	var rows []int
	for _, i := range slices.Sorted(maps.Keys(seen)) {
		rowName := rowPath(list, i)
		if !values.Has(rowName+removeSuffix) && !blank(entries, values, list, rowName) {
			rows = append(rows, i)
		}
	}
	return rows
}

// rowIndex returns the index of the row that the field called name has in list. It
// reports false when the field belongs to no row of list.
func rowIndex(name, list string) (int, bool) {
	rest, ok := strings.CutPrefix(name, list+"[")
	if !ok {
		return 0, false
	}
	number, _, _ := strings.Cut(rest, "]")
	i, err := strconv.Atoi(number)
	return i, err == nil && i >= 0
}

// blank reports whether every field of the row of list whose path is rowName is
// empty or has its default.
func blank(entries []field.Entry, values url.Values, list, rowName string) bool {
	for _, e := range entries {
		rest, ok := strings.CutPrefix(e.Path, list+"[]")
		if !ok {
			continue
		}
		if v := strings.Join(values[rowName+rest], ""); v != "" && v != e.Default {
			return false
		}
	}
	return true
}

// rowPath returns the path of row i of a list.
func rowPath(list string, i int) string {
	return list + "[" + strconv.Itoa(i) + "]"
}

// rows returns the number of rows that the form holds of a list: the highest index
// plus 1.
func (f *form) rows(list string) int {
	n := 0
	for path := range f.values {
		if i, ok := rowIndex(path, list); ok {
			n = max(n, i+1)
		}
	}
	return n
}

// document returns the document that the form describes and sets f.faults. The
// document is valid only if f.faults is then empty.
func (f *form) document() spec.Service {
	f.faults = nil
	tree := make(map[string]any)
	for _, e := range f.entries {
		list, rest, isRow := strings.Cut(e.Path, "[]")
		if !isRow {
			f.putValue(tree, e, e.Path)
			continue
		}
		for i := range f.rows(list) {
			f.putValue(tree, e, rowPath(list, i)+rest)
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

// putValue stores the form's value of field e at path in the tree of a document. It
// adds a fault instead when the value is not the number that the field needs.
func (f *form) putValue(tree map[string]any, e field.Entry, path string) {
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
	setPath(tree, path, value)
}

// setPath stores value in tree under a path such as "receive.routes[0].weight".
// Missing objects and rows are created.
func setPath(tree map[string]any, path string, value any) {
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
		setPath(child, rest, value)
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
	setPath(rows[i], rest, value)
}
