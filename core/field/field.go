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

	// Field says about one field what its Go type can't.
	Field struct {
		// Path names the field, as in "receive.routes[].weight".
		Path string
		// Label is the field's name for people, without a full stop.
		Label string
		// Help is one or two sentences on what the field does.
		Help string
		// Unit is the unit of a number; durations carry theirs.
		Unit string
		// Low and High bound a number, or a duration in nanoseconds, both
		// included. No bounds are known when both are 0.
		Low, High int64
		// Choices lists the allowed values of a text; nil allows any.
		Choices []string
	}

	// Entry is a field together with what its type says.
	Entry struct {
		Field
		// Kind is the type of the value.
		Kind Kind
		// Default is the value of a field that is left out, as written in a
		// document; empty when there is none.
		Default string
		// Known is false for a field that has no row in the table.
		Known bool
	}
)

// The kinds of values.
const (
	// Text is a string.
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

// String returns the kind's name in the reference.
func (k Kind) String() string {
	if k < Text || k > List {
		return "unknown"
	}
	return kindNames[k]
}

// Entries returns an entry for each leaf of the struct that v points to, in
// the order of the struct. The values in v are the defaults.
func Entries(table []Field, v any) []Entry {
	rows := make(map[string]Field, len(table))
	for _, f := range table {
		rows[f.Path] = f
	}
	var entries []Entry
	walk(reflect.ValueOf(v).Elem(), "", func(path string, leaf reflect.Value) {
		e := Entry{Kind: kindOf(leaf.Type()), Default: defaultText(leaf)}
		e.Field, e.Known = rows[path]
		if !e.Known {
			e.Field = Field{Path: path, Label: path}
		}
		entries = append(entries, e)
	})
	return entries
}

// Stale returns the paths in table that name no leaf of the struct that v
// points to.
func Stale(table []Field, v any) []string {
	known := make(map[string]bool)
	for _, e := range Entries(nil, v) {
		known[e.Path] = true
	}
	var stale []string
	for _, f := range table {
		if !known[f.Path] {
			stale = append(stale, f.Path)
		}
	}
	return stale
}

// Bounded reports whether the entry has a range.
func (e *Entry) Bounded() bool {
	return e.Low != 0 || e.High != 0
}

// Range returns the allowed values as text; empty when nothing is known.
func (e *Entry) Range() string {
	switch {
	case len(e.Choices) > 0:
		return strings.Join(e.Choices, ", ")
	case !e.Bounded():
		return ""
	default:
		return e.bound(e.Low) + " to " + e.bound(e.High)
	}
}

func (e *Entry) bound(v int64) string {
	if e.Kind == Duration {
		return durationText(time.Duration(v))
	}
	return strconv.FormatInt(v, 10)
}

// durationText writes d without the zero parts of time.Duration.String.
func durationText(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

func walk(v reflect.Value, path string, visit func(string, reflect.Value)) {
	for i := range v.NumField() {
		structField, value := v.Type().Field(i), v.Field(i)
		if structField.Anonymous {
			walk(value, path, visit)
			continue
		}
		name, _, _ := strings.Cut(structField.Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		descend(value, strings.TrimPrefix(path+"."+name, "."), visit)
	}
}

func descend(v reflect.Value, path string, visit func(string, reflect.Value)) {
	switch {
	case isObject(v.Type()):
		walk(v, path, visit)
	case v.Kind() == reflect.Slice && isObject(v.Type().Elem()):
		walk(reflect.New(v.Type().Elem()).Elem(), path+"[]", visit)
	default:
		visit(path, v)
	}
}

// isObject reports whether t is written as a JSON object: a struct that does
// not write itself as text.
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

func defaultText(v reflect.Value) string {
	switch value := v.Interface().(type) {
	case strict.Duration:
		return durationText(value.Std())
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
