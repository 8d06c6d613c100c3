//go:build !race

package ratelimits

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// simulateFaults runs the simulation of a seed with all kinds of faults. It returns the
// highest ratio of the requests in a window to its limit, with a description.
func simulateFaults(t *testing.T, seed uint64, disabled guard) (ratio float64, description string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		f := newFleet(seed, 1+rnd.IntN(12), disabled)
		end := time.Now().Add(40 * time.Second)
		var wg sync.WaitGroup
		for _, h := range f.hosts {
			wg.Go(func() { f.generateLoad(h, 0.5+rnd.ExpFloat64()*12, end, &wg) })
		}
		rates := []float64{-1, 0, 0.3, 1.9, 1.9, 2, 7, 40}
		for time.Now().Before(end) {
			time.Sleep(time.Duration(1+rnd.IntN(6000)) * time.Millisecond)
			switch rnd.IntN(6) {
			case 0, 1:
				f.advertise(rates[rnd.IntN(len(rates))])
			case 2:
				f.changePartitions(rnd)
			case 3:
				f.restartHost(rnd.IntN(len(f.hosts)))
			case 4:
				f.restartEndpoint()
			}
		}
		f.drain(&wg)
		ratio, description = f.worstWindow()
		if f.violation != "" {
			ratio, description = math.Inf(1), f.violation
		}
	})
	return ratio, fmt.Sprintf("seed %d: %s", seed, description)
}

// seedCount is the number of simulations. It can be raised for longer runs.
var seedCount = flag.Uint64("seeds", 60, "number of simulations")

// TestRateAcrossHosts guards against hosts that together exceed a rate limit, while hosts
// restart or are partitioned, messages are lost and the endpoint restarts. In any 4 s, the hosts
// that have received the limit may together send one and a half times the rate, and five requests.
func TestRateAcrossHosts(t *testing.T) {
	worst, worstDescription := 0.0, ""
	for seed := range *seedCount {
		ratio, description := simulateFaults(t, seed, "")
		if ratio > 1 {
			t.Error(description)
		}
		if ratio > worst {
			worst, worstDescription = ratio, description
		}
	}
	t.Logf("worst window %.2f of the limit: %s", worst, worstDescription)
}

// TestRateAcrossHostsDetectsFaults checks that TestRateAcrossHosts can fail: the same
// simulations must break the limit with a mechanism switched off.
func TestRateAcrossHostsDetectsFaults(t *testing.T) {
	for _, disabled := range []guard{guardSharedOwner, guardSeenShare, guardReportOrder, guardInstance} {
		t.Run(string(disabled), func(t *testing.T) {
			for seed := range uint64(60) {
				if ratio, description := simulateFaults(t, seed, disabled); ratio > 1 {
					t.Logf("%.2f of the limit: %s", ratio, description)
					return
				}
			}
			t.Fatal("no simulation broke the limit")
		})
	}
}

// TestRateUtilisation guards against wasting the rate of an endpoint, and against too many
// lease requests. While callers request more than the endpoint accepts, it must receive at least
// nine tenths of its rate, whichever hosts the callers use.
func TestRateUtilisation(t *testing.T) {
	cases := map[string]struct {
		hosts  int
		rate   float64
		demand []float64 // requests per second at each host, in turn
	}{
		"one host":                       {1, 1.9, []float64{8}},
		"three hosts":                    {3, 1.9, []float64{8}},
		"eight hosts":                    {8, 1.9, []float64{4}},
		"eight hosts, one with callers":  {8, 1.9, []float64{8, 0.01, 0.01, 0.01, 0.01, 0.01, 0.01, 0.01}},
		"sixty hosts, low load on each":  {60, 1.9, []float64{0.5}},
		"eight hosts, a high rate":       {8, 40, []float64{20}},
		"eight hosts, one has most load": {8, 20, []float64{60, 1}},
		"eight hosts, three in 10 s":     {8, 0.3, []float64{2}},
		"twenty hosts, overloaded":       {20, 1.9, []float64{20}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(5, c.hosts, "")
				f.advertise(c.rate)
				const warmUp, length = 10 * time.Second, 60 * time.Second
				measureFrom := time.Now().Add(warmUp)
				var wg sync.WaitGroup
				for i, h := range f.hosts {
					wg.Go(func() { f.generateLoad(h, c.demand[i%len(c.demand)], measureFrom.Add(length), &wg) })
				}
				time.Sleep(warmUp)
				f.mu.Lock()
				sent := f.sent
				f.mu.Unlock()
				time.Sleep(length)
				f.mu.Lock()
				sent = f.sent - sent
				f.mu.Unlock()
				f.drain(&wg)
				arrived := 0
				for _, a := range f.arrivals {
					if a.at.After(measureFrom) && a.at.Before(measureFrom.Add(length)) {
						arrived++
					}
				}
				used := float64(arrived) / (c.rate * length.Seconds())
				messages := float64(sent) / length.Seconds() / float64(c.hosts)
				ratio, description := f.worstWindow()
				t.Logf("used %.2f of the rate, %.1f lease requests per second and host, worst window %.2f: %s", used, messages, ratio, description)
				assert.Assert(t, used >= 0.9, "used %.2f of the rate", used)
				assert.Assert(t, messages <= maxLeaseRequests, "%.1f lease requests per second and host", messages)
				assert.Assert(t, ratio <= 1, "%s", description)
			})
		})
	}
}

// maxLeaseRequests is the maximum number of lease requests per second that a host may send for
// one endpoint. With some 150 bytes for request and reply, that is a tenth of what a host may
// use for all control messages.
const maxLeaseRequests = 25
