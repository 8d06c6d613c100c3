// Package ratelimits keeps the requests that all hosts send to an endpoint within the rate
// limit that the endpoint advertises. Its state is held in memory and ends with the process.
//
// A rate limit is a quota of requests, shared by the hosts of a region (package quotas). One
// host of the region, the owner, leases parts of the rate to the hosts. A host reserves one
// request (vetchtrail.Reservation) before it sends to a rate-limited endpoint.
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

// Table stores the state of this host's endpoints. *load.Table implements it.
type Table interface {
	vetchtrail.Observer
	// RecordRateLimit applies a rate limit that an endpoint advertised, unless it is older than
	// the stored one. It returns the stored limit before and after. ok is false if the endpoint
	// is unknown or the report is from another instance of it.
	RecordRateLimit(name string, startedAt time.Time, report vetchtrail.RateLimit) (was, is vetchtrail.RateLimit, ok bool)
	// RateLimit returns the last rate limit of an endpoint, and the start time of its instance.
	RateLimit(name string) (l vetchtrail.RateLimit, startedAt time.Time)
	// SetRateLeft stores how many requests were left of an endpoint's rate and, if none, until
	// when.
	SetRateLeft(name string, left float64, until time.Time)
	// TakeInitial counts a request to an endpoint of which this host, which is starting, doesn't know yet whether it
	// advertises a rate limit. taken reports whether that is so, and ok whether the request may be sent.
	TakeInitial(name string, now time.Time) (taken, ok bool)
	// ReturnInitial gives back a request that TakeInitial counted and that did not reach the endpoint.
	ReturnInitial(name string, startedAt time.Time)
}

// Peers sends requests to other hosts.
type Peers interface {
	// RequestRateLimitLease sends a lease request to the owner of an endpoint's rate limit.
	RequestRateLimitLease(ctx context.Context, addr netip.AddrPort, m *schema.PermitRequest) (*schema.PermitReply, error)
}

// Config configures RateLimits.
type Config struct {
	Self  vetchtrail.Host
	Table Table
	Hosts quotas.Hosts
	Peers Peers
	// Clock continues while the host is suspended, so that reservations expire meanwhile. The
	// default is time.Now.
	Clock       func() time.Time
	SwitchedOff bool // limits are received and shared with other hosts, but not enforced
	Log         *slog.Logger
}

// RateLimits enforces rate limits at one host, together with the RateLimits of the other
// hosts. It is a vetchtrail.Observer that handles RateLimitReported and forwards all other calls to
// the table. It is safe for concurrent use.
type RateLimits struct {
	vetchtrail.Observer
	cfg        Config
	rateQuotas *quotas.Quotas // the rate limits as quotas of requests
	startedAt  time.Time

	logLimiter logs.Throttle // limits log lines, by endpoint

	mu           sync.Mutex
	reservations map[string]uint64 // number made and not cancelled, by endpoint
}

// New returns RateLimits that hold no leases.
func New(c Config) *RateLimits {
	if c.Clock == nil {
		c.Clock = time.Now
	}
	l := &RateLimits{Observer: c.Table, cfg: c, reservations: map[string]uint64{}, startedAt: time.Now()}
	l.rateQuotas = quotas.New(quotas.Config{
		Self: c.Self, QuotaSource: func() quotas.QuotaSource { return rateLimitSource{l} }, Hosts: settledHosts{Hosts: c.Hosts, limits: l}, Peers: leaseTransport{l},
		Task: "keep rates", Shards: shards, Strict: true, Clock: c.Clock, Log: c.Log,
	})
	return l
}

// Run drops the state of idle endpoints until ctx ends.
func (l *RateLimits) Run(ctx context.Context) { l.rateQuotas.Run(ctx) }

// RateLimitReported implements vetchtrail.Observer.
func (l *RateLimits) RateLimitReported(e vetchtrail.Endpoint, report vetchtrail.RateLimit, err error) {
	if err != nil {
		countInvalid()
		if l.logLimiter.Allow(e.Name, report.ReceivedAt) {
			l.cfg.Log.Warn("endpoint names a rate that can't be read", "endpoint", e.Name, "error", err)
		}
		return
	}
	l.applyLimit(e, report)
}

// applyLimit stores a reported rate limit. If the rate fell, it drops what this host has
// leased under the higher rate.
func (l *RateLimits) applyLimit(e vetchtrail.Endpoint, report vetchtrail.RateLimit) {
	was, is, ok := l.cfg.Table.RecordRateLimit(e.Name, e.Born, report)
	if !ok {
		return
	}
	if was.Advertised && is.Advertised && is.Rate < was.Rate {
		l.rateQuotas.DiscardLease(e.Name)
	}
	l.logChange(e, was, is)
}

// logChange logs that a limit has changed. It always logs when an endpoint begins or stops
// advertising a limit, and other changes at the rate of logLimiter.
func (l *RateLimits) logChange(e vetchtrail.Endpoint, was, is vetchtrail.RateLimit) {
	switch {
	case was.Advertised && !is.Advertised:
		l.cfg.Log.Info("endpoint names no rate any more", "endpoint", e.Name, "service", e.Service, "was", was.Rate)
	case !was.Advertised && is.Advertised:
		l.cfg.Log.Info("endpoint names a rate", "endpoint", e.Name, "service", e.Service, "rate", is.Rate)
	case is.Advertised && is.Rate != was.Rate && l.logLimiter.Allow(e.Name, is.ReceivedAt):
		l.cfg.Log.Info("endpoint names another rate", "endpoint", e.Name, "service", e.Service, "rate", is.Rate, "was", was.Rate)
	}
}
