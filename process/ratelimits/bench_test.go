package ratelimits

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"vetchtrail"
	"vetchtrail/process/load"
	"vetchtrail/standin/meter"
)

// BenchmarkTake measures the time of a reservation: for an endpoint without a rate limit (about
// 0.1 us, no allocation), and for one with a limit at the host that owns the limit (about 1 us, one
// allocation of some 60 bytes). It also measures the memory that the rate limits of a region's
// endpoints need at one host.
func BenchmarkTake(b *testing.B) {
	for _, c := range []struct {
		name string
		rate float64
	}{{"none", -1}, {"named", 900_000}} {
		b.Run(c.name, func(b *testing.B) {
			l, e := singleHost(b, 1, c.rate)
			b.ReportAllocs()
			for b.Loop() {
				p, _, ok := l.Reserve(context.Background(), e[0])
				if !ok || !l.Allows(p, e[0]) {
					b.Fatal("no reservation")
				}
			}
		})
	}
	b.Run("memory", func(b *testing.B) {
		const endpoints = 4000
		before := meter.Heap()
		l, all := singleHost(b, endpoints, 2)
		configured := meter.Heap()
		for _, e := range all {
			l.Reserve(context.Background(), e)
		}
		requested := meter.Heap()
		for b.Loop() {
			l.limit(all[0].Name)
		}
		b.ReportMetric(float64(configured-before)/endpoints, "heap-bytes/endpoint")
		b.ReportMetric(float64(requested-configured)/endpoints, "heap-bytes/asked")
	})
}

// singleHost returns the only host of a region, with endpoints that advertise a rate limit. A
// negative rate means that they advertise none.
func singleHost(b *testing.B, endpoints int, rate float64) (*RateLimits, []vetchtrail.Endpoint) {
	b.Helper()
	f := newFleet(1, 1, "")
	table := load.New()
	var configured []load.EndpointInRegion
	var all []vetchtrail.Endpoint
	for i := range endpoints {
		e := vetchtrail.Endpoint{Name: fmt.Sprint("i-", i), Service: "s", Slots: 8}
		configured, all = append(configured, load.EndpointInRegion{Endpoint: e}), append(all, e)
	}
	table.Configure(configured)
	l := New(Config{Self: f.hosts[0].Host, Table: table, Hosts: hostView{f, f.hosts[0]}, Peers: hostView{f, f.hosts[0]}, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	l.startedAt = time.Now().Add(-time.Minute)
	at := time.Now()
	for _, e := range all {
		l.RateLimitReported(e, vetchtrail.RateLimit{Advertised: rate >= 0, Rate: max(rate, 0), RequestedAt: at, ReceivedAt: at}, nil)
	}
	return l, all
}
