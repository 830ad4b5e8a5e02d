package wire

import (
	"strconv"
	"time"
)

// HeaderWarm holds, on a target's answer to a health check, the time in milliseconds until
// the target has warmed up.
const HeaderWarm = Prefix + "Warm-Ms"

// MaxWarmFor is the longest time for which a target may say that it stays cold; longer ones
// are cut to it.
const MaxWarmFor = time.Hour

// ParseWarmFor parses the time in milliseconds for which a target stays cold. It returns 0
// for an empty, malformed or negative value.
func ParseWarmFor(s string) time.Duration {
	ms, err := strconv.ParseInt(s, 10, 64)
	if err != nil || ms < 0 {
		return 0
	}
	return min(time.Duration(min(ms, MaxWarmFor.Milliseconds()))*time.Millisecond, MaxWarmFor)
}
