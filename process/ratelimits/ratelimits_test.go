package ratelimits

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/process/load"
)

// start is when the endpoint of a test started.
var start = time.Unix(1_800_000_000, 0)

// advertised returns a rate limit from a response that was requested and received at given
// times, in milliseconds. A negative rate means that no limit is advertised.
func advertised(rate float64, requested, received int) vetchtrail.RateLimit {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	return vetchtrail.RateLimit{Advertised: rate >= 0, Rate: max(rate, 0), RequestedAt: at(requested), ReceivedAt: at(received)}
}

// TestLogLines guards against a flood of log lines from an endpoint that changes its limit in
// each response, or advertises an invalid one: those are limited to one line per second. The
// first limit and its removal must always be logged.
func TestLogLines(t *testing.T) {
	e := vetchtrail.Endpoint{Name: "e", Service: "s", Slots: 4, Born: start}
	table := load.New()
	table.Configure([]load.EndpointInRegion{{Endpoint: e}})
	var out bytes.Buffer
	l := New(Config{Table: table, Log: slog.New(slog.NewJSONHandler(&out, nil))})
	for i := range 100 {
		l.RateLimitReported(e, advertised(float64(2+i%2), 100*i, 100*i+50), nil)
	}
	l.RateLimitReported(e, advertised(-1, 10_000, 10_001), nil)
	earlier := e
	earlier.Born = start.Add(-time.Hour)
	l.RateLimitReported(earlier, advertised(1, 10_002, 10_003), nil) // of an earlier instance
	for i := range 100 {
		l.RateLimitReported(e, advertised(0, 12_000+i, 12_001+i), vetchtrail.ErrInvalidRateLimit)
	}
	lines := map[string]int{
		`"endpoint names a rate"`: 1, `"endpoint names another rate"`: 9, `"endpoint names no rate any more"`: 1,
		`"endpoint names a rate that can't be read"`: 1,
	}
	for line, count := range lines {
		assert.Assert(t, strings.Count(out.String(), line) >= 1 && strings.Count(out.String(), line) <= count+1, "%s: %s", line, out.String())
	}
	assert.Equal(t, strings.Count(out.String(), `"endpoint names a rate"`), 1)
	assert.Equal(t, strings.Count(out.String(), `"endpoint names no rate any more"`), 1)
}

// TestReservationExpiry guards against requests without a valid reservation. A reservation is
// valid for one second, for one instance of the endpoint, and under the rate limit at which it was
// made or a higher one. It also expires while the host is suspended.
func TestReservationExpiry(t *testing.T) {
	cases := map[string]struct {
		suspended time.Duration
		rate      float64 // advertised after the reservation; negative: none
		restarted bool    // the endpoint restarted
		allowed   bool
	}{
		"at once":                {0, 40, false, true},
		"0.9 s later":            {900 * time.Millisecond, 40, false, true},
		"after a suspension":     {5 * time.Second, 40, false, false},
		"higher rate advertised": {0, 90, false, true},
		"lower rate advertised":  {0, 20, false, false},
		"limit removed":          {5 * time.Second, -1, false, true},
		"endpoint restarted":     {0, 40, true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := vetchtrail.Endpoint{Name: "e", Service: "s", Slots: 4, Born: start}
			table := load.New()
			table.Configure([]load.EndpointInRegion{{Endpoint: e}})
			suspended := time.Duration(0)
			startedAt := time.Now()
			f := newFleet(1, 1, "")
			l := New(Config{
				Self: f.hosts[0].Host, Table: table, Hosts: hostView{f, f.hosts[0]}, Peers: hostView{f, f.hosts[0]},
				Clock: func() time.Time { return time.Unix(5000, 0).Add(time.Since(startedAt) + suspended) },
				Log:   slog.New(slog.NewTextHandler(&bytes.Buffer{}, nil)),
			})
			l.startedAt = startedAt.Add(-time.Minute)
			l.RateLimitReported(e, advertised(40, 0, 1), nil)
			p, _, ok := l.Reserve(t.Context(), e)
			assert.Assert(t, ok && l.Allows(p, e), "%+v", p)
			suspended = c.suspended
			l.RateLimitReported(e, advertised(c.rate, 2, 3), nil)
			if c.restarted {
				e.Born = start.Add(time.Hour)
				table.Configure([]load.EndpointInRegion{{Endpoint: e}})
				l.RateLimitReported(e, advertised(40, 3_600_001, 3_600_002), nil)
			}
			assert.Equal(t, l.Allows(p, e), c.allowed)
		})
	}
}

// hostWithRate returns a host that started a given time ago and has received the endpoint's rate
// limit.
func hostWithRate(t *testing.T, f *fleet, i int, rate float64, age time.Duration) (*RateLimits, vetchtrail.Endpoint) {
	t.Helper()
	h, e := f.hosts[i], f.endpoint()
	h.limits.startedAt = time.Now().Add(-age)
	at := time.Now()
	h.limits.RateLimitReported(e, vetchtrail.RateLimit{Advertised: true, Rate: rate, RequestedAt: at, ReceivedAt: at}, nil)
	return h.limits, e
}

// TestNoRequestsWithoutOwner guards against requests to a rate-limited endpoint from a host
// that reaches no owner, or that has just started and has not discovered any other host. Other
// hosts may be using the rate.
func TestNoRequestsWithoutOwner(t *testing.T) {
	cases := map[string]struct {
		hosts     int
		partition int // of the other hosts
		age       time.Duration
		ok        bool
	}{
		"single host, long running": {1, 0, time.Minute, true},
		"single host, just started": {1, 0, time.Second, false},
		"owner reachable":           {2, 0, time.Second, true},
		"owner unreachable":         {2, 1, time.Minute, false},
		"all others unreachable":    {9, 1, time.Minute, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(3, c.hosts, "")
			task := fmt.Sprintf("keep rates %d", xxhash.Sum64String(endpointName)%shards)
			requester := 0 // a host that is not the owner
			for i, h := range f.hosts {
				if (hostView{f, h}).FirstInRegion("r", task, 1, time.Now())[0].Name != h.Name || c.hosts == 1 {
					requester = i
				}
			}
			for i, h := range f.hosts {
				if i != requester {
					h.partition, h.previousPartition = c.partition, 0
				}
				h.changedAt = time.Now() // the other hosts still count as alive
			}
			l, e := hostWithRate(t, f, requester, 40, c.age)
			_, retryAt, ok := l.Reserve(t.Context(), e)
			assert.Equal(t, ok, c.ok)
			assert.Assert(t, ok || retryAt.After(time.Now()))
		})
	}
}

// TestLowerRateDiscardsLease guards against using units that were leased under a higher rate
// after the rate was lowered.
func TestLowerRateDiscardsLease(t *testing.T) {
	f := newFleet(3, 1, "")
	l, e := hostWithRate(t, f, 0, 400, time.Minute)
	for range 20 { // enough to lease in advance
		_, _, ok := l.Reserve(t.Context(), e)
		assert.Assert(t, ok)
	}
	time.Sleep(10 * time.Millisecond)
	at := time.Now()
	l.RateLimitReported(e, vetchtrail.RateLimit{Advertised: true, Rate: 0.2, RequestedAt: at, ReceivedAt: at}, nil)
	granted := 0
	for range 20 {
		if _, _, ok := l.Reserve(t.Context(), e); ok {
			granted++
		}
	}
	assert.Assert(t, granted <= 1, "%d", granted)
}
