//go:build !race

package ratelimits

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
)

// equalShare is a strategy without messages between hosts. Some of the hosts use an equal share
// of the rate, each by its own token bucket, and the others use nothing.
type equalShare struct {
	f     *fleet
	h     *host
	users func(live, hosts int) int // how many of the live hosts use the endpoint
	mu    sync.Mutex
	level float64
	// updatedAt is when level was last updated.
	updatedAt time.Time
}

// Reserve implements vetchtrail.RateLimiter.
func (s *equalShare) Reserve(_ context.Context, e vetchtrail.Endpoint) (vetchtrail.Reservation, time.Time, bool) {
	limit, _ := s.h.table.RateLimit(e.Name)
	if !limit.Advertised {
		return vetchtrail.Reservation{}, time.Time{}, true
	}
	now := time.Now()
	alive := hostView{s.f, s.h}.FirstInRegion("r", "use "+e.Name, 1<<16, now)
	users := min(len(alive), s.users(len(alive), len(s.f.hosts)))
	index := slices.IndexFunc(alive, func(h vetchtrail.Host) bool { return h.Name == s.h.Name })
	if index >= users {
		return vetchtrail.Reservation{}, time.Time{}, false
	}
	rate := max(limit.Rate, minRate) / float64(users)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.level = min(1+burstSeconds*rate, s.level+rate*now.Sub(s.updatedAt).Seconds())
	s.updatedAt = now
	if s.level < 1 {
		return vetchtrail.Reservation{}, time.Time{}, false
	}
	s.level--
	return vetchtrail.Reservation{Endpoint: e.Name}, time.Time{}, true
}

// Cancel implements vetchtrail.RateLimiter.
func (s *equalShare) Cancel(vetchtrail.Reservation) {}

// Allows implements vetchtrail.RateLimiter.
func (s *equalShare) Allows(reservation vetchtrail.Reservation, e vetchtrail.Endpoint) bool {
	limit, _ := s.h.table.RateLimit(e.Name)
	return !limit.Advertised || reservation.Endpoint != ""
}

// strategies are the strategies to compare, each with the function for equalShare.users. nil is the
// strategy of RateLimits: leases from one owner.
var strategies = map[string]func(live, hosts int) int{
	"leases":       nil,
	"equal shares": func(live, _ int) int { return live },
	"few hosts":    func(live, _ int) int { return min(live, 2) },
}

// TestRateStrategies compares strategies under the same load: how much of the rate is used,
// the worst 4 s, and the number of messages. It runs each with all hosts connected, and with
// the hosts in two partitions that both reach the endpoint. Only the leases must keep the
// limit.
func TestRateStrategies(t *testing.T) {
	for _, hosts := range []int{3, 8, 60} {
		for _, rate := range []float64{1.9, 20} {
			for name, users := range strategies {
				t.Run(fmt.Sprintf("hosts=%d/rate=%g/%s", hosts, rate, name), func(t *testing.T) {
					used, worst, messages := runStrategy(t, users, hosts, rate, false)
					_, partitioned, _ := runStrategy(t, users, hosts, rate, true)
					t.Logf("used %.2f of the rate; worst 4 s %.2f of the limit, %.2f when partitioned; %.1f lease requests per second and host", used, worst, partitioned, messages)
					if users == nil {
						assert.Assert(t, worst <= 1 && partitioned <= 1)
					}
				})
			}
		}
	}
}

// runStrategy simulates hosts of which a fifth has nine tenths of the load. Callers request
// four times the rate.
func runStrategy(t *testing.T, users func(live, hosts int) int, hosts int, rate float64, partitioned bool) (used, worstWindow, messages float64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{rnd: rand.New(rand.NewPCG(9, 9)), endpointStartedAt: time.Now(), advertised: []advertisement{{time.Now(), -1}}}
		if users != nil {
			f.newLimiter = func(f *fleet, h *host) rateLimiter {
				return &equalShare{f: f, h: h, users: users, updatedAt: time.Now()}
			}
		}
		f.populate(hosts)
		f.advertise(rate)
		const warmUp, length = 10 * time.Second, 60 * time.Second
		measureFrom := time.Now().Add(warmUp)
		busyHosts := (hosts + 4) / 5
		var wg sync.WaitGroup
		for i, h := range f.hosts {
			demand := 4 * rate * 0.1 / float64(max(1, hosts-busyHosts))
			if i < busyHosts {
				demand = 4 * rate * 0.9 / float64(busyHosts)
			}
			wg.Go(func() { f.generateLoad(h, demand, measureFrom.Add(length), &wg) })
		}
		time.Sleep(warmUp)
		f.mu.Lock()
		sent := f.sent
		if partitioned {
			for i, h := range f.hosts {
				h.partition, h.changedAt = i%2, time.Now()
			}
		}
		f.mu.Unlock()
		time.Sleep(length)
		f.mu.Lock()
		messages = float64(f.sent-sent) / length.Seconds() / float64(hosts)
		f.mu.Unlock()
		f.drain(&wg)
		arrived := 0
		for _, a := range f.arrivals {
			if a.at.After(measureFrom) && a.at.Before(measureFrom.Add(length)) {
				arrived++
			}
		}
		used = float64(arrived) / (rate * length.Seconds())
		worstWindow, _ = f.worstWindow()
	})
	return used, worstWindow, messages
}
