package soak

import (
	"context"
	"net/http"
	"time"

	"vetchtrail/standin/client"
	"vetchtrail/standin/engine"
)

const (
	// poisonPrompt is the prompt that crashes engines, and poisonRestartDelay how long a crashed
	// engine takes to listen again.
	poisonPrompt       = "the drawing that ends its reader"
	poisonRestartDelay = 700 * time.Millisecond
	// poisonRetryInterval is the pause between two attempts of the caller of the poison request,
	// and between two attempts of an injector to set the faults of an endpoint.
	poisonRetryInterval = 300 * time.Millisecond
	// crashesPerRegion is the number of crashes after which a region quarantines the request
	// without information from the other regions.
	crashesPerRegion = 3
)

// sendPoisonRequests sends the poison request to random hosts until ctx ends, and checks the
// responses with which hosts reject it once it is quarantined.
func (c *caller) sendPoisonRequests(ctx context.Context) {
	for ctx.Err() == nil {
		h := c.d.Hosts[c.rnd.IntN(len(c.d.Hosts))]
		r := c.client.Do(ctx, client.Request{
			Host: h.Listen.Callers, Service: c.d.Spec.Model.Name, Stream: true, Timeout: modelTimeout, Prompt: poisonPrompt, Tokens: maxTokens,
		})
		switch {
		case r.Reason == "held-back" && (r.Status != http.StatusServiceUnavailable || !r.RetryAt.IsZero()):
			c.checks.recordViolation("a quarantined request is rejected with 503 and no retry time", "status %d, %s", r.Status, r.Detail)
		case r.Reason == "held-back":
			c.checks.note("poison request quarantined")
		}
		sleep(ctx, poisonRetryInterval)
	}
}

// keepPoisonArrivals adds the arrivals of the poison request at an engine's process to the total.
// It is called before the engine is killed, as the next process starts with empty records, and at
// the end of the run.
func (c *checker) keepPoisonArrivals(ctx context.Context, endpoint string) {
	n := c.poisonArrivalsAt(ctx, endpoint)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.poisonArrivals += n
}

// poisonArrivalsAt returns how many times the poison request reached an engine's process, or 0 if
// the engine can't be reached.
func (c *checker) poisonArrivalsAt(ctx context.Context, endpoint string) int {
	history, ok := c.crashHistory(ctx, endpoint)
	if !ok {
		c.note("poison arrivals not read: engine not reached")
	}
	return len(history.PoisonRequests)
}

// crashHistory returns the crashes of an endpoint's process, or false if it can't be reached.
func (c *checker) crashHistory(ctx context.Context, endpoint string) (engine.CrashHistory, bool) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	addr, err := c.fleet.EndpointAddr(endpoint)
	if err != nil {
		return engine.CrashHistory{}, false
	}
	var history engine.CrashHistory
	err = c.fleet.Client.Get(ctx, addr, "/life", &history)
	return history, err == nil
}

// checkPoisonArrivals checks how many times the poison request reached engines. Each region may
// need crashesPerRegion crashes until it quarantines the request by itself. Each fault by which a
// host may lose its state, or miss a message about the quarantine, allows one more arrival.
func (c *checker) checkPoisonArrivals(ctx context.Context) {
	for _, e := range c.d.Document.Endpoints {
		if e.Service == c.d.Spec.Model.Name {
			c.keepPoisonArrivals(ctx, e.Name)
		}
	}
	bound := crashesPerRegion * len(c.d.Spec.Regions)
	for _, f := range c.faults {
		switch f.Kind {
		case EngineKill, EngineFreeze, EngineRefuses, EngineCutsStreams, EngineEndsEarly, EngineNonsense, PlainLosesResponses, EndpointDrain, LinkSlow, LinkReset:
		default:
			bound++
		}
	}
	c.mu.Lock()
	n := c.poisonArrivals
	c.notes["poison request arrivals at engines"] = n
	c.mu.Unlock()
	if n > bound {
		c.recordViolation("a poison request is quarantined", "it reached engines %d times; allowed: %d", n, bound)
	}
}
