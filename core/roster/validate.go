package roster

import (
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/pkg/errors"

	"cardamomspool/core/member"
)

const (
	// MaxNameBytes is the longest name, in bytes, of a target, a service or a data centre.
	// Names are part of many messages.
	MaxNameBytes = 256
	// MaxSequence is the largest sequence number: JSON numbers beyond it are not exact
	// everywhere. Source: RFC 8259, section 6.
	MaxSequence = 1<<53 - 1
	// shownBytes is the number of bytes of an invalid name that an error shows.
	shownBytes = 64
)

// maxBorn is the first start that the JSON form of a time does not hold.
var maxBorn = time.Date(10_000, time.January, 1, 0, 0, 0, 0, time.UTC)

// Validate returns an error that names the first field with a value that hosts could not send
// to each other or store. A target that is leaving needs no service, data centre and address.
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
	if !t.Born.IsZero() && (t.Born.Before(time.UnixMilli(0)) || !t.Born.Before(maxBorn)) {
		return errors.Errorf("roster: the start %d ms is before 1970 or after the year 9999", t.Born.UnixMilli())
	}
	if t.Sequence > MaxSequence {
		return errors.Errorf("roster: the sequence number %d is greater than %d", t.Sequence, uint64(MaxSequence))
	}
	return nil
}

// validName reports whether name has 1 to MaxNameBytes bytes and is UTF-8, as protocol buffers
// require, without control characters, which header fields must not have.
func validName(name string) bool {
	return name != "" && len(name) <= MaxNameBytes && utf8.ValidString(name) && !strings.ContainsFunc(name, unicode.IsControl)
}
