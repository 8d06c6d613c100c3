package ratelimits

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
	"vetchtrail/process/quotas"
	"vetchtrail/schema"
)

const (
	// shards is among how many hosts of a region the endpoints are divided.
	shards = 64
	// leastRate is the rate in requests a second at which an endpoint is used that names less, or
	// none at all: nobody would hear else that it takes more again. In any 4 s it gets one.
	leastRate = 0.2
	// burst is what may be sent at once beside one request, as seconds of the rate. In any 4 s hosts
	// send what was granted in these and up to 1.5 s before (a grant lasts 0.5 s, a permit 1 s), so
	// 5.5 s and this of the rate, and one: of the one and a half times 4 s, and five, that an endpoint
	// in need bears that leaves a quarter of a second and four requests for keepers that are replaced.
	burst = 0.25
	// permitTime is for how long a permit is good: a connection to the endpoint may have to be made,
	// for which there are 0.7 s.
	permitTime = time.Second
	// settleTime is for how long a host that knows no other keeps rates for nobody: it has just
	// started, and the others may be using them.
	settleTime = 4 * time.Second
	// mostSent bounds the endpoints whose permits are counted.
	mostSent = 1 << 14
	// leastPause is the least time until an endpoint is tried again of whose rate nothing was left.
	leastPause = 20 * time.Millisecond
)

// bounds are the rates that endpoints name, as quotas of a region's hosts.
type bounds struct{ l *RateLimits }

// Quota implements quotas.Bounds.
func (b bounds) Quota(name string) vetchtrail.Quota {
	limit, _ := b.l.cfg.Table.Limit(name)
	if !limit.Named {
		return vetchtrail.Quota{}
	}
	rate := max(limit.Rate, leastRate)
	return vetchtrail.Quota{Rate: rate, Burst: 1 + burst*rate, Unit: vetchtrail.UnitRequests}
}

// RegionNames implements quotas.Bounds: only hosts of its region call an endpoint.
func (b bounds) RegionNames() []string { return []string{b.l.cfg.Self.Region} }

// settled are the hosts as one sees them that may have just started.
type settled struct {
	quotas.Hosts
	limits *RateLimits
}

// RankedIn implements quotas.Hosts.
func (s settled) RankedIn(region, duty string, n int, now time.Time) []vetchtrail.Host {
	out := s.Hosts.RankedIn(region, duty, n, now)
	if len(out) == 1 && out[0].Name == s.limits.cfg.Self.Name && now.Sub(s.limits.began) < settleTime {
		return nil
	}
	return out
}

// Take implements vetchtrail.Permits.
func (l *RateLimits) Take(ctx context.Context, e vetchtrail.Endpoint) (p vetchtrail.Permit, retryAt time.Time, ok bool) {
	limit, bound := l.limit(e.Name)
	if !bound {
		return p, retryAt, true
	}
	v := l.shares.Take(ctx, e.Name, 1)
	if v.Granted {
		l.use(e.Name)
		countPermit("granted")
		l.cfg.Table.Rationed(e.Name, max(0, v.Region), time.Time{})
		return vetchtrail.Permit{Endpoint: e.Name, Born: e.Born, Rate: limit.Rate, Until: l.cfg.Clock().Add(permitTime)}, retryAt, true
	}
	if _, bound := l.limit(e.Name); !bound { // its keeper knew that it names none any more
		return p, retryAt, true
	}
	countPermit("refused")
	if least := time.Now().Add(leastPause); v.RetryAt.Before(least) {
		v.RetryAt = least
	}
	l.cfg.Table.Rationed(e.Name, max(0, v.Region), v.RetryAt)
	return p, v.RetryAt, false
}

// limit returns what an endpoint named, and whether that binds.
func (l *RateLimits) limit(name string) (limit vetchtrail.RateLimit, bound bool) {
	limit, _ = l.cfg.Table.Limit(name)
	return limit, limit.Named && !l.cfg.Off
}

// Return implements vetchtrail.Permits.
func (l *RateLimits) Return(p vetchtrail.Permit) {
	if p.Endpoint == "" {
		return
	}
	l.shares.Return(p.Endpoint, 1)
	l.unuse(p.Endpoint)
}

// Covers implements vetchtrail.Permits. It is asked just before the first byte leaves: what was placed
// before the endpoint named its rate, under a higher one, or before a suspension, would come on top.
func (l *RateLimits) Covers(p vetchtrail.Permit, e vetchtrail.Endpoint) bool {
	limit, bound := l.limit(e.Name)
	if !bound {
		return true
	}
	return p.Endpoint == e.Name && p.Born.Equal(e.Born) && p.Rate <= limit.Rate && l.cfg.Clock().Before(p.Until)
}

// carrier takes the questions for parts of a rate to its keeper, together with what is known of it:
// a keeper that no endpoint has told yet learns it from who asks, and who asks what is newer.
type carrier struct{ l *RateLimits }

// Grant implements quotas.Peers.
func (c carrier) Grant(ctx context.Context, addr netip.AddrPort, m *schema.GrantRequest) (*schema.GrantReply, error) {
	reply, err := c.l.cfg.Peers.Permit(ctx, addr, &schema.PermitRequest{Ask: m, Known: c.l.known(m.GetWorkspace())})
	if err != nil {
		return nil, err
	}
	c.l.Learn(reply.GetKnown())
	return reply.GetGrant(), nil
}

// Claim implements quotas.Peers. Rates are kept within a region.
func (c carrier) Claim(context.Context, netip.AddrPort, *schema.Claims) (*schema.Claims, error) {
	return nil, errors.New("ratelimits: rates have no claims")
}

// Permitted answers another host that asks for a part of an endpoint's rate.
func (l *RateLimits) Permitted(m *schema.PermitRequest) *schema.PermitReply {
	l.Learn(m.GetKnown())
	name := m.GetAsk().GetWorkspace()
	return &schema.PermitReply{Grant: l.shares.Granted(m.GetAsk()), Known: l.known(name)}
}

// known is what this host knows of an endpoint's rate; nil: nothing.
func (l *RateLimits) known(name string) *schema.EndpointRate {
	limit, born := l.cfg.Table.Limit(name)
	if limit.Heard.IsZero() {
		return nil
	}
	return schema.FromRateLimit(name, born, limit, time.Now())
}

// Learn takes what another host knows of an endpoint's rate.
func (l *RateLimits) Learn(m *schema.EndpointRate) {
	if m == nil {
		return
	}
	now := time.Now()
	news, born, err := schema.ToRateLimit(m, now)
	if err != nil {
		if !l.lines.May(m.GetEndpoint(), now) {
			return
		}
		l.cfg.Log.Warn("rate of another host not taken", "endpoint", m.GetEndpoint(), "error", err)
		return
	}
	l.hear(vetchtrail.Endpoint{Name: m.GetEndpoint(), Born: born}, news)
}

// use counts a permit; unuse takes it back.
func (l *RateLimits) use(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.sent) >= mostSent {
		clear(l.sent)
	}
	l.sent[name]++
}

func (l *RateLimits) unuse(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sent[name] > 0 {
		l.sent[name]--
	}
}

// Sent returns how many permits this host used of an endpoint's rate.
func (l *RateLimits) Sent(name string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent[name]
}
