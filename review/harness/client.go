package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// Ask is a request of a client.
type Ask struct {
	Method, Host, Path string
	Header             http.Header
	Body               []byte
	Chunked            bool
	Deadline           time.Duration
}

// Answer is what a client sent and received.
type Answer struct {
	ID, Method, Host, Path string
	Sent                   []byte
	Status                 int
	Header                 http.Header
	Body                   []byte
	Err                    error
}

// Client sends requests to one host over channels that it keeps.
type Client struct {
	host   *Host
	http   *http.Client
	record *Record
}

// NewClient returns a client of a host.
func NewClient(r *Record, h *Host) *Client {
	return &Client{host: h, record: r, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}}}
}

// newID returns a new attempt id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Send sends a request and records its answer.
func (c *Client) Send(ctx context.Context, q *Ask) {
	a := &Answer{ID: newID(), Method: q.Method, Host: c.host.Name, Path: q.Path, Sent: q.Body}
	c.exchange(ctx, q, a)
	c.record.Answered(a)
}

// exchange sends a request and reads its answer.
func (c *Client) exchange(ctx context.Context, q *Ask, a *Answer) {
	ctx, cancel := context.WithTimeout(ctx, q.Deadline)
	defer cancel()
	var body io.Reader = http.NoBody
	if len(q.Body) > 0 {
		body = bytes.NewReader(q.Body)
	}
	if q.Chunked {
		body = struct{ io.Reader }{body} // of unknown length
	}
	req, err := http.NewRequestWithContext(ctx, q.Method, "http://"+c.host.Callers.String()+q.Path, body)
	if err != nil {
		a.Err = err
		return
	}
	req.Host = q.Host
	for name, values := range q.Header {
		req.Header[name] = values
	}
	req.Header.Set("X-Attempt-Id", a.ID)
	req.Header.Set("X-Request-Deadline", strconv.FormatInt(q.Deadline.Milliseconds(), 10))
	resp, err := c.http.Do(req)
	if err != nil {
		a.Err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	a.Status, a.Header = resp.StatusCode, resp.Header
	a.Body, a.Err = io.ReadAll(resp.Body)
}
