package scenario

import (
	"context"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// The bound on an endpoint that advertises a rate limit: in any rateWindow it gets at most
	// rateTolerance times what the limit allows, and rateAllowance requests in addition.
	rateWindow    = 4 * time.Second
	rateTolerance = 1.5
	rateAllowance = 5
	// ratePropagation is how long after the first advertisement the bound doesn't apply yet: some
	// requests are already in flight, and hosts receive the limit only with responses.
	ratePropagation = time.Second
)

// advertiseRate makes an engine advertise a rate limit in its responses from now on, or none if rate
// is empty, and returns the current time.
func (x *engineRun) advertiseRate(engineName, rate string) time.Time {
	x.t.Helper()
	for _, e := range x.d.Document.Endpoints {
		if e.Name == engineName {
			assert.NilError(x.t, x.f.Client.Put(x.ctx, e.Addr, "/rate", rate))
		}
	}
	return time.Now()
}

// maxInWindow returns the largest number of times in a window of length rateWindow. Each window
// begins at one of the times, not before from and not after to.
func maxInWindow(times []time.Time, from, to time.Time) int {
	out := 0
	for i, first := range times {
		if first.Before(from) || first.After(to) {
			continue
		}
		n := 0
		for _, t := range times[i:] {
			if t.Before(first.Add(rateWindow)) {
				n++
			}
		}
		out = max(out, n)
	}
	return out
}

// countBetween returns the number of times that are after from, and not after to.
func countBetween(times []time.Time, from, to time.Time) int {
	return countAfter(times, from) - countAfter(times, to)
}

// TestAdvertisedRateLimit guards against an endpoint that receives more requests than the rate limit
// that it advertises allows. Two endpoints that needed less load advertised in each response a
// limit of 2 requests a second for all hosts together, and received 10 to 20 a second; callers were
// served all the same. Hosts relayed the header field to callers but did not read it, and each host
// counted only its own requests to an endpoint.
// A delayed advertisement was not the cause: with hosts that logged the field but did not act on it,
// all three hosts of the region logged it within 25 ms of each other. They then sent 686, 727 and
// 746 requests to the endpoint in the 12 s in which it advertised 2 a second.
func TestAdvertisedRateLimit(t *testing.T) {
	t.Parallel()
	const rate = 2.0
	x := newEngineRun(t)
	ctx, stop := context.WithCancel(x.ctx)
	callers := x.startCallers(ctx, 24)
	defer callers.Wait()
	defer stop()
	limited := x.busiestEngine()
	advertisedAt := x.advertiseRate(limited, strconv.FormatFloat(rate, 'g', -1, 64))
	time.Sleep(12 * time.Second)
	liftedAt := x.advertiseRate(limited, "")
	time.Sleep(4 * time.Second)
	stop()
	callers.Wait()
	starts := x.executionTimes(limited)
	worst := maxInWindow(starts, advertisedAt.Add(ratePropagation), liftedAt.Add(-rateWindow))
	total := countBetween(starts, advertisedAt.Add(ratePropagation), liftedAt)
	afterLift := countBetween(starts, liftedAt.Add(2*time.Second), liftedAt.Add(4*time.Second))
	t.Logf("%d requests in the worst window, %d in all, %d in two seconds after the limit was lifted, outcomes %v", worst, total, afterLift, x.outcomes)
	assert.Assert(t, worst <= int(rateTolerance*rate*rateWindow.Seconds())+rateAllowance, "%d requests in a window", worst)
	assert.Assert(t, total >= int(rate*liftedAt.Sub(advertisedAt.Add(ratePropagation)).Seconds()/2), "%d requests: less than half of the rate limit was used", total)
	assert.Assert(t, afterLift > 2*rate, "%d requests after the limit was lifted", afterLift)
}
