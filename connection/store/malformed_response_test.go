package store

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/standin/wire"
)

// TestMalformedResponseOfStore guards against a malformed response of the store that counts as a success, or as a refused write.
func TestMalformedResponseOfStore(t *testing.T) {
	calls := map[string]struct {
		body string
		call func(c *Client) error
	}{
		"read":   {`[{"Key":"k","Value":"djE=","ModifyIndex":7}]`, func(c *Client) error { _, err := c.Get(t.Context(), "k"); return err }},
		"wait":   {`[{"Key":"k","Value":"djE=","ModifyIndex":7}]`, func(c *Client) error { _, err := c.Wait(t.Context(), "k", 1, time.Now().Add(time.Second)); return err }},
		"write":  {"true", func(c *Client) error { return c.CompareAndSwap(t.Context(), "k", nil, 0) }},
		"no":     {"false", func(c *Client) error { return c.CompareAndSwap(t.Context(), "k", nil, 0) }},
		"delete": {"true", func(c *Client) error { return c.Delete(t.Context(), "k") }},
	}
	for name, c := range calls {
		for fault, response := range wire.Malformed("X-Consul-Index: 7\r\n", c.body) {
			t.Run(name+"/"+fault, func(t *testing.T) {
				err := c.call(New(Config{Addr: wire.Serve(t, response).Addr}))
				assert.Assert(t, err != nil && !errors.Is(err, vetchtrail.ErrConflict), "%v", err)
			})
		}
	}
}
