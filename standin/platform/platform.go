// Package platform holds stand-ins for two small services of the platform: the
// list of live and leaving endpoints, which lags behind changes, and the
// directory, from which callers read the addresses of the entry hosts. A PUT to the list replaces
// it with a JSON array of the form that GET returns; the directory is read-only.
package platform

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"vetchtrail/standin/listen"
)

// Entry is an endpoint in the list.
type Entry struct {
	Endpoint string `json:"endpoint"`
	State    string `json:"state"` // "live" or "leaving"
}

// HostList serves the list, under any path. GET returns a change only after the lag.
type HostList struct {
	lag time.Duration // from a change until GET returns it

	mu      sync.Mutex
	entries []Entry // as GET returns them
}

// NewHostList returns an empty list with the given lag.
func NewHostList(lag time.Duration) *HostList { return &HostList{lag: lag} }

// Set replaces the list. GET returns the new one after the lag.
func (h *HostList) Set(entries []Entry) {
	time.AfterFunc(h.lag, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.entries = entries
	})
}

// Serve handles the requests on a listener until ctx ends.
func (h *HostList) Serve(ctx context.Context, l net.Listener) error {
	return listen.Serve(ctx, l, func(c *fasthttp.RequestCtx) {
		if c.IsPut() {
			var entries []Entry
			if err := json.Unmarshal(c.PostBody(), &entries); err != nil {
				c.Error(err.Error(), fasthttp.StatusBadRequest)
				return
			}
			h.Set(entries)
			return
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		body, _ := json.Marshal(h.entries)
		c.SetBody(body)
	})
}

// Directory serves a fixed text: the addresses of the entry hosts, one per line.
type Directory struct{ Text string }

// Serve answers every request with the text until ctx ends.
func (d *Directory) Serve(ctx context.Context, l net.Listener) error {
	return listen.Serve(ctx, l, func(c *fasthttp.RequestCtx) { c.SetBodyString(d.Text) })
}
