package proxy

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
)

// heldAnswerBytes bounds an answer that is read whole before any of it is
// passed on.
const heldAnswerBytes = 256 << 10

// heldAnswer is a whole answer that is passed on only if nothing better comes.
type heldAnswer struct {
	resp *http.Response
	body []byte
}

// take reads an answer whole, as long as the call may be sent again: one that
// turns out to be cut has not been passed on in part then. A long one is left
// as it is.
func (c *call) take(resp *http.Response) error {
	if resp.ContentLength > heldAnswerBytes {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, heldAnswerBytes+1))
	if err != nil {
		_ = resp.Body.Close()
		return fmt.Errorf("answer was cut: %w", err)
	}
	if len(body) > heldAnswerBytes {
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

// hold keeps an answer that take has read whole.
func (c *call) hold(resp *http.Response) bool {
	if _, long := resp.Body.(*prefixedBody); long || resp.ContentLength > heldAnswerBytes {
		return false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return false
	}
	c.held = &heldAnswer{resp: resp, body: body}
	return true
}

// passHeld passes the answer on that is held.
func (c *call) passHeld() {
	c.held.resp.Body = io.NopCloser(bytes.NewReader(c.held.body))
	if err := c.proxy.passOn(c.w, c.held.resp); err != nil {
		cutOff(c.w)
	}
}
