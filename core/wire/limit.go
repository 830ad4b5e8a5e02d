package wire

import (
	"math"
	"strconv"

	"github.com/pkg/errors"
)

// Limit is the limit that a target names on its answers for the rate of its calls, over
// all hosts together. The zero value stands for no limit.
type Limit struct {
	// Named says that there is a limit.
	Named bool
	// Rate is the limit in calls a second, 0 or more.
	Rate float64
}

// ErrLimit reports a limit that is not a decimal number of 0 or more.
var ErrLimit = errors.New("wire: limit must be a number of calls a second, 0 or more")

// String formats the limit as the value of the Spool-Limit header; it is empty for none.
func (l Limit) String() string {
	if !l.Named {
		return ""
	}
	return strconv.FormatFloat(l.Rate, 'f', -1, 64)
}

// ParseLimit parses the value of a header that names a limit. An empty value names none.
// It returns ErrLimit for any other value that is not a finite number of 0 or more.
func ParseLimit(s string) (Limit, error) {
	if s == "" {
		return Limit{}, nil
	}
	rate, err := strconv.ParseFloat(s, 64)
	if err != nil || rate < 0 || math.IsInf(rate, 0) || math.IsNaN(rate) {
		return Limit{}, errors.Wrapf(ErrLimit, "%q", s)
	}
	return Limit{Named: true, Rate: rate}, nil
}
