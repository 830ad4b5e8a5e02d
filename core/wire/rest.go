package wire

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// MaxRest is the longest rest that a target may ask for; longer ones are cut to it.
const MaxRest = time.Hour

// ErrRest reports a rest that is not a decimal number of seconds of 0 or more.
var ErrRest = errors.New("wire: rest must be a number of seconds, 0 or more")

// RestOf returns the rest that a target asks for on an answer with the given status and
// header: that of Retry-After on a 503. It returns ErrRest as ParseRest does.
func RestOf(status int, header http.Header) (time.Duration, error) {
	if status != http.StatusServiceUnavailable {
		return 0, nil
	}
	return ParseRest(header.Get("Retry-After"))
}

// ParseRest parses the value of a Retry-After header with which a target that turns a call
// away asks for rest. An empty value asks for none. It returns ErrRest for any other value
// that is not a finite number of seconds of 0 or more.
func ParseRest(s string) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(s, 64)
	if err != nil || seconds < 0 || math.IsInf(seconds, 0) || math.IsNaN(seconds) {
		return 0, errors.Wrapf(ErrRest, "%q", s)
	}
	return time.Duration(min(seconds, MaxRest.Seconds()) * float64(time.Second)), nil
}
