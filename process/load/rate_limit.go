package load

import (
	"math"
	"net/netip"
	"time"

	"vetchtrail"
)

const (
	// StartingTime is how long a host counts as starting, from its first request to an endpoint of which it has received
	// no response, unless EndStarting is called before.
	StartingTime = 5 * time.Second
	// maxInitialRequests is how many requests a starting host sends an endpoint before it knows whether the endpoint
	// advertises a rate limit. The other hosts may be using the whole limit, and an overloaded endpoint tolerates five
	// requests beyond it.
	maxInitialRequests = 4
)

// RecordRateLimit records the rate limit that an endpoint advertised, unless a later one is known. It returns the
// limit that was known before, and the one that is known now. ok is false if the endpoint or the process instance
// isn't known. The limit is then kept until the instance is listed: other hosts report it only once, perhaps before this
// host has read its first listing.
func (t *Table) RecordRateLimit(name string, startedAt time.Time, report vetchtrail.RateLimit) (was, is vetchtrail.RateLimit, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.instance(name, startedAt)
	if !ok {
		t.keepUnlistedRate(keyOf(NameHash(name), startedAt), unlistedRate{limit: report})
		return was, is, false
	}
	return s.recordRateLimit(t, report)
}

// AdvertisedRateLimit is the rate limit that a process instance of an endpoint advertised.
type AdvertisedRateLimit struct {
	Endpoint  string
	StartedAt time.Time // start of the instance
	Limit     vetchtrail.RateLimit
}

// RateLimits returns the rate limits of the endpoints that ever advertised one in their present process instance.
// Those that have withdrawn it are included, so that the withdrawal is sent to other hosts.
func (t *Table) RateLimits() []AdvertisedRateLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []AdvertisedRateLimit
	for _, s := range t.endpoints {
		if !s.rateLimitedSince.IsZero() {
			out = append(out, AdvertisedRateLimit{Endpoint: s.Name, StartedAt: s.Born, Limit: s.rateLimit})
		}
	}
	return out
}

// recordRateLimit implements Table.RecordRateLimit for one endpoint. The caller holds the lock.
func (s *endpointState) recordRateLimit(t *Table, report vetchtrail.RateLimit) (was, is vetchtrail.RateLimit, ok bool) {
	was = s.rateLimit
	s.rateLimit = was.Update(report)
	if was.ReceivedAt.IsZero() && s.initialRequests > 0 {
		t.wake(s.Service)
	}
	if s.rateLimit.Advertised && !was.Advertised {
		s.rateLimitedSince = report.ReceivedAt
	}
	if was.Advertised && !s.rateLimit.Advertised {
		// The endpoint was overloaded until now. As after an ejection, its warm-up share grows with its responses.
		s.rateExhaustedUntil, s.warmUp = time.Time{}, math.Min(s.warmUp, initialWarmUp)
		t.wake(s.Service)
	}
	return was, s.rateLimit, true
}

// unlistedRate is the rate limit that a process instance advertised which is not listed now.
type unlistedRate struct {
	addr         netip.AddrPort // not valid: not known
	limit        vetchtrail.RateLimit
	limitedSince time.Time // as endpointState.rateLimitedSince
}

// keepUnlistedRate keeps the rate limit of a process instance that is not listed. If there are too many, the one that was
// received first is dropped. The caller holds the lock.
func (t *Table) keepUnlistedRate(key instanceKey, u unlistedRate) {
	if kept, ok := t.unlistedRates[key]; ok {
		kept.limit = kept.limit.Update(u.limit)
		u = kept
	}
	if u.limit.Advertised && u.limitedSince.IsZero() {
		u.limitedSince = u.limit.ReceivedAt
	}
	if u.limitedSince.IsZero() {
		return
	}
	t.unlistedRates[key] = u
	if len(t.unlistedRates) <= maxUnlisted {
		return
	}
	first := key
	for other, o := range t.unlistedRates {
		if o.limit.ReceivedAt.Before(t.unlistedRates[first].limit.ReceivedAt) {
			first = other
		}
	}
	delete(t.unlistedRates, first)
}

// restoreRate sets in the state of a newly listed endpoint the rate limit that the same process instance advertised while it
// was not listed. The caller holds the lock.
func (t *Table) restoreRate(s *endpointState, e vetchtrail.Endpoint) {
	key := keyOf(NameHash(e.Name), e.Born)
	u, ok := t.unlistedRates[key]
	if !ok {
		return
	}
	delete(t.unlistedRates, key)
	if !u.addr.IsValid() || u.addr == e.Addr {
		s.rateLimit, s.rateLimitedSince = u.limit, u.limitedSince
		if u.limit.Advertised {
			t.log.Info("endpoint names a rate", "endpoint", e.Name, "service", e.Service, "rate", u.limit.Rate)
		}
	}
}

// carryOver copies to a new process instance what its responses advertised before it was listed. Its responses may
// reach a host before the listing contains it, and are then recorded in the state of the earlier instance. The rate
// limit and the announcements are each copied only if the request of the last response with them was sent after the
// new instance started. Nothing is copied if the listing is an older copy and goes back to an earlier instance.
func (s *endpointState) carryOver(old *endpointState, startedAt time.Time) {
	if startedAt.IsZero() || !old.Born.Before(startedAt) {
		return
	}
	if old.rateLimit.RequestedAt.After(startedAt) {
		s.rateLimit, s.rateLimitedSince = s.rateLimit.Update(old.rateLimit), vetchtrail.Later(s.rateLimitedSince, old.rateLimitedSince)
	}
	if old.availability.requestSentAt.After(startedAt) {
		s.availability.announcements = s.availability.merge(old.availability.announcements)
	}
}

// RateLimitReported implements vetchtrail.Observer.
func (t *Table) RateLimitReported(e vetchtrail.Endpoint, report vetchtrail.RateLimit, err error) {
	if err == nil {
		t.RecordRateLimit(e.Name, e.Born, report)
	}
}

// RateLimit returns the rate limit that an endpoint last advertised, and the start time of its process instance.
func (t *Table) RateLimit(name string) (l vetchtrail.RateLimit, startedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.endpoints[name]; ok {
		return s.rateLimit, s.Born
	}
	return vetchtrail.RateLimit{}, time.Time{}
}

// SetRateLeft records what the owner of an endpoint's rate limit last reported. rateLeft is the number of
// requests that can be sent at once. If until is set, no request can, and the endpoint is out of use until then.
func (t *Table) SetRateLeft(name string, rateLeft float64, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.endpoints[name]; ok && s.rateLimit.Advertised {
		s.rateLeft, s.rateExhaustedUntil = rateLeft, until
	}
}

// TakeInitial counts a request to an endpoint of which a starting host doesn't know yet whether it advertises a rate limit.
// taken reports whether that is so, and ok whether the request may be sent. A request that reaches the endpoint counts until
// that is known, whatever becomes of it.
func (t *Table) TakeInitial(name string, now time.Time) (taken, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, listed := t.endpoints[name]
	if !listed || !s.rateLimit.ReceivedAt.IsZero() {
		return false, true
	}
	if t.startingUntil.IsZero() {
		t.startingUntil = now.Add(StartingTime)
	}
	left, limited := s.initialLeft(t, now)
	if !limited || left == 0 {
		return false, !limited
	}
	s.initialRequests++
	return true, true
}

// EndStarting is called when this host has received the rate limits that a host which has run for longer than StartingTime
// knows. It doesn't count as starting any more: it knows as much as the others.
func (t *Table) EndStarting(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.startingUntil.IsZero() && !now.Before(t.startingUntil) {
		return
	}
	t.startingUntil = now
	for service := range t.services {
		t.wake(service)
	}
}

// ReturnInitial gives back a request that TakeInitial counted and that did not reach the endpoint.
func (t *Table) ReturnInitial(name string, startedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.instance(name, startedAt); ok && s.initialRequests > 0 {
		s.initialRequests--
		t.wake(s.Service)
	}
}

// initialLeft returns how many requests a starting host may still send before it knows whether the endpoint advertises a
// rate limit; false: it knows, or isn't starting. The caller holds the lock.
func (s *endpointState) initialLeft(t *Table, now time.Time) (left int, limited bool) {
	if !s.rateLimit.ReceivedAt.IsZero() || !now.Before(t.startingUntil) {
		return 0, false
	}
	return max(0, maxInitialRequests-s.initialRequests), true
}

// concurrency is how many requests of all hosts the endpoint can run at once: the number of its slots, or less if
// its rate limit leaves some of them idle on average.
func (s *endpointState) concurrency(svc *serviceStats) int {
	if !s.rateLimit.Advertised {
		return s.Slots
	}
	return min(s.Slots, int(math.Ceil(s.rateLimit.Rate*svc.serviceTime.value)))
}
