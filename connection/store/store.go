// Package store speaks to the platform's key-value service by the published
// HTTP interface of Consul's KV store: compare-and-swap by modify index and
// blocking queries as watches.
package store

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"vetchtrail"
)

const (
	keyPrefix     = "/v1/kv/"
	maxAnswer     = 2 << 20 // bytes; a value is at most 1 MB, in base64
	callTime      = 2 * time.Second
	waitGrace     = 2 * time.Second // beyond a wait, for the answer to arrive
	statusOK      = fasthttp.StatusOK
	statusAbsent  = fasthttp.StatusNotFound
	statusLimited = fasthttp.StatusTooManyRequests
)

// Client is a vetchtrail.Store over HTTP. Its errors are *vetchtrail.PeerError.
type Client struct {
	addr netip.AddrPort
	http *fasthttp.Client
}

// Config says where the service is.
type Config struct {
	Addr netip.AddrPort
}

// New returns a client. It connects when first used.
func New(c Config) *Client {
	return &Client{addr: c.Addr, http: &fasthttp.Client{
		MaxResponseBodySize:       maxAnswer,
		MaxIdemponentCallAttempts: 1, // a retry may hide that a write took effect
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// kvPair is an entry as the service writes it.
type kvPair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
}

// Get implements vetchtrail.Store.
func (c *Client) Get(ctx context.Context, key string) (vetchtrail.Entry, error) {
	return c.read(ctx, key, "", time.Now().Add(callTime))
}

// Wait implements vetchtrail.Store.
func (c *Client) Wait(ctx context.Context, key string, index uint64, deadline time.Time) (vetchtrail.Entry, error) {
	left := max(time.Until(deadline), time.Millisecond)
	query := fmt.Sprintf("index=%d&wait=%dms", index, left.Milliseconds())
	return c.read(ctx, key, query, deadline.Add(waitGrace))
}

func (c *Client) read(ctx context.Context, key, query string, deadline time.Time) (vetchtrail.Entry, error) {
	var pairs []kvPair
	var index uint64
	err := c.call(ctx, fasthttp.MethodGet, key, query, nil, deadline, func(resp *fasthttp.Response) error {
		index, _ = strconv.ParseUint(string(resp.Header.Peek("X-Consul-Index")), 10, 64)
		if resp.StatusCode() == statusAbsent {
			return vetchtrail.ErrNotFound
		}
		return json.Unmarshal(resp.Body(), &pairs)
	})
	if err != nil {
		return vetchtrail.Entry{Key: key, Index: index}, c.fault("read "+key, err)
	}
	if len(pairs) != 1 {
		return vetchtrail.Entry{}, c.fault("read "+key, errors.Errorf("%d entries instead of one", len(pairs)))
	}
	return vetchtrail.Entry{Key: key, Value: pairs[0].Value, Index: pairs[0].ModifyIndex}, nil
}

// CompareAndSwap implements vetchtrail.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) error {
	query := "cas=" + strconv.FormatUint(index, 10)
	err := c.call(ctx, fasthttp.MethodPut, key, query, value, time.Now().Add(callTime), func(resp *fasthttp.Response) error {
		if string(resp.Body()) != "true" {
			return vetchtrail.ErrConflict
		}
		return nil
	})
	return c.fault("write "+key, err)
}

// Delete implements vetchtrail.Store.
func (c *Client) Delete(ctx context.Context, key string) error {
	err := c.call(ctx, fasthttp.MethodDelete, key, "", nil, time.Now().Add(callTime), func(*fasthttp.Response) error { return nil })
	return c.fault("delete "+key, err)
}

func (c *Client) call(ctx context.Context, method, key, query string, body []byte, deadline time.Time, take func(*fasthttp.Response) error) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	u := url.URL{Scheme: "http", Host: c.addr.String(), Path: keyPrefix + key, RawQuery: query}
	req.SetRequestURI(u.String())
	req.Header.SetMethod(method)
	req.SetBody(body)
	if end, ok := ctx.Deadline(); ok && end.Before(deadline) {
		deadline = end
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return err
	}
	switch resp.StatusCode() {
	case statusOK, statusAbsent:
		return take(resp)
	case statusLimited:
		return vetchtrail.ErrLimited
	}
	return errors.Errorf("status %d: %.200s", resp.StatusCode(), resp.Body())
}

func (c *Client) fault(step string, err error) error {
	if err == nil {
		return nil
	}
	return &vetchtrail.PeerError{Step: vetchtrail.Step("store " + step), Peer: c.addr.String(), Err: err}
}
