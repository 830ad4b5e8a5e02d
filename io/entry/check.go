package entry

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// problem is why this host refuses a request itself: before any decision about it, or
// because its body ended early.
type problem struct {
	status int    // HTTP status.
	reason string // Sent to the caller.
	detail string // For the log.
}

const (
	reasonBadRequest = "bad_request"
	reasonTooLarge   = "body_too_large"
	reasonBodyCut    = "body_cut_short"
	reasonBodyLate   = "body_too_late"

	encodedSlash = "%2f"
)

// checkRequest returns why a request cannot be routed, or nil. It refuses dot
// segments and encoded separators in the path, which the routing decision and
// the targets may interpret differently. Encoded slashes are allowed if slashes is true; see
// findRoute.
func checkRequest(r *http.Request, maxBody int, slashes bool) *problem {
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
	if detail := pathFault(r.URL.Path, r.URL.EscapedPath(), slashes); detail != "" {
		return &problem{http.StatusBadRequest, reasonBadRequest, detail}
	}
	return nil
}

// headerFault returns a fault of the header that net/http has repaired, although
// other servers may interpret such a header differently. It returns "" if there is
// none or the header was not recorded.
func headerFault(r *http.Request) string {
	conn := recordedConn(r)
	switch {
	case conn == nil:
		return ""
	case conn.hasFoldedLine():
		return "folded header line"
	case len(r.TransferEncoding) > 0 && conn.mayHaveContentLength():
		return "content length beside transfer encoding"
	}
	return ""
}

// pathFault returns what is ambiguous about a path, or "". Encoded slashes are allowed if
// slashes is true.
func pathFault(path, escaped string, slashes bool) string {
	lower := strings.ToLower(escaped)
	for _, code := range []string{encodedSlash, "%5c", "%00"} {
		if strings.Contains(lower, code) && (code != encodedSlash || !slashes) {
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

// bodyProblem returns the problem of a request whose body ended early with err.
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
