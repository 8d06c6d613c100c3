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
	// shards is the number of shards among which the endpoints are divided. Each has one owner in
	// a region.
	shards = 64
	// minRate is the rate, in requests per second, at which hosts use an endpoint that advertises
	// less or 0. Without any requests, no host would receive a higher limit. It allows one request
	// in any 4 s.
	minRate = 0.2
	// burstSeconds is the burst beyond one request, in seconds of the rate.
	//
	// In any 4 s, all hosts together may send at most 6 s worth of the rate and five requests:
	// one and a half times what the endpoint accepts in that time, and five, which it tolerates
	// when overloaded. In 4 s the hosts send what was leased in that time and in the 1.5 s before,
	// as a lease lasts 0.5 s and a reservation 1 s: 5.5 s worth of the rate, burstSeconds of it and
	// one request. This leaves a quarter of a second of the rate and four requests for the time in
	// which one owner replaces another.
	burstSeconds = 0.25
	// reservationTime is how long a reservation is valid. It includes the time to open a connection
	// to the endpoint, which may take 0.7 s.
	reservationTime = time.Second
	// settleTime is how long after its start a host that has discovered no other host owns no rate
	// limit. Other hosts may be using the rate already.
	settleTime = 4 * time.Second
	// maxCountedEndpoints bounds the endpoints whose reservations are counted. When it is reached,
	// all counts restart at 0.
	maxCountedEndpoints = 1 << 14
	// minRetryDelay is the shortest time until an endpoint is tried again after its rate
	// limit allowed no request.
	minRetryDelay = 20 * time.Millisecond
)

// rateLimitSource presents the rate limits of endpoints as quotas. It implements quotas.QuotaSource.
type rateLimitSource struct{ l *RateLimits }

// Quota implements quotas.QuotaSource.
func (q rateLimitSource) Quota(name string) vetchtrail.Quota {
	limit, _ := q.l.cfg.Table.RateLimit(name)
	if !limit.Advertised {
		return vetchtrail.Quota{}
	}
	rate := max(limit.Rate, minRate)
	return vetchtrail.Quota{Rate: rate, Burst: 1 + burstSeconds*rate, Unit: vetchtrail.UnitRequests}
}

// RegionNames implements quotas.QuotaSource. Only hosts in an endpoint's own region call it.
func (q rateLimitSource) RegionNames() []string { return []string{q.l.cfg.Self.Region} }

// settledHosts returns no hosts for a task while this host has just started and has not discovered
// any other host, so that it does not act as the owner.
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
func (l *RateLimits) Reserve(ctx context.Context, e vetchtrail.Endpoint) (r vetchtrail.Reservation, retryAt time.Time, ok bool) {
	limit, enforced := l.limit(e.Name)
	if !enforced {
		return l.reserveInitial(e, limit)
	}
	v := l.rateQuotas.Take(ctx, e.Name, 1)
	if v.Granted {
		l.addReservation(e.Name)
		countReservation("granted")
		l.cfg.Table.SetRateLeft(e.Name, max(0, v.RegionLeft), time.Time{})
		return vetchtrail.Reservation{Endpoint: e.Name, StartedAt: e.Born, Rate: limit.Rate, ValidUntil: l.cfg.Clock().Add(reservationTime)}, retryAt, true
	}
	if _, enforced := l.limit(e.Name); !enforced { // the owner reported that the limit was removed
		return r, retryAt, true
	}
	countReservation("refused")
	if earliest := time.Now().Add(minRetryDelay); v.RetryAt.Before(earliest) {
		v.RetryAt = earliest
	}
	l.cfg.Table.SetRateLeft(e.Name, max(0, v.RegionLeft), v.RetryAt)
	return r, v.RetryAt, false
}

// reserveInitial reserves a request to an endpoint without a rate limit that this host knows of. While a starting host has
// received neither a response of the endpoint nor a limit from another host, it may send only a few.
func (l *RateLimits) reserveInitial(e vetchtrail.Endpoint, limit vetchtrail.RateLimit) (r vetchtrail.Reservation, retryAt time.Time, ok bool) {
	if l.cfg.SwitchedOff || !limit.ReceivedAt.IsZero() {
		return r, retryAt, true
	}
	taken, ok := l.cfg.Table.TakeInitial(e.Name, time.Now())
	if !ok {
		countReservation("refused")
		return r, time.Now().Add(minRetryDelay), false
	}
	if taken {
		r = vetchtrail.Reservation{Endpoint: e.Name, StartedAt: e.Born, Initial: true}
	}
	return r, retryAt, true
}

// limit returns the rate limit that an endpoint advertised, and whether it is enforced.
func (l *RateLimits) limit(name string) (limit vetchtrail.RateLimit, enforced bool) {
	limit, _ = l.cfg.Table.RateLimit(name)
	return limit, limit.Advertised && !l.cfg.SwitchedOff
}

// Cancel implements vetchtrail.RateLimiter.
func (l *RateLimits) Cancel(r vetchtrail.Reservation) {
	switch {
	case r.Endpoint == "":
		return
	case r.Initial:
		l.cfg.Table.ReturnInitial(r.Endpoint, r.StartedAt)
		return
	}
	l.rateQuotas.Return(r.Endpoint, 1)
	l.removeReservation(r.Endpoint)
}

// Allows implements vetchtrail.RateLimiter. It is called just before the first byte is sent. A
// request without a valid reservation would exceed the rate. Its target may have been chosen
// before the endpoint advertised its limit, or its reservation was made under a higher limit
// or before this host was suspended.
func (l *RateLimits) Allows(r vetchtrail.Reservation, e vetchtrail.Endpoint) bool {
	limit, enforced := l.limit(e.Name)
	if !enforced {
		return true
	}
	return r.Endpoint == e.Name && !r.Initial && r.StartedAt.Equal(e.Born) && r.Rate <= limit.Rate && l.cfg.Clock().Before(r.ValidUntil)
}

// leaseTransport sends lease requests to the owner of a rate limit. Each request has the rate limit
// that this host has stored, and each reply the one that the owner has stored. So an owner that has
// received no limit from the endpoint receives it with the lease requests, and the other hosts
// receive newer limits with the replies. It implements quotas.Peers.
type leaseTransport struct{ l *RateLimits }

// RequestQuotaLease implements quotas.Peers.
func (t leaseTransport) RequestQuotaLease(ctx context.Context, addr netip.AddrPort, m *schema.GrantRequest) (*schema.GrantReply, error) {
	reply, err := t.l.cfg.Peers.RequestRateLimitLease(ctx, addr, &schema.PermitRequest{Ask: m, Known: t.l.storedLimit(m.GetWorkspace())})
	if err != nil {
		return nil, err
	}
	t.l.RecordFromPeer(reply.GetKnown())
	return reply.GetGrant(), nil
}

// ExchangeDemand implements quotas.Peers. It always fails, as rate limits are not shared between
// regions.
func (t leaseTransport) ExchangeDemand(context.Context, netip.AddrPort, *schema.Claims) (*schema.Claims, error) {
	return nil, errors.New("ratelimits: demand for rate limits is not exchanged between regions")
}

// HandleLeaseRequest handles a lease request from another host.
func (l *RateLimits) HandleLeaseRequest(m *schema.PermitRequest) *schema.PermitReply {
	l.RecordFromPeer(m.GetKnown())
	name := m.GetAsk().GetWorkspace()
	return &schema.PermitReply{Grant: l.rateQuotas.HandleLeaseRequest(m.GetAsk()), Known: l.storedLimit(name)}
}

// storedLimit returns the message for the rate limit that this host has stored for an endpoint, or
// nil if no response of the endpoint was received.
func (l *RateLimits) storedLimit(name string) *schema.EndpointRate {
	limit, startedAt := l.cfg.Table.RateLimit(name)
	if limit.ReceivedAt.IsZero() {
		return nil
	}
	return schema.FromRateLimit(name, startedAt, limit, time.Now())
}

// RecordFromPeer applies a rate limit that another host has sent; nil: it has none stored.
func (l *RateLimits) RecordFromPeer(m *schema.EndpointRate) {
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

// addReservation counts a reservation that was made.
func (l *RateLimits) addReservation(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.reservations) >= maxCountedEndpoints {
		clear(l.reservations)
	}
	l.reservations[name]++
}

// removeReservation subtracts a cancelled reservation from the count.
func (l *RateLimits) removeReservation(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reservations[name] > 0 {
		l.reservations[name]--
	}
}

// ReservationsUsed returns how many reservations this host has made and not cancelled for an
// endpoint.
func (l *RateLimits) ReservationsUsed(name string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reservations[name]
}
