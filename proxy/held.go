package proxy

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
)

// maxHeldBytes is the size up to which a response is read completely before any
// of it is relayed.
const maxHeldBytes = 256 << 10

// heldResponse is a complete response that is relayed only if no later attempt
// gives a better one.
type heldResponse struct {
	resp  *http.Response
	body  []byte
	local bool // of this node's backend server
}

// bufferResponse reads a response completely while the call may still be sent
// again, so that no part of a truncated response has been relayed by then. A
// response over maxHeldBytes is left to be streamed.
func (c *call) bufferResponse(resp *http.Response) error {
	if resp.ContentLength > maxHeldBytes {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxHeldBytes+1))
	if err != nil {
		_ = resp.Body.Close()
		return fmt.Errorf("answer was cut: %w", err)
	}
	if len(body) > maxHeldBytes {
		resp.Body = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(body), resp.Body), rest: resp.Body}
		return nil
	}
	_ = resp.Body.Close()
	resp.Body = io.NopCloser(bytes.NewReader(body))
	return nil
}

// prefixedBody is a body whose beginning has already been read.
type prefixedBody struct {
	io.Reader
	rest io.Closer
}

// Close implements io.Closer.
func (b *prefixedBody) Close() error { return b.rest.Close() }

// holdResponse keeps a response that bufferResponse has read completely.
func (c *call) holdResponse(resp *http.Response, local bool) bool {
	if _, long := resp.Body.(*prefixedBody); long || resp.ContentLength > maxHeldBytes {
		return false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return false
	}
	c.held = &heldResponse{resp: resp, body: body, local: local}
	return true
}

// relayHeld relays the response that is held.
func (c *call) relayHeld() {
	c.held.resp.Body = io.NopCloser(bytes.NewReader(c.held.body))
	if _, err := c.proxy.relayResponse(c.w, c.held.resp, c.origin(c.held.local)); err != nil {
		abortResponse(c.w)
	}
}
