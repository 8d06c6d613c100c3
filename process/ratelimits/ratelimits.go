// Package ratelimits keeps to the rates that endpoints in need name: how many requests a second
// each takes, from all hosts together. It lives for the process.
package ratelimits

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"vetchtrail"
	"vetchtrail/process/logs"
	"vetchtrail/process/quotas"
	"vetchtrail/schema"
)

// Table is what the host believes of its endpoints.
type Table interface {
	vetchtrail.Observer
	HearLimit(name string, born time.Time, news vetchtrail.RateLimit) (was, is vetchtrail.RateLimit, ok bool)
	// Limit returns what an endpoint last said, and the start of the life that said so.
	Limit(name string) (l vetchtrail.RateLimit, born time.Time)
	// Rationed tells what was left of an endpoint's rate, and until when it is nothing.
	Rationed(name string, left float64, until time.Time)
}

// Peers is how rate limits reach other hosts.
type Peers interface {
	Permit(ctx context.Context, addr netip.AddrPort, m *schema.PermitRequest) (*schema.PermitReply, error)
}

// Config is what RateLimits need.
type Config struct {
	Self  vetchtrail.Host
	Table Table
	Hosts quotas.Hosts
	Peers Peers
	// Clock goes on while the host is suspended: permits lapse meanwhile. Nil: time.Now.
	Clock func() time.Time
	Off   bool // rates are heard and told, and bind nothing
	Log   *slog.Logger
}

// RateLimits is a host's part in keeping to rates. It is a vetchtrail.Observer, and passes all else
// that it observes on to the table. It is safe for use by many.
type RateLimits struct {
	vetchtrail.Observer
	cfg    Config
	shares *quotas.Quotas // of the rates, in requests
	began  time.Time

	lines logs.Sparse // by endpoint

	mu   sync.Mutex
	sent map[string]uint64 // permits used, by endpoint
}

// New returns rate limits of which none is known.
func New(c Config) *RateLimits {
	if c.Clock == nil {
		c.Clock = time.Now
	}
	l := &RateLimits{Observer: c.Table, cfg: c, sent: map[string]uint64{}, began: time.Now()}
	l.shares = quotas.New(quotas.Config{
		Self: c.Self, Bounds: func() quotas.Bounds { return bounds{l} }, Hosts: settled{Hosts: c.Hosts, limits: l}, Peers: carrier{l},
		Task: "keep rates", Shards: shards, Strict: true, Clock: c.Clock, Log: c.Log,
	})
	return l
}

// Run drops what is kept of endpoints that nobody uses any more, until ctx ends.
func (l *RateLimits) Run(ctx context.Context) { l.shares.Run(ctx) }

// Limited implements vetchtrail.Observer.
func (l *RateLimits) Limited(e vetchtrail.Endpoint, news vetchtrail.RateLimit, err error) {
	if err != nil {
		countMisread()
		if l.lines.May(e.Name, news.Heard) {
			l.cfg.Log.Warn("endpoint names a rate that can't be read", "endpoint", e.Name, "error", err)
		}
		return
	}
	l.hear(e, news)
}

// hear takes an endpoint's word. What this host was granted of a higher rate is void.
func (l *RateLimits) hear(e vetchtrail.Endpoint, news vetchtrail.RateLimit) {
	was, is, ok := l.cfg.Table.HearLimit(e.Name, e.Born, news)
	if !ok {
		return
	}
	if was.Named && is.Named && is.Rate < was.Rate {
		l.shares.DiscardLease(e.Name)
	}
	l.tell(e, was, is)
}

// tell writes a line of a limit that changed. One that is lifted, or named for the first time, always
// has one.
func (l *RateLimits) tell(e vetchtrail.Endpoint, was, is vetchtrail.RateLimit) {
	switch {
	case was.Named && !is.Named:
		l.cfg.Log.Info("endpoint names no rate any more", "endpoint", e.Name, "service", e.Service, "was", was.Rate)
	case !was.Named && is.Named:
		l.cfg.Log.Info("endpoint names a rate", "endpoint", e.Name, "service", e.Service, "rate", is.Rate)
	case is.Named && is.Rate != was.Rate && l.lines.May(e.Name, is.Heard):
		l.cfg.Log.Info("endpoint names another rate", "endpoint", e.Name, "service", e.Service, "rate", is.Rate, "was", was.Rate)
	}
}
