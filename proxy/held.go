package proxy

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
)

// maxHeldBytes bounds an answer that is read whole before any of it is
// passed on.
const maxHeldBytes = 256 << 10

// heldResponse is a whole answer that is passed on only if nothing better comes.
type heldResponse struct {
	resp *http.Response
	body []byte
}

// bufferResponse reads an answer whole, as long as the call may be sent again: one that
// turns out to be cut has not been passed on in part then. A long one is left
// as it is.
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

// prefixedBody is a body of which the beginning has been read.
type prefixedBody struct {
	io.Reader
	rest io.Closer
}

// Close implements io.Closer.
func (b *prefixedBody) Close() error { return b.rest.Close() }

// holdResponse keeps an answer that take has read whole.
func (c *call) holdResponse(resp *http.Response) bool {
	if _, long := resp.Body.(*prefixedBody); long || resp.ContentLength > maxHeldBytes {
		return false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return false
	}
	c.held = &heldResponse{resp: resp, body: body}
	return true
}

// relayHeld passes the answer on that is held.
func (c *call) relayHeld() {
	c.held.resp.Body = io.NopCloser(bytes.NewReader(c.held.body))
	if err := c.proxy.relayResponse(c.w, c.held.resp); err != nil {
		abortResponse(c.w)
	}
}
