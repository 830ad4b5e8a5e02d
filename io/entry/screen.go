package entry

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// problem is a request that is refused before it is routed.
type problem struct {
	status int
	reason string
	detail string
}

const (
	reasonBadRequest = "bad_request"
	reasonTooLarge   = "body_too_large"
	reasonBodyCut    = "body_cut_short"
	reasonBodyLate   = "body_too_late"
)

// screen returns why a request is not fit to be routed, or nil. The path must
// mean the same to the routing decision and to every target: dot segments and
// encoded separators do not.
func screen(r *http.Request, maxBody int) *problem {
	switch {
	case r.Method == http.MethodConnect || r.Method == http.MethodTrace:
		return &problem{http.StatusMethodNotAllowed, "method_not_allowed", r.Method}
	case r.ContentLength > int64(maxBody):
		return &problem{http.StatusRequestEntityTooLarge, reasonTooLarge, "content length"}
	case r.Host == "" && r.ProtoAtLeast(1, 1):
		return &problem{http.StatusBadRequest, reasonBadRequest, "no host"}
	}
	if detail := headerFault(r); detail != "" {
		return &problem{http.StatusBadRequest, reasonBadRequest, detail}
	}
	if detail := pathFault(r.URL.Path, r.URL.EscapedPath()); detail != "" {
		return &problem{http.StatusBadRequest, reasonBadRequest, detail}
	}
	return nil
}

// headerFault says what the library has mended in the header although it may
// mean something else to others on the way, or returns "".
func headerFault(r *http.Request) string {
	conn := recorded(r)
	switch {
	case conn == nil:
		return ""
	case conn.folded():
		return "folded header line"
	case len(r.TransferEncoding) > 0 && conn.lengthsClash():
		return "content length beside transfer encoding"
	}
	return ""
}

// pathFault says what is ambiguous about a path, or returns "".
func pathFault(path, escaped string) string {
	lower := strings.ToLower(escaped)
	for _, code := range []string{"%2f", "%5c", "%00"} {
		if strings.Contains(lower, code) {
			return "encoded separator in path"
		}
	}
	if strings.ContainsAny(path, "\\\x00\r\n") {
		return "separator or control character in path"
	}
	for segment := range strings.SplitSeq(path, "/") {
		name, _, _ := strings.Cut(segment, ";")
		if name == "." || name == ".." {
			return "dot segment in path"
		}
	}
	return ""
}

// bodyProblem says what a caller whose body ended early is told.
func bodyProblem(err error) *problem {
	var (
		tooLarge *http.MaxBytesError
		timeout  interface{ Timeout() bool }
	)
	switch {
	case errors.As(err, &tooLarge):
		return &problem{http.StatusRequestEntityTooLarge, reasonTooLarge, err.Error()}
	case errors.As(err, &timeout) && timeout.Timeout():
		return &problem{http.StatusRequestTimeout, reasonBodyLate, err.Error()}
	}
	return &problem{http.StatusBadRequest, reasonBodyCut, err.Error()}
}
