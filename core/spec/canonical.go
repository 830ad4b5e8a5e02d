package spec

import (
	"bytes"
	"cmp"
	"encoding/json"
	"reflect"
	"slices"
)

// Canonical returns the document as compact JSON with every field written
// out, in the order of the struct, empty lists as [], and methods once each in
// a fixed order. Equal documents give
// equal bytes, and a later change of a default can't change the meaning of a
// document that is kept in this form.
func Canonical(s Service) json.RawMessage {
	fillLists(reflect.ValueOf(&s).Elem())
	sortMethods(&s.Receive.NonIdempotentMethods)
	for i := range s.Receive.Routes {
		sortMethods(&s.Receive.Routes[i].Methods)
	}
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(s); err != nil {
		panic(err) // A Service holds only types that can be written as JSON.
	}
	return bytes.TrimSpace(buf.Bytes())
}

// sortMethods puts a list of methods into the order of methods, each once.
func sortMethods(list *[]string) {
	slices.SortFunc(*list, func(a, b string) int {
		return cmp.Compare(slices.Index(methods, a), slices.Index(methods, b))
	})
	*list = slices.Compact(*list)
}

// Indent returns body with one field per line, for people to read. A body
// that is not JSON comes back as it is.
func Indent(body []byte) []byte {
	var buf bytes.Buffer
	if err := json.Indent(&buf, body, "", "  "); err != nil {
		return body
	}
	buf.WriteByte('\n')
	return buf.Bytes()
}

// fillLists replaces nil slices in the struct v by empty ones. Slices of
// structs are copied first, so that the caller's document stays as it is.
func fillLists(v reflect.Value) {
	for i := range v.NumField() {
		f := v.Field(i)
		switch f.Kind() {
		case reflect.Struct:
			fillLists(f)
		case reflect.Slice:
			list := reflect.MakeSlice(f.Type(), f.Len(), f.Len())
			reflect.Copy(list, f)
			f.Set(list)
			for j := range list.Len() {
				if list.Index(j).Kind() == reflect.Struct {
					fillLists(list.Index(j))
				}
			}
		}
	}
}
