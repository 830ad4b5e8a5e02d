package field

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"cardamomspool/core/strict"
)

type (
	// Kind is the type of a field's value as operators write it.
	Kind uint8

	// Field describes one field of a struct, beyond what its Go type shows.
	Field struct {
		// Path consists of the JSON names of the field and of the fields that
		// hold it, with "[]" after lists, as in "receive.routes[].weight".
		Path string
		// Label is the displayed name of the field, without a full stop.
		Label string
		// Help describes the field in one or two sentences.
		Help string
		// Unit is the unit of a number; empty for durations, whose values
		// include their unit.
		Unit string
		// Low and High are the smallest and the largest value of a number, or of
		// a duration in nanoseconds. Both are 0 when there is no range.
		Low, High int64
		// Choices lists the allowed values of a Text or List field; nil allows any.
		Choices []string
	}

	// Entry is a Field together with the kind and the default that its struct
	// gives it.
	Entry struct {
		Field
		// Kind is the type of the value.
		Kind Kind
		// Default is the value that applies when a document leaves the field
		// out, as written in a document; empty when there is none.
		Default string
		// Known says that the table describes the field.
		Known bool
	}
)

// The kinds of values.
const (
	// Text is a string, or any type without a kind of its own.
	Text Kind = iota + 1
	// Number is a whole number.
	Number
	// Duration is a strict.Duration.
	Duration
	// Flag is a boolean.
	Flag
	// List is a list of strings.
	List
)

var (
	kindNames = [...]string{Text: "text", Number: "number", Duration: "duration", Flag: "true or false", List: "list of texts"}

	durationType = reflect.TypeFor[strict.Duration]()
)

// String returns the kind's name as printed in the reference.
func (k Kind) String() string {
	if k < Text || k > List {
		return "unknown"
	}
	return kindNames[k]
}

// Entries returns an entry for each leaf field of the struct that v points to, in
// the order of the struct. The values in v are the defaults. A field that table
// does not describe gets its path as Label.
func Entries(table []Field, v any) []Entry {
	fieldsByPath := make(map[string]Field, len(table))
	for _, f := range table {
		fieldsByPath[f.Path] = f
	}
	var entries []Entry
	walkStruct(reflect.ValueOf(v).Elem(), "", func(path string, leaf reflect.Value) {
		e := Entry{Kind: kindOf(leaf.Type()), Default: formatDefault(leaf)}
		e.Field, e.Known = fieldsByPath[path]
		if !e.Known {
			e.Field = Field{Path: path, Label: path}
		}
		entries = append(entries, e)
	})
	return entries
}

// UnknownPaths returns the paths in table that are not those of a leaf field of
// the struct that v points to.
func UnknownPaths(table []Field, v any) []string {
	known := make(map[string]bool)
	for _, e := range Entries(nil, v) {
		known[e.Path] = true
	}
	var unknown []string
	for _, f := range table {
		if !known[f.Path] {
			unknown = append(unknown, f.Path)
		}
	}
	return unknown
}

// Bounded reports whether the field has a range.
func (e *Entry) Bounded() bool {
	return e.Low != 0 || e.High != 0
}

// Range returns the allowed values as text, and "" when there is neither a list
// of choices nor a range.
func (e *Entry) Range() string {
	switch {
	case len(e.Choices) > 0:
		return strings.Join(e.Choices, ", ")
	case !e.Bounded():
		return ""
	default:
		return e.formatBound(e.Low) + " to " + e.formatBound(e.High)
	}
}

func (e *Entry) formatBound(v int64) string {
	if e.Kind == Duration {
		return formatDuration(time.Duration(v))
	}
	return strconv.FormatInt(v, 10)
}

// formatDuration formats d like time.Duration.String, without trailing "0s" and
// "0m".
func formatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// walkStruct calls visit with the path and the value of each leaf field of the
// struct v, whose own path is path. It omits fields without a JSON name.
func walkStruct(v reflect.Value, path string, visit func(string, reflect.Value)) {
	for i := range v.NumField() {
		structField, value := v.Type().Field(i), v.Field(i)
		if structField.Anonymous {
			walkStruct(value, path, visit)
			continue
		}
		name, _, _ := strings.Cut(structField.Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		walkValue(value, strings.TrimPrefix(path+"."+name, "."), visit)
	}
}

// walkValue calls visit for v, or for the leaf fields of v when v is a struct or a
// slice of structs; a slice is represented by a zero element.
func walkValue(v reflect.Value, path string, visit func(string, reflect.Value)) {
	switch {
	case isObject(v.Type()):
		walkStruct(v, path, visit)
	case v.Kind() == reflect.Slice && isObject(v.Type().Elem()):
		walkStruct(reflect.New(v.Type().Elem()).Elem(), path+"[]", visit)
	default:
		visit(path, v)
	}
}

// isObject reports whether t is encoded as a JSON object: a struct that does not
// encode itself as text.
func isObject(t reflect.Type) bool {
	_, text := reflect.New(t).Interface().(interface{ UnmarshalText([]byte) error })
	return t.Kind() == reflect.Struct && !text
}

func kindOf(t reflect.Type) Kind {
	switch {
	case t == durationType:
		return Duration
	case t.Kind() == reflect.Bool:
		return Flag
	case t.Kind() == reflect.Slice:
		return List
	case t.Kind() >= reflect.Int && t.Kind() <= reflect.Uint64:
		return Number
	default:
		return Text
	}
}

// formatDefault formats a value as written in a document. It returns "" for the
// zero value of a type other than int, bool and strict.Duration.
func formatDefault(v reflect.Value) string {
	switch value := v.Interface().(type) {
	case strict.Duration:
		return formatDuration(value.Std())
	case []string:
		return strings.Join(value, ", ")
	case string:
		return value
	}
	if v.Kind() != reflect.Int && v.Kind() != reflect.Bool && v.IsZero() {
		return ""
	}
	return fmt.Sprint(v.Interface())
}
