package scenario

import (
	"context"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// rateWindow is any span of time in which an endpoint gets no more than rateShare of what it
	// named, and rateExtra requests beside.
	rateWindow = 4 * time.Second
	rateShare  = 1.5
	rateExtra  = 5
	// rateKnown is how long after an endpoint began to name a rate the windows count: requests are on
	// their way, and hosts hear of it by their answers.
	rateKnown = time.Second
)

// nameRate has an engine name a rate in its answers, or none, and returns when.
func (x *engineRun) nameRate(engineName, rate string) time.Time {
	x.t.Helper()
	for _, e := range x.d.Document.Endpoints {
		if e.Name == engineName {
			assert.NilError(x.t, x.f.Client.Put(x.ctx, e.Addr, "/rate", rate))
		}
	}
	return time.Now()
}

// most is the most of some moments in any window that begins between two.
func most(moments []time.Time, from, to time.Time) int {
	out := 0
	for i, first := range moments {
		if first.Before(from) || first.After(to) {
			continue
		}
		n := 0
		for _, m := range moments[i:] {
			if m.Before(first.Add(rateWindow)) {
				n++
			}
		}
		out = max(out, n)
	}
	return out
}

func between(moments []time.Time, from, to time.Time) int {
	return after(moments, from) - after(moments, to)
}

// TestNamedRate: two endpoints that were in need asked in each answer to be given no more than 2
// requests a second, of all hosts together, and went on getting 10 to 20 a second for as long as they
// asked. Their callers were served. No host read what they asked for: it was handed on to callers as any
// other field, and what a host did count of an endpoint it counted for itself. The evidence: with a line
// when a rate is read, and nothing decided by it, all three hosts of the region were told within 25 ms of
// each other, and then placed 686, 727 and 746 requests on the endpoint in the 12 s in which it named
// 2 a second. So it came neither of a host that was not told nor of words that come late.
func TestNamedRate(t *testing.T) {
	t.Parallel()
	const rate = 2.0
	x := newEngineRun(t)
	ctx, stop := context.WithCancel(x.ctx)
	all := x.callers(ctx, 24)
	defer all.Wait()
	defer stop()
	limited := x.busiest()
	named := x.nameRate(limited, strconv.FormatFloat(rate, 'g', -1, 64))
	time.Sleep(12 * time.Second)
	lifted := x.nameRate(limited, "")
	time.Sleep(4 * time.Second)
	stop()
	all.Wait()
	moments := x.started(limited)
	worst := most(moments, named.Add(rateKnown), lifted.Add(-rateWindow))
	whole := between(moments, named.Add(rateKnown), lifted)
	again := between(moments, lifted.Add(2*time.Second), lifted.Add(4*time.Second))
	t.Logf("worst window %d, %d in all, %d in two seconds after it was lifted, outcomes %v", worst, whole, again, x.outcomes)
	assert.Assert(t, worst <= int(rateShare*rate*rateWindow.Seconds())+rateExtra, "%d in a window", worst)
	assert.Assert(t, whole >= int(rate*lifted.Sub(named.Add(rateKnown)).Seconds()/2), "%d: what it takes was not used", whole)
	assert.Assert(t, again > 2*rate, "%d after it was lifted", again)
}
