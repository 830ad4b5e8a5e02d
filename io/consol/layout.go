package consol

import (
	"regexp"
	"slices"
	"strconv"
	"strings"

	"cardamomspool/core/field"
)

type (
	// section is a rendered section of the form, one per top-level field.
	section struct {
		Title  string
		Faults []string
		Inputs []input
		Groups []group
	}

	// group is a rendered list of objects in a section.
	group struct {
		Title string
		Path  string
		Rows  []row
	}

	// row is a rendered object of a list.
	row struct {
		Title string
		// Remove is the name of the checkbox that removes the row. It is empty
		// for the blank row that adds an object.
		Remove string
		Inputs []input
	}

	// input is a rendered field.
	input struct {
		field.Entry
		Name     string
		Value    string
		Checked  bool
		ReadOnly bool
		Options  []option
		Faults   []string
	}

	// option is one of the choices of an input.
	option struct {
		Value  string
		Chosen bool
	}
)

// blankRows is the number of empty rows shown after the filled ones.
const blankRows = 1

// indexPattern matches the index of a row in a path, such as [0].
var indexPattern = regexp.MustCompile(`\[\d+\]`)

// sections returns the form's sections for rendering. A fault is attached to its
// field, or to its section when it matches no field. The name is read-only when
// nameFixed is true.
func (f *form) sections(nameFixed bool) []section {
	var list []section
	for _, e := range f.entries {
		title, _, _ := strings.Cut(e.Path, ".")
		if len(list) == 0 || list[len(list)-1].Title != title {
			list = append(list, section{Title: title, Faults: f.unmatchedFaults(title)})
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

// addToGroup adds an input of field e to each row of the list at path. The group of
// the list is created with its first field. The path of e continues with rest after
// the index. Inputs of blank rows hold the default.
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

// newGroup returns a group for the list at path, with a row without inputs for each
// row of the form and blankRows further ones.
func (f *form) newGroup(path string) group {
	g := group{Title: path[strings.LastIndex(path, ".")+1:], Path: path}
	filled := f.rows(path)
	for n := range filled {
		g.Rows = append(g.Rows, row{Title: strconv.Itoa(n + 1), Remove: rowPath(path, n) + removeSuffix})
	}
	for range blankRows {
		g.Rows = append(g.Rows, row{Title: "new"})
	}
	return g
}

// input returns field e at path with its value and its faults.
func (f *form) input(e field.Entry, path string) input {
	in := input{Entry: e, Name: path, Value: f.values.Get(path)}
	for _, fault := range f.faults {
		if matchesField(path, fault.Path) {
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

// unmatchedFaults returns the faults of the section called title that match none
// of its fields.
func (f *form) unmatchedFaults(title string) []string {
	var list []string
	for _, fault := range f.faults {
		section, _, _ := strings.Cut(fault.Path, ".")
		known := slices.ContainsFunc(f.entries, func(e field.Entry) bool { return matchesField(e.Path, fault.Path) })
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

// matchesField reports whether fault, the path of a fault, is that of the field at
// path or of an entry of the list at path. An empty index in path matches any index.
func matchesField(path, fault string) bool {
	if strings.HasSuffix(fault, "]") {
		fault = fault[:strings.LastIndex(fault, "[")]
	}
	if strings.Contains(path, "[]") {
		fault = indexPattern.ReplaceAllString(fault, "[]")
	}
	return path == fault
}
