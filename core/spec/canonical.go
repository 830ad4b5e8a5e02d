package spec

import (
	"bytes"
	"cmp"
	"encoding/json"
	"reflect"
	"slices"

	"cardamomspool/core/strict"
)

// Canonical returns the document as compact JSON: all fields in the order of the
// struct, empty lists as [], and methods in a fixed order without duplicates.
// Equal documents give equal bytes. Since fields with default values are included,
// a later change of a default can't change the meaning of a stored document.
func Canonical(s Service) json.RawMessage {
	replaceNilSlices(reflect.ValueOf(&s).Elem())
	sortMethods(&s.Receive.NonIdempotentMethods)
	for i := range s.Receive.Routes {
		sortMethods(&s.Receive.Routes[i].Methods)
	}
	return encode(s)
}

// CanonicalAccounts returns the document as compact JSON, as Canonical does for a service.
func CanonicalAccounts(a Accounts) json.RawMessage {
	replaceNilSlices(reflect.ValueOf(&a).Elem())
	return encode(a)
}

// CanonicalNamed decodes and validates the document called name, of a service or of the
// client accounts, and returns it in canonical form. The form must not be used if there are
// faults.
func CanonicalNamed(name string, data []byte) (json.RawMessage, strict.Faults) {
	if name == AccountsName {
		doc, faults := ParseAccounts(data)
		return CanonicalAccounts(doc), faults
	}
	doc, faults := Parse(data)
	if len(faults) == 0 && doc.Name != name {
		faults.Add("name", "is %q, must be %q as in the address", doc.Name, name)
	}
	return Canonical(doc), faults
}

// encode returns a document as compact JSON.
func encode(doc any) json.RawMessage {
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(doc); err != nil {
		panic(err) // All fields of a document can be encoded as JSON.
	}
	return bytes.TrimSpace(buf.Bytes())
}

// sortMethods sorts a list of HTTP methods in the order of the variable methods and
// removes duplicates.
func sortMethods(list *[]string) {
	slices.SortFunc(*list, func(a, b string) int {
		return cmp.Compare(slices.Index(methods, a), slices.Index(methods, b))
	})
	*list = slices.Compact(*list)
}

// Indent returns body as JSON with one field per line and a final line break. It
// returns a body that is not JSON unchanged.
func Indent(body []byte) []byte {
	var buf bytes.Buffer
	if err := json.Indent(&buf, body, "", "  "); err != nil {
		return body
	}
	buf.WriteByte('\n')
	return buf.Bytes()
}

// replaceNilSlices replaces nil slices in the struct v by empty ones. It copies
// all slices, so that the caller's document does not change.
func replaceNilSlices(v reflect.Value) {
	for i := range v.NumField() {
		f := v.Field(i)
		switch f.Kind() {
		case reflect.Struct:
			replaceNilSlices(f)
		case reflect.Slice:
			list := reflect.MakeSlice(f.Type(), f.Len(), f.Len())
			reflect.Copy(list, f)
			f.Set(list)
			for j := range list.Len() {
				if list.Index(j).Kind() == reflect.Struct {
					replaceNilSlices(list.Index(j))
				}
			}
		}
	}
}
