package proxy

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/idempotency"
	"github.com/agatekeel/agatekeel/core/uplink"
)

// Headers between nodes, callers and backend servers. In requests of callers
// and responses of backend servers they are ignored and not passed on. The
// exceptions in a request are HeaderTimeout, and HeaderDepth if the request
// comes from this host: they are read, and the backend server receives the
// remaining time and the increased depth in them.
const (
	// HeaderOutcome is set on refusals and failures: not-run or unknown, or ran
	// if the request repeats one that ran.
	HeaderOutcome = "Agatekeel-Outcome"
	HeaderReason  = "Agatekeel-Reason"
	// HeaderFirstStatus is the status of the response to the first request with
	// the same Idempotency-Key.
	HeaderFirstStatus = "Agatekeel-First-Status"
	// HeaderTimeout is the timeout that a caller sets for a call, in
	// milliseconds. The backend server receives the remaining time in it.
	HeaderTimeout = "Agatekeel-Timeout-Millis"
	// HeaderDepth is the number of calls in the mesh that led to a request. A
	// backend server copies it to the calls that it makes.
	HeaderDepth = "Agatekeel-Depth"
	// HeaderKey is the key of a caller's client account.
	HeaderKey = "Agatekeel-Key"
	// HeaderAccount is the name of the caller's client account, for the backend server.
	HeaderAccount = "Agatekeel-Account"

	headerPrefix      = "Agatekeel-"
	headerHop         = "Agatekeel-Hop"               // encoded hopHeader
	headerSoftBudget  = "Agatekeel-Wanted-Micros"     // soft budget of an attempt
	headerWaited      = "Agatekeel-Waited-Micros"     // see core.Forward.Waited
	headerAnswerBytes = "Agatekeel-Answer-Bytes"      // core.Forward.AnswerBytes
	headerRelay       = "Agatekeel-Relay-Link"        // state of the entry node's network link: backlog in bytes, bytes per second
	headerForAccount  = "Agatekeel-For-Account"       // core.Forward.Account
	headerSaid        = "Agatekeel-Backend-Says"      // core.BackendNotice: in a request what the entry node knows, in a response what the node knows that sends it
	headerAttempt     = "Agatekeel-Attempt"           // attempt that a response is about
	headerArrived     = "Agatekeel-Arrived"           // set if the backend server may have received the attempt
	headerQueue       = "Agatekeel-Queue"             // number of attempts that wait at the node that responds
	headerLinkOpens   = "Agatekeel-Link-Opens-Micros" // core.Refuse.LinkOpensIn
	headerQuery       = "Agatekeel-Query"             // ID of the attempt that is asked about
	headerCancel      = "Agatekeel-Cancel"            // ID of the attempt to cancel
	headerIncarnation = "Agatekeel-For"               // incarnation of the node that a query is meant for
)

// hopByHop lists the headers that apply to a single connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// copyHeader copies the end-to-end headers of src to dst.
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

func formatAttempt(id core.AttemptID) string { return id.String() }

func parseAttempt(s string) (core.AttemptID, error) {
	origin, number, ok := strings.Cut(s, "-")
	o, err := strconv.ParseUint(origin, 16, 64)
	n, err2 := strconv.ParseUint(number, 16, 64)
	if !ok || err != nil || err2 != nil {
		return core.AttemptID{}, fmt.Errorf("%q is not an attempt ID", s)
	}
	return core.AttemptID{Origin: o, Number: n}, nil
}

// hopHeader is what the entry node sends to the backend server's node: one
// header with the fields in this order, separated by spaces. The key is sent
// only if there is one.
type hopHeader struct {
	attempt     core.AttemptID
	class       admission.Class
	budget      time.Duration // remaining time of the call, sent in microseconds
	softBudget  time.Duration // see core.Forward.SoftBudget; sent in a separate header, which older nodes ignore
	waited      time.Duration // see core.Forward.Waited; sent like softBudget
	answerBytes int64         // see core.Forward.AnswerBytes; sent in a separate header, which older nodes ignore
	depth       int
	incarnation endpoint.Incarnation // incarnation of the receiving node; zero: unknown
	key         idempotency.Key      // zero: none
	account     string               // see core.Forward.Account; sent in a separate header, which older nodes ignore
	relay       uplink.Load          // state of the entry node's network link; sent in a separate header, which older nodes ignore
	said        core.BackendNotice   // see core.Forward.Said; sent in a separate header, which older nodes ignore
	entry       bool                 // this node is the entry node; not sent
	onHost      bool                 // the caller is on this host; not sent
}

// String returns the value of headerHop.
func (h hopHeader) String() string {
	b := make([]byte, 0, 96)
	b = append(b, formatAttempt(h.attempt)...)
	b = strconv.AppendUint(append(b, ' '), uint64(h.class), 10)
	b = strconv.AppendInt(append(b, ' '), h.budget.Microseconds(), 10)
	b = strconv.AppendInt(append(b, ' '), int64(h.depth), 10)
	b = append(append(b, ' '), formatIncarnation(h.incarnation)...)
	if !h.key.IsZero() {
		b = append(append(b, ' '), h.key.String()...)
	}
	return string(b)
}

// hopFields is the number of fields without the key.
const hopFields = 5

// set adds the headers of an attempt to a request.
func (h hopHeader) set(to http.Header) {
	to[headerHop] = []string{h.String()}
	if h.softBudget > 0 {
		to[headerSoftBudget] = []string{formatMicros(h.softBudget)}
	}
	if h.waited > 0 {
		to[headerWaited] = []string{formatMicros(h.waited)}
	}
	if h.answerBytes > 0 {
		to[headerAnswerBytes] = []string{strconv.FormatInt(h.answerBytes, 10)}
	}
	if h.relay.Rate > 0 {
		to[headerRelay] = []string{formatLoad(h.relay)}
	}
	if h.account != "" {
		to[headerForAccount] = []string{h.account}
	}
	setNotice(to, h.said)
}

// readHop parses the headers that set adds.
func readHop(from http.Header) (hopHeader, error) {
	h, err := parseHopHeader(from.Get(headerHop))
	if err != nil {
		return h, err
	}
	for name, field := range map[string]*time.Duration{headerSoftBudget: &h.softBudget, headerWaited: &h.waited} {
		value := from.Get(name)
		if value == "" {
			continue
		}
		if *field, err = parseMicros(name, value); err != nil {
			return h, err
		}
	}
	if value := from.Get(headerAnswerBytes); value != "" {
		if h.answerBytes, err = strconv.ParseInt(value, 10, 64); err != nil || h.answerBytes < 0 {
			return h, fmt.Errorf("header %s: %q is not a number of bytes", headerAnswerBytes, value)
		}
	}
	if value := from.Get(headerRelay); value != "" {
		if h.relay, err = parseLoad(headerRelay, value); err != nil {
			return h, err
		}
	}
	h.account = get(from, headerForAccount)
	h.said, err = readSaid(from)
	return h, err
}

func formatLoad(l uplink.Load) string {
	return strconv.FormatInt(l.Backlog, 10) + " " + strconv.FormatInt(max(int64(l.Rate), 1), 10)
}

func parseLoad(name, s string) (uplink.Load, error) {
	backlog, rate, _ := strings.Cut(s, " ")
	b, err := strconv.ParseInt(backlog, 10, 64)
	r, err2 := strconv.ParseInt(rate, 10, 64)
	if err != nil || err2 != nil || b < 0 || r <= 0 {
		return uplink.Load{}, fmt.Errorf("header %s: %q is not a number of bytes and a rate", name, s)
	}
	return uplink.Load{Backlog: b, Rate: float64(r)}, nil
}

// formatMicros rounds up: zero would mean that nothing is set.
func formatMicros(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Microsecond-1)/time.Microsecond), 10)
}

// linkOpensIn returns what the refusal of another node says of its host's link, zero if
// it says nothing that can be read: the refusal itself is good.
func linkOpensIn(h http.Header) time.Duration {
	value := get(h, headerLinkOpens)
	if value == "" {
		return 0
	}
	opens, err := parseMicros(headerLinkOpens, value)
	if err != nil {
		return 0
	}
	return max(opens, 0)
}

// maxMicros bounds what is read as a time, so that it can be added to others.
const maxMicros = int64(24 * time.Hour / time.Microsecond)

func parseMicros(name, s string) (time.Duration, error) {
	micros, err := strconv.ParseInt(s, 10, 64)
	if err != nil || micros > maxMicros || micros < -maxMicros {
		return 0, fmt.Errorf("header %s: %q is not a number", name, s)
	}
	return time.Duration(micros) * time.Microsecond, nil
}

func parseHopHeader(s string) (h hopHeader, err error) {
	fields := strings.Split(s, " ")
	if len(fields) != hopFields && len(fields) != hopFields+1 {
		return h, fmt.Errorf("header %s: %q has not %d fields, or one more", headerHop, s, hopFields)
	}
	if h.attempt, err = parseAttempt(fields[0]); err != nil {
		return h, err
	}
	class, err := strconv.ParseUint(fields[1], 10, 8)
	if err != nil || admission.Class(class) > admission.MaxClass {
		return h, fmt.Errorf("header %s: %q is not a class", headerHop, fields[1])
	}
	h.class = admission.Class(class)
	if h.budget, err = parseMicros(headerHop, fields[2]); err != nil {
		return h, err
	}
	if h.depth, err = parseDepth(fields[3]); err != nil {
		return h, err
	}
	if h.incarnation, err = parseIncarnation(fields[4]); err != nil {
		return h, err
	}
	if len(fields) == hopFields {
		return h, nil
	}
	ok := false
	if h.key, ok = idempotency.ParseKey(fields[hopFields]); !ok {
		return h, fmt.Errorf("header %s: %q is not a key", headerHop, fields[hopFields])
	}
	return h, nil
}

func formatIncarnation(i endpoint.Incarnation) string {
	return strconv.FormatInt(i.Start, 16) + "-" + strconv.FormatUint(uint64(i.Random), 16)
}

// parseIncarnation parses the result of formatIncarnation; the empty string is
// the zero Incarnation.
func parseIncarnation(s string) (endpoint.Incarnation, error) {
	if s == "" {
		return endpoint.Incarnation{}, nil
	}
	start, random, ok := strings.Cut(s, "-")
	t, err := strconv.ParseInt(start, 16, 64)
	r, err2 := strconv.ParseUint(random, 16, 32)
	if !ok || err != nil || err2 != nil {
		return endpoint.Incarnation{}, fmt.Errorf("%q is not the life of a node", s)
	}
	return endpoint.Incarnation{Start: t, Random: uint32(r)}, nil
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

// parseTimeout returns the timeout that a caller sets, or zero if it sets none.
func (n Names) parseTimeout(h http.Header) (time.Duration, error) {
	s := get(h, n.Timeout)
	if s == "" {
		return 0, nil
	}
	millis, err := strconv.ParseUint(s, 10, 32)
	if err != nil || millis == 0 {
		return 0, fmt.Errorf("header %s: %q is not a positive number of milliseconds", n.Timeout, s)
	}
	return time.Duration(millis) * time.Millisecond, nil
}
