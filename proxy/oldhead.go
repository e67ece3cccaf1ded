package proxy

import (
	"bytes"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/agatekeel/agatekeel/h1"
)

const oldVersion = "HTTP/1.0"

// oldHead keeps what is read of an answer of HTTP/1.0, up to the end of its head at least.
// net/http ignores a Transfer-Encoding in such a head and removes it, so that chunks would
// be passed on as the body, and their end would not be known (RFC 9112, section 6.1).
type oldHead struct {
	watching atomic.Bool
	mu       sync.Mutex // guards the field below
	read     []byte
}

// begin begins with the answer to another request.
func (o *oldHead) begin() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.read = nil
	o.watching.Store(true)
}

// add adds bytes that were read. Those of an answer of another version are not kept.
func (o *oldHead) add(p []byte) {
	if !o.watching.Load() {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	missing := oldVersion[min(len(o.read), len(oldVersion)):]
	if n := min(len(missing), len(p)); string(p[:n]) != missing[:n] {
		o.watching.Store(false)
		return
	}
	o.read = append(o.read, p...)
}

// check returns an error if a response whose head was read is one of an old version that is
// not accepted.
func (o *oldHead) check(resp *http.Response) error {
	o.watching.Store(false)
	if resp.ProtoAtLeast(1, 1) {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	head := o.read
	o.read = nil
	switch {
	case !bytes.HasPrefix(head, []byte(oldVersion)):
		return responseRejected(resp, "is of version "+resp.Proto+" behind other bytes")
	case h1.HasField(head, "Transfer-Encoding"):
		return responseRejected(resp, "is of version "+resp.Proto+" and has a transfer coding")
	}
	return nil
}
