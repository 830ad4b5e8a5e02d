package strict

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"reflect"
	"sort"
	"strings"
	"time"
)

type (
	// Fault is an error in one field of a document.
	Fault struct {
		// Path names the field, as in "receive.routes[0].weight".
		Path string `json:"path"`
		// Problem describes the error and the allowed values.
		Problem string `json:"problem"`
	}

	// Faults implements error. Return f.Err() instead of f: an empty Faults is a
	// non-nil error.
	Faults []Fault

	// Duration is a time.Duration that is encoded in JSON as a string, such as
	// "250ms".
	Duration time.Duration
)

var (
	_ json.Marshaler   = Duration(0)
	_ json.Unmarshaler = (*Duration)(nil)
	_ error            = Faults(nil)

	unmarshalerType = reflect.TypeFor[json.Unmarshaler]()
)

// Error joins the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Path + ": " + fault.Problem
	}
	return strings.Join(lines, "\n")
}

// Err returns f as an error, or nil when f is empty.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Add appends a fault of the field at path. The problem is formatted like
// fmt.Sprintf.
func (f *Faults) Add(path, format string, args ...any) {
	*f = append(*f, Fault{Path: path, Problem: fmt.Sprintf(format, args...)})
}

// CheckRange adds a fault of the field at path when v is less than lo or greater than
// hi.
func (f *Faults) CheckRange(path string, v, lo, hi int) {
	if v < lo || v > hi {
		f.Add(path, "is %d, must be from %d to %d", v, lo, hi)
	}
}

// CheckDurationRange adds a fault of the field at path when d is less than lo or
// greater than hi.
func (f *Faults) CheckDurationRange(path string, d Duration, lo, hi time.Duration) {
	if v := d.Std(); v < lo || v > hi {
		f.Add(path, "is %q, must be from %q to %q", v, lo, hi)
	}
}

// CheckOptionalDuration adds a fault unless d is 0 or from lo to hi.
func (f *Faults) CheckOptionalDuration(path string, d Duration, lo, hi time.Duration) {
	if v := d.Std(); v != 0 && (v < lo || v > hi) {
		f.Add(path, "is %q, must be \"0s\" or from %q to %q", v, lo, hi)
	}
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// MarshalJSON encodes d as a string in the format of time.Duration.String.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a string in the format of time.ParseDuration, such as
// "250ms".
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return errors.New(`must be a duration in quotes, as "250ms"`)
	}
	var (
		v   time.Duration
		err error
	)
	if v, err = time.ParseDuration(s); err != nil {
		return fmt.Errorf("%q is no duration; write it as \"250ms\"", s)
	}
	*d = Duration(v)
	return nil
}

// Decode decodes one JSON document from data into the struct that v points to.
// It returns a Fault for each unknown field and each value of the wrong type; when
// there are faults, the content of v is unspecified. Fields that data leaves out
// keep their values. A fault of the document as a whole has the path ".".
func Decode(data []byte, v any) Faults {
	var (
		faults Faults
		tree   any
	)
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	if err := dec.Decode(&tree); err != nil {
		faults.Add(".", "is not JSON: %v", err)
		return faults
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		faults.Add(".", "has data after the end of the document")
		return faults
	}
	decodeValue(tree, reflect.ValueOf(v).Elem(), "", &faults)
	return faults
}

// decodeValue stores tree, a decoded JSON value, in v and adds the faults that it
// finds, with paths that begin with path.
func decodeValue(tree any, v reflect.Value, path string, faults *Faults) {
	if v.CanAddr() && v.Addr().Type().Implements(unmarshalerType) {
		decodeLeaf(tree, v, path, faults)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		decodeStruct(tree, v, path, faults)
	case reflect.Slice:
		decodeSlice(tree, v, path, faults)
	default:
		decodeLeaf(tree, v, path, faults)
	}
}

// decodeStruct stores tree, an object, in the struct v. A struct that decodes itself
// from text is a leaf.
func decodeStruct(tree any, v reflect.Value, path string, faults *Faults) {
	if _, ok := v.Addr().Interface().(interface{ UnmarshalText([]byte) error }); ok {
		decodeLeaf(tree, v, path, faults)
		return
	}
	object, ok := tree.(map[string]any)
	if !ok {
		faults.Add(pathOrRoot(path), "must be an object")
		return
	}
	fields := fieldsByName(v)
	for _, name := range sortedKeys(object) {
		field, known := fields[name]
		if !known {
			faults.Add(joinPath(path, name), "unknown field")
			continue
		}
		decodeValue(object[name], field, joinPath(path, name), faults)
	}
}

// decodeSlice stores tree, a list or null, in the slice v; null gives an empty slice.
func decodeSlice(tree any, v reflect.Value, path string, faults *Faults) {
	list, ok := tree.([]any)
	if !ok && tree != nil {
		faults.Add(pathOrRoot(path), "must be a list")
		return
	}
	out := reflect.MakeSlice(v.Type(), len(list), len(list))
	for i, item := range list {
		decodeValue(item, out.Index(i), fmt.Sprintf("%s[%d]", path, i), faults)
	}
	v.Set(out)
}

// decodeLeaf stores tree in v by encoding/json.
func decodeLeaf(tree any, v reflect.Value, path string, faults *Faults) {
	var (
		raw []byte
		err error
	)
	if raw, err = json.Marshal(tree); err != nil {
		faults.Add(pathOrRoot(path), "%v", err)
		return
	}
	if err = json.Unmarshal(raw, v.Addr().Interface()); err != nil {
		faults.Add(pathOrRoot(path), "%s", describeLeafError(err))
	}
}

// describeLeafError returns the text of a Fault.Problem for an error from decoding a
// leaf.
func describeLeafError(err error) string {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return fmt.Sprintf("is a %s, must be of kind %s", typeErr.Value, typeErr.Type.Kind())
	}
	return err.Error()
}

// fieldsByName returns the fields of the struct v, including those of embedded
// structs, by their names in JSON.
func fieldsByName(v reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value)
	for i := range v.NumField() {
		if v.Type().Field(i).Anonymous {
			maps.Copy(fields, fieldsByName(v.Field(i)))
			continue
		}
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = v.Field(i)
		}
	}
	return fields
}

func sortedKeys(object map[string]any) []string {
	names := make([]string, 0, len(object))
	for name := range object {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// pathOrRoot returns path, or "." for the empty path of the document as a whole.
func pathOrRoot(path string) string {
	if path == "" {
		return "."
	}
	return path
}
