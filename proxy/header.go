// Package proxy carries callers' requests: from a caller to the entry node,
// from there to the node beside a backend server, and from there to the
// backend server. Every decision is the reducer's; this package moves bytes.
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

// Headers between nodes, and towards callers.
const (
	HeaderOutcome = "Agatekeel-Outcome" // not-run or unknown, on refusals and failures
	HeaderReason  = "Agatekeel-Reason"
	headerAttempt = "Agatekeel-Attempt"
	headerClass   = "Agatekeel-Class"
	headerBudget  = "Agatekeel-Budget-Micros"
	headerQueue   = "Agatekeel-Queue"
)

// MaxBodyBytes bounds a request body.
const MaxBodyBytes = 1 << 20

// hopByHop are the headers that belong to one connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyHeader adds the end-to-end headers of src to dst.
func copyHeader(dst, src http.Header) {
	for k, vs := range src {
		if strings.HasPrefix(k, "Agatekeel-") {
			continue
		}
		dst[k] = append(dst[k], vs...)
	}
	for _, v := range src["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			dst.Del(strings.TrimSpace(name))
		}
	}
	for _, k := range hopByHop {
		dst.Del(k)
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
}

func (h hopHeader) write(to http.Header) {
	to.Set(headerAttempt, formatAttempt(h.attempt))
	to.Set(headerClass, strconv.Itoa(int(h.class)))
	to.Set(headerBudget, strconv.FormatInt(h.budget.Microseconds(), 10))
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
	return hopHeader{attempt: id, class: admission.Class(class), budget: time.Duration(micros) * time.Microsecond}, nil
}
