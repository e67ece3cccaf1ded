package proxy

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/admission"
)

// Headers between nodes, callers and backend servers. Those that a caller or
// a backend server sends are dropped, but for HeaderTimeout, and HeaderDepth
// from the own host.
const (
	// HeaderOutcome is on refusals and failures: not-run or unknown.
	HeaderOutcome = "Agatekeel-Outcome"
	HeaderReason  = "Agatekeel-Reason"
	// HeaderTimeout is the time that a caller allows for a call, and what is
	// left of it when the request reaches the backend server.
	HeaderTimeout = "Agatekeel-Timeout-Millis"
	// HeaderDepth counts the calls of the mesh that led to a request. A
	// backend server passes it on in the calls that it makes.
	HeaderDepth = "Agatekeel-Depth"

	headerPrefix  = "Agatekeel-"
	headerAttempt = "Agatekeel-Attempt"
	headerClass   = "Agatekeel-Class"
	headerBudget  = "Agatekeel-Budget-Micros"
	headerQueue   = "Agatekeel-Queue"
	headerQuery   = "Agatekeel-Query" // asks about an attempt
	headerCancel  = "Agatekeel-Cancel"
)

// hopByHop are the headers that belong to one connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// copyHeader adds the end-to-end headers of src to dst.
func copyHeader(dst, src http.Header) {
	for k, vs := range src {
		if !strings.HasPrefix(k, headerPrefix) {
			dst[k] = vs[:len(vs):len(vs)]
		}
	}
	for _, v := range src["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			dst.Del(strings.TrimSpace(name))
		}
	}
	for _, k := range hopByHop {
		delete(dst, k)
	}
}

func formatAttempt(id core.AttemptID) string {
	return strconv.FormatUint(id.Origin, 16) + "-" + strconv.FormatUint(id.Number, 16)
}

func parseAttempt(s string) (core.AttemptID, error) {
	origin, number, ok := strings.Cut(s, "-")
	o, err := strconv.ParseUint(origin, 16, 64)
	n, err2 := strconv.ParseUint(number, 16, 64)
	if !ok || err != nil || err2 != nil {
		return core.AttemptID{}, fmt.Errorf("header %s: %q is not an attempt ID", headerAttempt, s)
	}
	return core.AttemptID{Origin: o, Number: n}, nil
}

// hopHeader is what the entry node tells the backend server's node.
type hopHeader struct {
	attempt core.AttemptID
	class   admission.Class
	budget  time.Duration
	depth   int
}

func (h hopHeader) write(to http.Header) {
	to[headerAttempt] = []string{formatAttempt(h.attempt)}
	to[headerClass] = []string{strconv.Itoa(int(h.class))}
	to[headerBudget] = []string{strconv.FormatInt(h.budget.Microseconds(), 10)}
	to[HeaderDepth] = []string{strconv.Itoa(h.depth)}
}

func readHopHeader(from http.Header) (hopHeader, error) {
	id, err := parseAttempt(from.Get(headerAttempt))
	if err != nil {
		return hopHeader{}, err
	}
	class, err := strconv.ParseUint(from.Get(headerClass), 10, 8)
	if err != nil || admission.Class(class) > admission.Batch {
		return hopHeader{}, fmt.Errorf("header %s: %q is not a class", headerClass, from.Get(headerClass))
	}
	micros, err := strconv.ParseInt(from.Get(headerBudget), 10, 64)
	if err != nil {
		return hopHeader{}, fmt.Errorf("header %s: %q is not a number", headerBudget, from.Get(headerBudget))
	}
	depth, err := parseDepth(from.Get(HeaderDepth))
	if err != nil {
		return hopHeader{}, err
	}
	return hopHeader{
		attempt: id, class: admission.Class(class), budget: time.Duration(micros) * time.Microsecond, depth: depth,
	}, nil
}

func parseDepth(s string) (int, error) {
	if s == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(s, 10, 16)
	if err != nil {
		return 0, fmt.Errorf("header %s: %q is not a number", HeaderDepth, s)
	}
	return int(n), nil
}

// parseTimeout returns what a caller allows, or zero when it does not say.
func parseTimeout(s string) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	millis, err := strconv.ParseUint(s, 10, 32)
	if err != nil || millis == 0 {
		return 0, fmt.Errorf("header %s: %q is not a positive number of milliseconds", HeaderTimeout, s)
	}
	return time.Duration(millis) * time.Millisecond, nil
}
