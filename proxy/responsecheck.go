package proxy

import (
	"cmp"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/agatekeel/agatekeel/core/retry"
)

// belongsTo reports whether a response is that to the request: it is a final one and
// bears the request's ID, and no other.
func (n Names) belongsTo(r *http.Request, resp *http.Response) bool {
	if resp.StatusCode < http.StatusOK {
		return false
	}
	if n.RequestID == "" {
		return true
	}
	ids := resp.Header[n.RequestID]
	return len(ids) <= 1 && get(resp.Header, n.RequestID) == get(r.Header, n.RequestID)
}

// saysNotRun reports whether a response says that its request did not run.
func (n Names) saysNotRun(resp *http.Response) bool {
	return n.NotRun != "" && (get(resp.Header, n.NotRun) != "" || resp.StatusCode == http.StatusMisdirectedRequest)
}

// contradictsItself reports whether a response says that its request did not run, and the
// contrary too: by its status, or by a mark that is empty or false.
func (n Names) contradictsItself(resp *http.Response) bool {
	return n.saysNotRun(resp) && (resp.StatusCode < http.StatusBadRequest || slices.ContainsFunc(resp.Header[n.NotRun], isFalse))
}

func isFalse(value string) bool {
	v, err := strconv.ParseBool(value)
	return value == "" || err == nil && !v
}

// impliesNotRun reports whether a status implies to callers that their request did not
// run. It does so only where backend servers mark such responses.
func (n Names) impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return n.NotRun != ""
	}
	return false
}

// statusLine matches a status line at the end of a line.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]( .*)?$`)

// holdsBrokenName reports whether the name of a field holds a space, also before its colon.
// net/http takes it for a field of that name, so that a length or a transfer coding in it
// would not count.
func holdsBrokenName(h http.Header) bool {
	for name := range h {
		if strings.Contains(name, " ") {
			return true
		}
	}
	return false
}

// holdsStatusLine reports whether a field ends with a status line: the backend server broke
// off one head and sent another response on the same connection.
func holdsStatusLine(h http.Header) bool {
	for _, values := range h {
		if slices.ContainsFunc(values, endsWithStatusLine) {
			return true
		}
	}
	return false
}

func endsWithStatusLine(line string) bool {
	return strings.Contains(line, "HTTP/1.") && statusLine.MatchString(line) // the first test is cheap
}

// checkInterim returns an error for an interim response whose head was broken off: that of
// the next response is part of it, and the one behind would count instead.
func (n Names) checkInterim(status int, h http.Header) error {
	if holdsStatusLine(h) || holdsBrokenName(h) {
		return fmt.Errorf("interim answer with status %d has a broken head", status)
	}
	for _, name := range []string{"Content-Length", n.Signature} {
		if len(h[name]) > 0 {
			return fmt.Errorf("interim answer with status %d has the field %s of a final one", status, name)
		}
	}
	return nil
}

// removesOwn reports whether the Connection header of a response names its request's ID or
// its signature as fields of the connection alone, which are not passed on.
func (n Names) removesOwn(resp *http.Response) bool {
	for _, v := range resp.Header["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if name != "" && (name == n.RequestID || name == n.Signature || strings.HasPrefix(name, headerPrefix)) {
				return true
			}
		}
	}
	return false
}

// isSigned reports whether a response has the signature that its status requires, and no
// other.
func (n Names) isSigned(resp *http.Response) bool {
	if n.Signature == "" || resp.StatusCode/100 != 2 {
		return true
	}
	signatures := resp.Header[n.Signature]
	return len(signatures) == 1 && signatures[0] != ""
}

// maxStatus is the largest status of HTTP.
const maxStatus = 599

// headFault returns what is wrong with the head of a response, empty for nothing.
func (n Names) headFault(resp *http.Response) string {
	switch {
	case resp.StatusCode > maxStatus:
		return "has a status that HTTP does not define (RFC 9110, section 15)"
	case resp.ProtoMajor != 1:
		return "is of version " + resp.Proto
	case endsWithStatusLine(resp.Status) || holdsStatusLine(resp.Header):
		return "has another status line in its head"
	case holdsBrokenName(resp.Header):
		return "has a field name with a space in its head"
	case n.removesOwn(resp):
		return "removes its request ID or signature as fields of the connection"
	}
	return ""
}

// claimFault returns what is wrong with what a response says of its request, empty for nothing.
func (n Names) claimFault(r *http.Request, resp *http.Response) string {
	notRun := n.saysNotRun(resp)
	switch {
	case !n.belongsTo(r, resp) || notRun && get(resp.Header, n.RequestID) == "":
		return "is that of another request"
	case n.contradictsItself(resp):
		return "says that the request did not run, and the contrary"
	case !n.isSigned(resp):
		return "has no signature, or several"
	case !notRun && n.impliesNotRun(resp.StatusCode):
		return "does not say that the request did not run"
	}
	return ""
}

// checkResponse returns an error if a backend server's response is not accepted as the
// answer to the request, or says that the request did not run. The outcome is NotRun only if
// the response has the request's ID, and the mark NotRun or status 421; any other status does
// not suffice.
func (n Names) checkResponse(r *http.Request, resp *http.Response) error {
	if fault := cmp.Or(n.headFault(resp), n.claimFault(r, resp)); fault != "" {
		return responseRejected(resp, fault)
	}
	if !n.saysNotRun(resp) {
		return nil
	}
	err := fmt.Errorf("answer with status %d says that it did not run", resp.StatusCode)
	return &attemptError{outcome: retry.NotRun, healthy: true, arrived: true, err: err}
}

// responseRejected returns the error for a response that is not accepted as the answer.
func responseRejected(resp *http.Response, why string) error {
	return &attemptError{outcome: retry.Unknown, err: fmt.Errorf("answer with status %d %s", resp.StatusCode, why)}
}
