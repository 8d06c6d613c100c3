package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"time"
)

// request is a request of a client.
type request struct {
	id       string
	host     string // by which the route is chosen
	path     string
	body     []byte
	deadline time.Duration
}

// answer is what a client received.
type answer struct {
	status     int // 0: the channel ended without an answer
	body       []byte
	err        error // of an answer that is not whole
	seal       string
	retryAfter time.Duration
}

// client sends requests on channels that it keeps.
type client struct{ http *http.Client }

func newClient() *client {
	const maxIdle = 2000
	return &client{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdle, MaxIdleConns: maxIdle, DisableCompression: true}}}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a request to a daemon and reads the answer.
func (c *client) send(to netip.AddrPort, q request) answer {
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+q.path, bytes.NewReader(q.body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = q.host
	req.Header.Set("X-Attempt-Id", q.id)
	req.Header.Set("X-Request-Deadline", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	a := answer{status: resp.StatusCode, seal: resp.Header.Get("X-Server-Seal")}
	if after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(after * float64(time.Second))
	}
	a.body, a.err = io.ReadAll(resp.Body)
	return a
}
