package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"vetchtrail/standin/ledger"
)

const (
	// The users' bound on an endpoint that advertises a rate limit: in any rateWindow it gets at
	// most rateTolerance times what the limit allows, and rateAllowance requests in addition.
	rateWindow    = 4 * time.Second
	rateTolerance = 1.5
	rateAllowance = 5
	// ratePropagation is the time that the hosts of the engine's region may take to receive a rate
	// limit: one host receives it with a response, the others with that host's next heartbeat.
	ratePropagation = 2 * time.Second
	// minRateDuration and maxRateDuration bound the time for which an engine advertises a rate
	// limit. rateGap is the time until the next engine advertises one.
	minRateDuration = 8 * time.Second
	maxRateDuration = 14 * time.Second
	rateGap         = time.Second
	// newHostAllowance is the number of requests that a host that has just started may send in
	// addition: it receives the rate limit, or the announcement that an engine is leaving, only
	// with its first response or with the first heartbeat of another host.
	newHostAllowance = 5
)

// advertisement is what an engine advertised in a span of time: a rate limit, or, if rate is 0,
// that it is leaving.
type advertisement struct {
	engine      string
	rate        float64 // requests a second
	from, until time.Time
}

// advertiseRateLimits makes one engine at a time advertise a rate limit until ctx ends, and records
// the advertisements. It removes the last engine's limit before it returns.
func (c *checker) advertiseRateLimits(ctx context.Context, rnd *rand.Rand) {
	modelEngines := c.modelEngines()
	for ctx.Err() == nil {
		a := advertisement{engine: modelEngines[rnd.IntN(len(modelEngines))], rate: []float64{0.5, 1, 2, 5}[rnd.IntN(4)]}
		length := minRateDuration + time.Duration(rnd.Float64()*float64(maxRateDuration-minRateDuration))
		if c.setRateLimit(ctx, a.engine, strconv.FormatFloat(a.rate, 'g', -1, 64)) {
			a.from = time.Now()
			sleep(ctx, length)
			a.until = time.Now()
			if c.setRateLimit(context.WithoutCancel(ctx), a.engine, "") {
				c.mu.Lock()
				c.rateLimits = append(c.rateLimits, a)
				c.mu.Unlock()
			}
		}
		sleep(ctx, rateGap)
	}
}

// setRateLimit makes an engine advertise a rate limit from now on, or none if rate is empty. It
// returns false if the engine could not be reached.
func (c *checker) setRateLimit(ctx context.Context, engine, rate string) bool {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	addr, err := c.fleet.EndpointAddr(engine)
	if err == nil {
		err = c.fleet.Client.Put(ctx, addr, "/rate", rate)
	}
	if err != nil {
		c.note("rate limit not set: engine not reached")
	}
	return err == nil
}

// checkRateLimits checks each rate limit that was advertised against the requests that its
// engine started. It skips rate limits during which the engine was killed or frozen.
func (c *checker) checkRateLimits(ctx context.Context) {
	for _, a := range c.rateLimits {
		if c.engineInterrupted(a) {
			c.note("rate limit not checked: engine was killed or frozen")
			continue
		}
		list, err := c.executions(ctx, a.engine)
		if err != nil {
			c.note("rate limit not checked: executions not read")
			continue
		}
		c.note("rate limit checked")
		c.checkRateLimit(a, append(slices.Clone(c.earlierExecutions[a.engine]), list...))
	}
}

// checkRateLimit checks one rate limit against the requests that its engine started. It counts them
// in each window of length rateWindow, from ratePropagation after the limit was set until its end.
func (c *checker) checkRateLimit(a advertisement, runs []ledger.Execution) {
	var started []ledger.Execution
	for _, e := range runs {
		if e.At.After(a.from.Add(ratePropagation)) && e.At.Before(a.until) {
			started = append(started, e)
		}
	}
	slices.SortFunc(started, func(a, b ledger.Execution) int { return a.At.Compare(b.At) })
	first := 0
	for last, e := range started {
		for e.At.Sub(started[first].At) >= rateWindow {
			first++
		}
		bound := rateTolerance*a.rate*rateWindow.Seconds() + rateAllowance + float64(newHostAllowance*c.hostStarts(started[first].At.Add(-ratePropagation), e.At))
		if got := last - first + 1; float64(got) > bound {
			c.recordViolation("an endpoint gets no more than its advertised rate limit", "%s started %d requests within %s at a limit of %g a second, set %s into the run; allowed: %g; requests: %s",
				a.engine, got, rateWindow, a.rate, a.from.Sub(c.startedAt), bound, c.listExecutions(started[first:last+1]))
			return
		}
	}
}

// listExecutions lists executions by request and time since the start of the run, so that the hosts' logs tell who
// sent them.
func (c *checker) listExecutions(list []ledger.Execution) string {
	var out []string
	for _, e := range list {
		out = append(out, fmt.Sprintf("%s %s", e.Request, e.At.Sub(c.startedAt).Round(time.Millisecond)))
	}
	return strings.Join(out, ", ")
}

// engineInterrupted reports whether an engine was killed or frozen during its advertisement. A
// frozen engine records all requests that it received meanwhile when it resumes, and the check would
// regard this burst as a violation of the limit.
func (c *checker) engineInterrupted(a advertisement) bool {
	return slices.ContainsFunc(c.faults, func(f Fault) bool {
		interrupts := f.Target == a.engine && (f.Kind == EngineKill || f.Kind == EngineFreeze)
		return interrupts && c.startedAt.Add(f.Start).Before(a.until) && c.startedAt.Add(f.End()+settleTime).After(a.from)
	})
}

// hostStarts returns how many hosts may have started, or resumed after a freeze, in a span.
func (c *checker) hostStarts(from, until time.Time) int {
	n := 0
	for _, f := range c.faults {
		if end := c.startedAt.Add(f.End()); end.Add(settleTime).Before(from) || end.After(until) {
			continue
		}
		switch f.Kind {
		case HostKill, HostStop, HostFreeze:
			n++
		case RegionStop:
			n += len(c.d.Hosts) / len(c.d.Spec.Regions)
		}
	}
	return n
}
