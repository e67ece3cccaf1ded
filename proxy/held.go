package proxy

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
)

const (
	// maxHeldBytes is the size up to which a response is read completely before any
	// of it is relayed.
	maxHeldBytes = 256 << 10
	// largeHeldShare is the divisor of the memory for such responses that gives the part
	// which large ones may take: a short one that is cut costs a caller as much.
	largeHeldShare = 2
)

// heldResponse is a complete response that is relayed only if no later attempt
// gives a better one.
type heldResponse struct {
	resp  *http.Response
	body  *heldBody
	local bool // of this node's backend server
}

// heldBody is a body of which the beginning, or all, has been read into memory.
type heldBody struct {
	memory   *memoryBound
	reserved int
	read     bytes.Buffer
	rest     io.ReadCloser // nil: all has been read
}

// Read implements io.Reader.
func (b *heldBody) Read(p []byte) (int, error) {
	if b.read.Len() > 0 || b.rest == nil {
		return b.read.Read(p)
	}
	b.free()
	return b.rest.Read(p)
}

// Close implements io.Closer.
func (b *heldBody) Close() error {
	b.free()
	if b.rest == nil {
		return nil
	}
	return b.rest.Close()
}

func (b *heldBody) free() {
	b.memory.release(b.reserved)
	b.reserved, b.read = 0, bytes.Buffer{}
}

// reserve takes memory for n more bytes and reports whether there is as much.
func (b *heldBody) reserve(n int) bool {
	limit := b.memory.limit
	if b.reserved+n > largeResponseBytes {
		limit /= largeHeldShare
	}
	if !b.memory.reserve(n, limit) {
		return false
	}
	b.reserved += n
	return true
}

// fill reads the body while there is memory, up to maxHeldBytes.
func (b *heldBody) fill() error {
	buf := copyBufs.Get().(*[copyBufBytes]byte)
	defer copyBufs.Put(buf)
	for b.read.Len() <= maxHeldBytes {
		n, err := b.rest.Read(buf[:])
		missing := b.read.Len() + n - b.reserved
		_, _ = b.read.Write(buf[:n]) // never fails
		switch {
		case err == io.EOF:
			_ = b.rest.Close()
			b.rest = nil
			return nil
		case err != nil:
			return err
		case missing > 0 && !b.reserve(missing):
			return nil
		}
	}
	return nil
}

// bufferResponse reads a response completely while the call may still be sent
// again, so that no part of a truncated response has been relayed by then. A
// response over maxHeldBytes, or for which there is no memory, is left to be streamed.
func (c *call) bufferResponse(resp *http.Response) error {
	declared := max(resp.ContentLength, 0)
	if resp.Request.Method == http.MethodHead {
		declared = 0
	}
	b := &heldBody{memory: &c.proxy.held, rest: resp.Body}
	if declared > maxHeldBytes || !b.reserve(int(declared)) {
		return nil
	}
	b.read.Grow(int(declared))
	resp.Body = b
	if err := b.fill(); err != nil {
		_ = b.Close()
		return fmt.Errorf("answer was cut: %w", err)
	}
	return nil
}

// holdResponse keeps a response that bufferResponse has read completely.
func (c *call) holdResponse(resp *http.Response, local bool) bool {
	b, ok := resp.Body.(*heldBody)
	if !ok || b.rest != nil {
		return false
	}
	c.dropHeld()
	c.held = &heldResponse{resp: resp, body: b, local: local}
	resp.Body = http.NoBody // what is read stays in memory
	return true
}

// dropHeld frees the response that is held, if there is one.
func (c *call) dropHeld() {
	if c.held != nil {
		_ = c.held.body.Close()
		c.held = nil
	}
}

// relayHeld relays the response that is held, in what is left of the time of its attempt.
// The context of the attempt has ended.
func (c *call) relayHeld() {
	resp, ctx := c.held.resp, c.r.Context()
	if deadline, ok := resp.Request.Context().Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	resp.Request, resp.Body = resp.Request.WithContext(ctx), c.held.body
	if _, err := c.proxy.relayResponse(c.w, resp, c.origin(c.held.local)); err != nil {
		abortResponse(c.w)
	}
}
