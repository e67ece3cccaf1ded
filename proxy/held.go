package proxy

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/agatekeel/agatekeel/h1"
)

const (
	// maxHeldBytes is the size up to which a response is read completely before any
	// of it is relayed.
	maxHeldBytes = 256 << 10
	// maxQueuedBytes is that size for a response with others of its connection in front, whose turn may
	// come after its attempt has ended, or with requests behind it, which are lost if it is cut.
	maxQueuedBytes = 2 << 20
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
	memory   *bodyMemory
	most     int // bytes that are read before the response is relayed
	reserved int // bytes
	read     blockQueue
	rest     io.ReadCloser // nil: all has been read
}

// Read implements io.Reader.
func (b *heldBody) Read(p []byte) (int, error) {
	if b.read.pending > 0 {
		n, _ := b.read.read(p)
		return n, nil
	}
	b.free()
	if b.rest == nil {
		return 0, io.EOF
	}
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
	b.reserved = 0
	b.read.drop()
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

// fill reads the body while there is memory, up to most bytes.
func (b *heldBody) fill() error {
	for b.read.pending <= b.most {
		if len(b.read.space()) == 0 && !b.grow() {
			return nil
		}
		n, err := b.rest.Read(b.read.space())
		b.read.written(n)
		switch {
		case err == io.EOF:
			_ = b.rest.Close()
			b.rest = nil
			return nil
		case err != nil:
			return err
		}
	}
	return nil
}

// grow adds a block, and reports whether there was memory for it. Of a body with a declared length
// it is reserved; one byte more than that shows where it ends.
func (b *heldBody) grow() bool {
	size := blockBytes
	switch left := b.reserved - b.read.size; {
	case left > 0:
		size = min(left, blockBytes)
	case !b.reserve(blockBytes):
		return false
	}
	b.read.grow(size)
	return true
}

// bufferResponse reads a response completely, so that no part of a truncated response
// has been relayed when the call is sent again or fails. A
// response over maxHeldBytes, or over maxQueuedBytes if it is one of several of its connection, or for which there is no memory, is left to be streamed.
func (c *call) bufferResponse(resp *http.Response) error {
	b := &heldBody{memory: &c.proxy.bodies, most: maxHeldBytes, rest: resp.Body, read: blockQueue{memory: &c.proxy.bodies}}
	if h1.IsPipelined(c.r) || h1.IsFollowed(c.r) {
		b.most = maxQueuedBytes
	}
	declared := resp.ContentLength
	if resp.Request.Method == http.MethodHead {
		declared = 0
	}
	if declared > int64(b.most) || declared >= 0 && !b.reserve(int(declared)+1) {
		return nil
	}
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
