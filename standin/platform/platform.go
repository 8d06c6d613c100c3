// Package platform provides stand-ins for two small services of the platform: the list
// of live and leaving endpoints, which lags behind changes, and the directory, from which
// callers read the addresses of the entry hosts. A PUT request to the list replaces it by
// the JSON array in the body, which has the form that GET returns; the directory is
// read-only.
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

// EndpointList serves the list, under any path. GET returns a change only after the lag.
type EndpointList struct {
	lag time.Duration // from a change until GET returns it

	mu      sync.Mutex
	entries []Entry // as GET returns them
}

// NewEndpointList returns an empty list with the given lag.
func NewEndpointList(lag time.Duration) *EndpointList { return &EndpointList{lag: lag} }

// Set replaces the list. GET returns the new one after the lag.
func (e *EndpointList) Set(entries []Entry) {
	time.AfterFunc(e.lag, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.entries = entries
	})
}

// Serve handles the requests on a listener until ctx ends.
func (e *EndpointList) Serve(ctx context.Context, l net.Listener) error {
	return listen.Serve(ctx, l, func(c *fasthttp.RequestCtx) {
		if c.IsPut() {
			var entries []Entry
			if err := json.Unmarshal(c.PostBody(), &entries); err != nil {
				c.Error(err.Error(), fasthttp.StatusBadRequest)
				return
			}
			e.Set(entries)
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		body, _ := json.Marshal(e.entries)
		c.SetBody(body)
	})
}

// Directory serves a fixed text: the addresses of the entry hosts, one per line.
type Directory struct{ Text string }

// Serve answers every request with the text until ctx ends.
func (d *Directory) Serve(ctx context.Context, l net.Listener) error {
	return listen.Serve(ctx, l, func(c *fasthttp.RequestCtx) { c.SetBodyString(d.Text) })
}
