package consol

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"cardamomspool/core/field"
	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
)

var anyIndex = regexp.MustCompile(`\[\d+\]`)

type (
	// form is the fields of a document as posted, by path, with the faults
	// found in them. Lists of objects are rows, as in "receive.routes[0]".
	form struct {
		entries []field.Entry
		values  url.Values
		faults  strict.Faults
	}

	// section is a part of the rendered form.
	section struct {
		Title  string
		Faults []string
		Inputs []input
		Groups []group
	}

	// group is a list of objects in a section.
	group struct {
		Title string
		Path  string
		Rows  []row
	}

	row struct {
		Title  string
		Remove string
		Inputs []input
	}

	// input is one rendered field.
	input struct {
		field.Entry
		Name     string
		Value    string
		Checked  bool
		ReadOnly bool
		Options  []option
		Faults   []string
	}

	option struct {
		Value  string
		Chosen bool
	}
)

const (
	// blankRows is the number of empty rows offered after the filled ones.
	blankRows = 1
	// maxRows bounds the rows that a form may have.
	maxRows    = 200
	removeName = ".remove"
)

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
	for _, e := range f.entries {
		list, rest, isRow := strings.Cut(e.Path, "[]")
		if !isRow {
			f.take(e, e.Path, values[e.Path])
			continue
		}
		for to, from := range filledRows(f.entries, values, list) {
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

// filledRows returns the numbers of the posted rows of a list that count.
func filledRows(entries []field.Entry, values url.Values, list string) []int {
	var rows []int
	for i := range maxRows {
		at := rowPath(list, i)
		if !values.Has(at+removeName) && !blank(entries, values, list, at) {
			rows = append(rows, i)
		}
	}
	return rows
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
		if rest, ok := strings.CutPrefix(path, list+"["); ok {
			number, _, _ := strings.Cut(rest, "]")
			if i, err := strconv.Atoi(number); err == nil {
				n = max(n, i+1)
			}
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

// sections returns the form as it is rendered. A fault stands beside its
// field, or at the head of its section when it belongs to none.
func (f *form) sections(nameFixed bool) []section {
	var list []section
	for _, e := range f.entries {
		title, _, _ := strings.Cut(e.Path, ".")
		if len(list) == 0 || list[len(list)-1].Title != title {
			list = append(list, section{Title: title, Faults: f.strays(title)})
		}
		s := &list[len(list)-1]
		if path, rest, isRow := strings.Cut(e.Path, "[]"); isRow {
			f.addToGroup(s, e, path, rest)
			continue
		}
		in := f.input(e, e.Path)
		in.ReadOnly = nameFixed && e.Path == "name"
		s.Inputs = append(s.Inputs, in)
	}
	return list
}

func (f *form) addToGroup(s *section, e field.Entry, path, rest string) {
	i := slices.IndexFunc(s.Groups, func(g group) bool { return g.Path == path })
	if i < 0 {
		i = len(s.Groups)
		s.Groups = append(s.Groups, f.newGroup(path))
	}
	for n := range s.Groups[i].Rows {
		r := &s.Groups[i].Rows[n]
		in := f.input(e, rowPath(path, n)+rest)
		if r.Remove == "" {
			in.Value = e.Default
		}
		r.Inputs = append(r.Inputs, in)
	}
}

func (f *form) newGroup(path string) group {
	g := group{Title: path[strings.LastIndex(path, ".")+1:], Path: path}
	filled := f.rows(path)
	for n := range filled {
		g.Rows = append(g.Rows, row{Title: strconv.Itoa(n + 1), Remove: rowPath(path, n) + removeName})
	}
	for range blankRows {
		g.Rows = append(g.Rows, row{Title: "new"})
	}
	return g
}

func (f *form) input(e field.Entry, path string) input {
	in := input{Entry: e, Name: path, Value: f.values.Get(path)}
	for _, fault := range f.faults {
		if covers(path, fault.Path) {
			in.Faults = append(in.Faults, fault.Problem)
		}
	}
	switch {
	case e.Kind == field.Flag:
		in.Checked = in.Value != ""
	case e.Kind == field.List && e.Choices == nil:
		in.Value = strings.Join(f.values[path], "\n")
	case e.Choices != nil:
		for _, c := range e.Choices {
			in.Options = append(in.Options, option{Value: c, Chosen: slices.Contains(f.values[path], c)})
		}
	}
	return in
}

// strays returns the faults of a section that belong to none of its fields.
func (f *form) strays(title string) []string {
	var list []string
	for _, fault := range f.faults {
		section, _, _ := strings.Cut(fault.Path, ".")
		known := slices.ContainsFunc(f.entries, func(e field.Entry) bool { return covers(e.Path, fault.Path) })
		switch {
		case known || section != title:
		case fault.Path == title:
			list = append(list, fault.Problem)
		default:
			list = append(list, fault.Path+": "+fault.Problem)
		}
	}
	return list
}

// covers reports whether a fault's path belongs to the field at path, or to an
// entry of the list there. An empty index in path stands for any.
func covers(path, fault string) bool {
	if strings.HasSuffix(fault, "]") {
		fault = fault[:strings.LastIndex(fault, "[")]
	}
	if strings.Contains(path, "[]") {
		fault = anyIndex.ReplaceAllString(fault, "[]")
	}
	return path == fault
}
