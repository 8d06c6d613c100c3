// Package store is a client of the platform's key-value store over the HTTP interface of
// Consul's KV store: compare-and-swap by modify index, and blocking queries to watch a
// key. It does not interpret the values.
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
	"vetchtrail/connection/response"
)

const (
	kvPath                = "/v1/kv/"
	maxResponseBytes      = 2 << 20 // a value is at most 1 MB, and base64 adds a third
	callTimeout           = 2 * time.Second
	waitMargin            = 2 * time.Second // after the deadline of a wait, for its response to arrive
	statusOK              = fasthttp.StatusOK
	statusNotFound        = fasthttp.StatusNotFound
	statusTooManyRequests = fasthttp.StatusTooManyRequests
)

// Client is a vetchtrail.Store over HTTP. All its errors are *vetchtrail.PeerError.
type Client struct {
	addr netip.AddrPort
	http *fasthttp.Client
}

// Config configures a Client.
type Config struct {
	Addr netip.AddrPort
}

// New returns a Client. It connects on the first call.
func New(c Config) *Client {
	return &Client{addr: c.Addr, http: &fasthttp.Client{
		Transport:                 response.Transport{},
		MaxResponseBodySize:       maxResponseBytes,
		MaxIdemponentCallAttempts: 1, // a retry could hide that the first write took effect
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// kvPair is an entry in a response of the store.
type kvPair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
}

// Get implements vetchtrail.Store.
func (c *Client) Get(ctx context.Context, key string) (vetchtrail.StoreEntry, error) {
	return c.read(ctx, key, "", time.Now().Add(callTimeout))
}

// Wait implements vetchtrail.Store.
func (c *Client) Wait(ctx context.Context, key string, index uint64, deadline time.Time) (vetchtrail.StoreEntry, error) {
	left := max(time.Until(deadline), time.Millisecond)
	query := fmt.Sprintf("index=%d&wait=%dms", index, left.Milliseconds())
	return c.read(ctx, key, query, deadline.Add(waitMargin))
}

// read returns the entry of a key. If the key does not exist, the error wraps ErrNotFound
// and the entry has the index to wait from.
func (c *Client) read(ctx context.Context, key, query string, deadline time.Time) (vetchtrail.StoreEntry, error) {
	var pairs []kvPair
	var index uint64
	err := c.call(ctx, fasthttp.MethodGet, key, query, nil, deadline, func(resp *fasthttp.Response) error {
		index, _ = strconv.ParseUint(string(resp.Header.Peek("X-Consul-Index")), 10, 64)
		if resp.StatusCode() == statusNotFound {
			return vetchtrail.ErrNotFound
		}
		return json.Unmarshal(resp.Body(), &pairs)
	})
	if err != nil {
		return vetchtrail.StoreEntry{Key: key, ModifyIndex: index}, c.wrapError("read "+key, err)
	}
	if len(pairs) != 1 {
		return vetchtrail.StoreEntry{}, c.wrapError("read "+key, errors.Errorf("got %d entries instead of 1", len(pairs)))
	}
	return vetchtrail.StoreEntry{Key: key, Value: pairs[0].Value, ModifyIndex: pairs[0].ModifyIndex}, nil
}

// CompareAndSwap implements vetchtrail.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) error {
	query := "cas=" + strconv.FormatUint(index, 10)
	err := c.call(ctx, fasthttp.MethodPut, key, query, value, time.Now().Add(callTimeout), func(resp *fasthttp.Response) error {
		if string(resp.Body()) != "true" {
			return vetchtrail.ErrConflict
		}
		return nil
	})
	return c.wrapError("write "+key, err)
}

// Delete implements vetchtrail.Store.
func (c *Client) Delete(ctx context.Context, key string) error {
	err := c.call(ctx, fasthttp.MethodDelete, key, "", nil, time.Now().Add(callTimeout), func(*fasthttp.Response) error { return nil })
	return c.wrapError("delete "+key, err)
}

// call sends one request and passes the response to handle if its status is 200 or 404.
func (c *Client) call(ctx context.Context, method, key, query string, body []byte, deadline time.Time, handle func(*fasthttp.Response) error) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	u := url.URL{Scheme: "http", Host: c.addr.String(), Path: kvPath + key, RawQuery: query}
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
	case statusOK, statusNotFound:
		return handle(resp)
	case statusTooManyRequests:
		return vetchtrail.ErrStoreRateLimited
	}
	return errors.Errorf("status %d: %.200s", resp.StatusCode(), resp.Body())
}

// wrapError adds the operation and the store's address to an error.
func (c *Client) wrapError(step string, err error) error {
	if err == nil {
		return nil
	}
	return &vetchtrail.PeerError{Step: vetchtrail.Step("store " + step), Peer: c.addr.String(), Err: err}
}
