package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"vetchtrail/standin/ledger"
)

const (
	// rateWindow, rateShare and rateExtra are the users' bound on what an endpoint gets that names a
	// rate, and rateKnown the time in which the hosts of its region know of it: a heartbeat and an answer.
	rateWindow = 4 * time.Second
	rateShare  = 1.5
	rateExtra  = 5
	rateKnown  = 2 * time.Second
	// rateShortest and rateLongest bound how long one is named, and ratePause is the time between two.
	rateShortest = 8 * time.Second
	rateLongest  = 14 * time.Second
	ratePause    = time.Second
	// newHost is what a host that has just started may send beside: it hears of the rate by its first
	// answer or the first heartbeat of another.
	newHost = 5
)

// named is a rate that an engine named for a time.
type named struct {
	engine      string
	rate        float64
	from, until time.Time
}

// nameRates has one engine after the other name a rate, until ctx ends; then none does.
func (c *checker) nameRates(ctx context.Context, rnd *rand.Rand) {
	engines := c.engines()
	for ctx.Err() == nil {
		n := named{engine: engines[rnd.IntN(len(engines))], rate: []float64{0.5, 1, 2, 5}[rnd.IntN(4)]}
		length := rateShortest + time.Duration(rnd.Float64()*float64(rateLongest-rateShortest))
		if c.setRate(ctx, n.engine, strconv.FormatFloat(n.rate, 'g', -1, 64)) {
			n.from = time.Now()
			sleep(ctx, length)
			n.until = time.Now()
			if c.setRate(context.WithoutCancel(ctx), n.engine, "") {
				c.mu.Lock()
				c.named = append(c.named, n)
				c.mu.Unlock()
			}
		}
		sleep(ctx, ratePause)
	}
}

// setRate has an engine name a rate from now on, or none; false: it could not be asked.
func (c *checker) setRate(ctx context.Context, engine, rate string) bool {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	addr, err := c.fleet.EndpointAddr(engine)
	if err == nil {
		err = c.fleet.Client.Put(ctx, addr, "/rate", rate)
	}
	if err != nil {
		c.note("engine not told its rate")
	}
	return err == nil
}

// ratesKept checks what the engines got while they named a rate.
func (c *checker) ratesKept(ctx context.Context) {
	for _, n := range c.named {
		if c.restless(n) {
			c.note("rate named by an engine that was struck")
			continue
		}
		list, err := c.executions(ctx, n.engine)
		if err != nil {
			c.note("engine not asked what it got of its rate")
			continue
		}
		c.note("rate named")
		c.rateKept(n, append(slices.Clone(c.runs[n.engine]), list...))
	}
}

// rateKept checks one rate in all windows of the time in which it was named.
func (c *checker) rateKept(n named, runs []ledger.Execution) {
	var at []time.Time
	for _, e := range runs {
		if e.At.After(n.from.Add(rateKnown)) && e.At.Before(n.until) {
			at = append(at, e.At)
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	first := 0
	for last, now := range at {
		for now.Sub(at[first]) >= rateWindow {
			first++
		}
		bound := rateShare*n.rate*rateWindow.Seconds() + rateExtra + float64(newHost*c.starts(at[first].Add(-rateKnown), now))
		if got := last - first + 1; float64(got) > bound {
			c.violate("an endpoint gets no more than the rate that it names", "%s got %d in %s of a rate of %g; allowed %g", n.engine, got, rateWindow, n.rate, bound)
			return
		}
	}
}

// restless says whether an engine was killed or stood still while it named a rate: what it was sent
// meanwhile it notes at once when it goes on.
func (c *checker) restless(n named) bool {
	return slices.ContainsFunc(c.events, func(e Event) bool {
		hit := e.Target == n.engine && (e.Kind == EngineKill || e.Kind == EngineFreeze)
		return hit && c.began.Add(e.At).Before(n.until) && c.began.Add(e.End()+settle).After(n.from)
	})
}

// starts is how many hosts may have started, or gone on after they stood still, in a span.
func (c *checker) starts(from, until time.Time) int {
	n := 0
	for _, e := range c.events {
		if end := c.began.Add(e.End()); end.Add(settle).Before(from) || end.After(until) {
			continue
		}
		switch e.Kind {
		case HostKill, HostStop, HostFreeze:
			n++
		case AllStop:
			n += len(c.d.Hosts) / len(c.d.Spec.Regions)
		}
	}
	return n
}
