package roster

import (
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/pkg/errors"

	"cardamomspool/core/member"
)

const (
	// MaxNameBytes is the longest name, in bytes, of a target, a service or a data centre.
	// Names are part of many messages.
	MaxNameBytes = 256
	// shownBytes is the number of bytes of an invalid name that an error shows.
	shownBytes = 64
)

// Validate returns an error that names the first field with a value that hosts could not send
// to each other. A target that is leaving needs no service, data centre and address.
func (t *Target) Validate() error {
	for _, f := range []struct {
		field, value string
		optional     bool
	}{
		{"name", t.ID, false},
		{"service", t.Service, t.State == member.Leaving},
		{"data centre", t.DataCentre, true},
	} {
		if f.value == "" && f.optional {
			continue
		}
		if !validName(f.value) {
			return errors.Errorf("roster: the %s %.*q is empty, longer than %d bytes, no UTF-8 or has control characters", f.field, shownBytes, f.value, MaxNameBytes)
		}
	}
	return nil
}

// validName reports whether name has 1 to MaxNameBytes bytes and is UTF-8, as protocol buffers
// require, without control characters, which header fields must not have.
func validName(name string) bool {
	return name != "" && len(name) <= MaxNameBytes && utf8.ValidString(name) && !strings.ContainsFunc(name, unicode.IsControl)
}
