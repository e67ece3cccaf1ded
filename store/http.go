package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// The path and the header of the HTTP binding.
const (
	ObjectsPath     = "/v1/objects"
	HeaderIfVersion = "If-Version"
)

// Listing is the body of a List answer.
type Listing struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// Changes is the body of a Watch answer.
type Changes struct {
	Revision uint64   `json:"revision"`
	Changes  []Change `json:"changes"`
}

// callTimeout bounds each call; for a watch its wait is added.
const callTimeout = 5 * time.Second

// Client is a Store over HTTP.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a Client for the platform at a base URL, of which only scheme
// and host are used.
func NewClient(base string) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, fmt.Errorf("platform address %q: %w", base, err)
	}
	if u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return nil, fmt.Errorf("platform address %q is not an http or https URL", base)
	}
	return &Client{base: u.Scheme + "://" + u.Host + ObjectsPath, http: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 90 * time.Second},
	}}, nil
}

var _ Store = (*Client)(nil)

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	var o Object
	err := c.call(ctx, callTimeout, http.MethodGet, url.Values{"key": {key}}, 0, nil, &o)
	return o, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, uint64, error) {
	var l Listing
	err := c.call(ctx, callTimeout, http.MethodGet, url.Values{"prefix": {prefix}}, 0, nil, &l)
	return l.Objects, l.Revision, err
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, data []byte, base uint64) (uint64, error) {
	if len(data) > MaxValueBytes {
		return 0, fmt.Errorf("put %q (%d bytes): %w", key, len(data), ErrTooLarge)
	}
	var o Object
	err := c.call(ctx, callTimeout, http.MethodPut, url.Values{"key": {key}}, base, data, &o)
	return o.Version, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, base uint64) error {
	return c.call(ctx, callTimeout, http.MethodDelete, url.Values{"key": {key}}, base, nil, nil)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Change, uint64, error) {
	q := url.Values{
		"prefix": {prefix}, "after": {strconv.FormatUint(after, 10)},
		"waitMillis": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var ch Changes
	err := c.call(ctx, callTimeout+wait, http.MethodGet, q, 0, nil, &ch)
	return ch.Changes, ch.Revision, err
}

// call sends one request and decodes the answer into out, which may be nil.
func (c *Client) call(ctx context.Context, timeout time.Duration, method string, q url.Values, base uint64, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := c.exchange(ctx, method, q, base, body, out); err != nil {
		return fmt.Errorf("platform %s %s: %w", method, q.Encode(), err)
	}
	return nil
}

func (c *Client) exchange(ctx context.Context, method string, q url.Values, base uint64, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+"?"+q.Encode(), bytes.NewReader(body))
	if err != nil {
		return err
	}
	if method == http.MethodPut || method == http.MethodDelete {
		req.Header.Set(HeaderIfVersion, strconv.FormatUint(base, 10))
		req.GetBody = nil // keeps the transport from repeating a write whose outcome is unknown
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if err := statusError(resp.StatusCode); err != nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 4<<10))
		return err
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	return nil
}

func statusError(code int) error {
	switch code {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case http.StatusTooManyRequests:
		return ErrThrottled
	case http.StatusGone:
		return ErrCompacted
	}
	return fmt.Errorf("status %d", code)
}
