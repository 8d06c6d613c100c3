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
	// minRate is the rate, in requests per second, at which hosts use an endpoint that advertises
	// less or 0. Without any requests, no host would learn that the limit was raised. It allows
	// one request in any 4 s.
	minRate = 0.2
	// burstSeconds is the burst beyond one request, in seconds of the rate.
	//
	// In any 4 s, all hosts together must send at most 6 s worth of the rate and five requests:
	// one and a half times what the endpoint takes in that time, and five, which it tolerates when
	// overloaded. Hosts send in 4 s what was leased in these and up to 1.5 s before, as a lease
	// lasts 0.5 s and a reservation 1 s. That is 5.5 s of the rate, burstSeconds and one request.
	// It leaves a quarter of a second of the rate and four requests for owners that are replaced.
	burstSeconds = 0.25
	// reservationTime is how long a reservation is valid. A connection to the endpoint may have to
	// be opened meanwhile, which may take 0.7 s.
	reservationTime = time.Second
	// settleTime is how long after its start a host that knows no other host owns no rate limit.
	// Other hosts may be using the rate and not be known yet.
	settleTime = 4 * time.Second
	// maxCountedEndpoints bounds the endpoints whose reservations are counted.
	maxCountedEndpoints = 1 << 14
	// minRetryDelay is the shortest time until an endpoint is tried again after its rate
	// limit allowed no request.
	minRetryDelay = 20 * time.Millisecond
)

// rateQuotas presents the rate limits of endpoints as quotas. It implements quotas.QuotaSource.
type rateQuotas struct{ l *RateLimits }

// Quota implements quotas.QuotaSource.
func (q rateQuotas) Quota(name string) vetchtrail.Quota {
	limit, _ := q.l.cfg.Table.RateLimit(name)
	if !limit.Advertised {
		return vetchtrail.Quota{}
	}
	rate := max(limit.Rate, minRate)
	return vetchtrail.Quota{Rate: rate, Burst: 1 + burstSeconds*rate, Unit: vetchtrail.UnitRequests}
}

// RegionNames implements quotas.QuotaSource. Only hosts in its own region call an endpoint.
func (q rateQuotas) RegionNames() []string { return []string{q.l.cfg.Self.Region} }

// settledHosts returns no hosts for a task while this host has just started and knows no other
// host, so that it does not act as the owner.
type settledHosts struct {
	quotas.Hosts
	limits *RateLimits
}

// FirstInRegion implements quotas.Hosts.
func (s settledHosts) FirstInRegion(region, task string, n int, now time.Time) []vetchtrail.Host {
	out := s.Hosts.FirstInRegion(region, task, n, now)
	if len(out) == 1 && out[0].Name == s.limits.cfg.Self.Name && now.Sub(s.limits.startedAt) < settleTime {
		return nil
	}
	return out
}

// Reserve implements vetchtrail.RateLimiter.
func (l *RateLimits) Reserve(ctx context.Context, e vetchtrail.Endpoint) (p vetchtrail.Reservation, retryAt time.Time, ok bool) {
	limit, binds := l.limit(e.Name)
	if !binds {
		return p, retryAt, true
	}
	v := l.rateQuotas.Take(ctx, e.Name, 1)
	if v.Granted {
		l.addReservation(e.Name)
		countReply("granted")
		l.cfg.Table.SetRateLeft(e.Name, max(0, v.RegionLeft), time.Time{})
		return vetchtrail.Reservation{Endpoint: e.Name, StartedAt: e.Born, Rate: limit.Rate, ValidUntil: l.cfg.Clock().Add(reservationTime)}, retryAt, true
	}
	if _, binds := l.limit(e.Name); !binds { // the owner reported that the limit was removed
		return p, retryAt, true
	}
	countReply("refused")
	if earliest := time.Now().Add(minRetryDelay); v.RetryAt.Before(earliest) {
		v.RetryAt = earliest
	}
	l.cfg.Table.SetRateLeft(e.Name, max(0, v.RegionLeft), v.RetryAt)
	return p, v.RetryAt, false
}

// limit returns the rate limit that an endpoint advertised, and whether it is enforced.
func (l *RateLimits) limit(name string) (limit vetchtrail.RateLimit, binds bool) {
	limit, _ = l.cfg.Table.RateLimit(name)
	return limit, limit.Advertised && !l.cfg.Disabled
}

// Cancel implements vetchtrail.RateLimiter.
func (l *RateLimits) Cancel(p vetchtrail.Reservation) {
	if p.Endpoint == "" {
		return
	}
	l.rateQuotas.Return(p.Endpoint, 1)
	l.removeReservation(p.Endpoint)
}

// Allows implements vetchtrail.RateLimiter. It is called just before the first byte is sent. A
// request without a valid reservation would exceed the rate. Its target may have been chosen
// before the endpoint advertised its limit, or its reservation was made under a higher limit
// or before this host was suspended.
func (l *RateLimits) Allows(p vetchtrail.Reservation, e vetchtrail.Endpoint) bool {
	limit, binds := l.limit(e.Name)
	if !binds {
		return true
	}
	return p.Endpoint == e.Name && p.StartedAt.Equal(e.Born) && p.Rate <= limit.Rate && l.cfg.Clock().Before(p.ValidUntil)
}

// leaseTransport sends lease requests to the owner of a rate limit and adds what this host
// knows of the limit; the reply has what the owner knows. So an owner that has received no
// limit from the endpoint learns it from the hosts that send it requests, and they learn of
// newer limits. It implements quotas.Peers.
type leaseTransport struct{ l *RateLimits }

// Grant implements quotas.Peers.
func (t leaseTransport) Grant(ctx context.Context, addr netip.AddrPort, m *schema.GrantRequest) (*schema.GrantReply, error) {
	reply, err := t.l.cfg.Peers.Permit(ctx, addr, &schema.PermitRequest{Ask: m, Known: t.l.knownRate(m.GetWorkspace())})
	if err != nil {
		return nil, err
	}
	t.l.Learn(reply.GetKnown())
	return reply.GetGrant(), nil
}

// Claim implements quotas.Peers. It always fails, as rate limits are not shared between
// regions.
func (t leaseTransport) Claim(context.Context, netip.AddrPort, *schema.Claims) (*schema.Claims, error) {
	return nil, errors.New("ratelimits: demand for rate limits is not exchanged between regions")
}

// HandleLeaseRequest handles a lease request from another host.
func (l *RateLimits) HandleLeaseRequest(m *schema.PermitRequest) *schema.PermitReply {
	l.Learn(m.GetKnown())
	name := m.GetAsk().GetWorkspace()
	return &schema.PermitReply{Grant: l.rateQuotas.HandleLeaseRequest(m.GetAsk()), Known: l.knownRate(name)}
}

// knownRate returns what this host knows of an endpoint's rate limit, or nil if nothing.
func (l *RateLimits) knownRate(name string) *schema.EndpointRate {
	limit, startedAt := l.cfg.Table.RateLimit(name)
	if limit.ReceivedAt.IsZero() {
		return nil
	}
	return schema.FromRateLimit(name, startedAt, limit, time.Now())
}

// Learn applies what another host knows of a rate limit.
func (l *RateLimits) Learn(m *schema.EndpointRate) {
	if m == nil {
		return
	}
	now := time.Now()
	report, startedAt, err := schema.ToRateLimit(m, now)
	if err != nil {
		if !l.logLimiter.Allow(m.GetEndpoint(), now) {
			return
		}
		l.cfg.Log.Warn("rate limit reported by another host is invalid", "endpoint", m.GetEndpoint(), "error", err)
		return
	}
	l.applyLimit(vetchtrail.Endpoint{Name: m.GetEndpoint(), Born: startedAt}, report)
}

// addReservation counts a reservation that is used.
func (l *RateLimits) addReservation(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.reservations) >= maxCountedEndpoints {
		clear(l.reservations)
	}
	l.reservations[name]++
}

// removeReservation uncounts a reservation that was given back.
func (l *RateLimits) removeReservation(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reservations[name] > 0 {
		l.reservations[name]--
	}
}

// ReservationsUsed returns how many reservations this host has used for an endpoint.
func (l *RateLimits) ReservationsUsed(name string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reservations[name]
}
