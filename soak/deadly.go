package soak

import (
	"context"
	"net/http"
	"time"

	"vetchtrail/standin/client"
	"vetchtrail/standin/engine"
)

const (
	// deadlyPrompt is the prompt under which engines end, and deadlyBack how long they are away.
	deadlyPrompt = "the drawing that ends its reader"
	deadlyBack   = 700 * time.Millisecond
	// deadlyPause is its caller's pause.
	deadlyPause = 300 * time.Millisecond
	// deadlyEach is how many ends a region that is by itself needs to hold the request back.
	deadlyEach = 3
)

// sendDeadly sends the deadly request again and again, to any host.
func (v *driver) sendDeadly(ctx context.Context) {
	for ctx.Err() == nil {
		h := v.d.Hosts[v.rnd.IntN(len(v.d.Hosts))]
		r := v.client.Do(ctx, client.Ask{
			Host: h.Listen.Callers, Service: v.d.Spec.Model.Name, Stream: true, Timeout: askWithin, Prompt: deadlyPrompt, Tokens: mostTokens,
		})
		switch {
		case r.Reason == "held-back" && (r.Status != http.StatusServiceUnavailable || !r.RetryAt.IsZero()):
			v.checks.violate("a request that is held back is told so at once, and not to come back", "status %d, %s", r.Status, r.Detail)
		case r.Reason == "held-back":
			v.checks.note("deadly request held back")
		}
		sleep(ctx, deadlyPause)
	}
}

// collectDeadly keeps the arrivals of the deadly request at an engine, before its process ends.
func (c *checker) collectDeadly(ctx context.Context, endpoint string) {
	n := c.deadlyAt(ctx, endpoint)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadly += n
}

func (c *checker) deadlyAt(ctx context.Context, endpoint string) int {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	addr, err := c.fleet.EndpointAddr(endpoint)
	if err != nil {
		return 0
	}
	var l engine.Life
	if c.fleet.Client.Get(ctx, addr, "/life", &l) != nil {
		c.note("engine not asked for its lives")
	}
	return len(l.Deadly)
}

// boundedDeadly checks how often the deadly request reached engines: as often as each region
// needs by itself to hold it back, and once more for each fault by which a host forgets or is
// not told.
func (c *checker) boundedDeadly(ctx context.Context) {
	for _, e := range c.d.Document.Endpoints {
		if e.Service == c.d.Spec.Model.Name {
			c.collectDeadly(ctx, e.Name)
		}
	}
	bound := deadlyEach * len(c.d.Spec.Regions)
	for _, e := range c.events {
		switch e.Kind {
		case EngineKill, EngineFreeze, EngineRefuse, EngineCut, EngineEarly, EngineJunk, AppLost, Drain, LinkSlow, LinkReset:
		default:
			bound++
		}
	}
	c.mu.Lock()
	n := c.deadly
	c.notes["deadly request at engines"] = n
	c.mu.Unlock()
	if n > bound {
		c.violate("a request under which engines end is held back", "it reached engines %d times, of %d at most", n, bound)
	}
}
