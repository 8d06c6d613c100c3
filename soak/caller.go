package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"vetchtrail/standin/client"
	"vetchtrail/standin/deployment"
)

const (
	modelTimeout     = 6 * time.Second // timeout of a model request
	maxTokens        = 40
	promptCount      = 60                    // number of different prompts; small, so that requests share cached prefixes
	maxKeyedAttempts = 3                     // for one keyed request
	maxPause         = 60 * time.Millisecond // between two requests of a caller
	// hostDownPause is how long a caller waits after a host did not respond.
	hostDownPause = 300 * time.Millisecond
)

// Tally holds counts by name, such as the number of requests by outcome.
type Tally map[string]int

// caller sends one request after the other. It reuses its connections until the process of their
// host ends.
type caller struct {
	d             *deployment.Deployment
	checks        *checker
	client        *client.Client
	rnd           *rand.Rand
	homeHost      int                                // index of the host that gets most of its requests
	outcomes      Tally                              // of its own requests
	recordOutcome func(at time.Time, outcome string) // adds an outcome to the report's timeline
}

// run sends requests until ctx ends: four of ten are streamed model requests, two model requests
// that are not streamed, two model requests of a workspace that is bound to the host's region,
// and two keyed requests to the plain service. One in eight goes to a random host.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		host := c.homeHost
		if c.rnd.IntN(8) == 0 {
			host = c.rnd.IntN(len(c.d.Hosts))
		}
		switch n := c.rnd.IntN(10); {
		case n < 4:
			c.sendModelRequest(ctx, host, true, "")
		case n < 6:
			c.sendModelRequest(ctx, host, false, "")
		case n < 8:
			c.sendModelRequest(ctx, host, c.rnd.IntN(2) == 0, c.d.Hosts[host].Region+"-bound")
		default:
			c.sendKeyedRequest(ctx, host)
		}
		sleep(ctx, time.Duration(c.rnd.Float64()*float64(maxPause)))
	}
}

// sendModelRequest sends a model request with a random prompt and length, and checks the response.
func (c *caller) sendModelRequest(ctx context.Context, host int, stream bool, workspace string) {
	h := c.d.Hosts[host]
	req := client.Request{
		Host: h.Listen.Callers, Service: c.d.Spec.Model.Name, Workspace: workspace, Stream: stream, Timeout: modelTimeout,
		Prompt: fmt.Sprintf("a drawing with the number %d", c.rnd.IntN(promptCount)), Tokens: 1 + c.rnd.IntN(maxTokens),
	}
	began := time.Now()
	r := c.client.Do(ctx, req)
	if ctx.Err() != nil {
		return
	}
	c.checks.checkModelResponse(req, h.Host, began, r)
	c.countOutcome(ctx, r)
}

// countOutcome counts and returns the outcome of a request. If the host did not respond, it first
// waits for hostDownPause.
func (c *caller) countOutcome(ctx context.Context, r client.Result) string {
	outcome := outcomeOf(r)
	c.outcomes[outcome]++
	c.recordOutcome(time.Now(), outcome)
	if r.Status == 0 {
		sleep(ctx, hostDownPause)
	}
	return outcome
}

// outcomeOf returns the outcome of a request as the caller observed it: answered, not-run, cut for
// a response that broke off, or unknown.
func outcomeOf(r client.Result) string {
	switch {
	case r.Status == http.StatusOK && r.Complete:
		return "answered"
	case r.Outcome == "not-run":
		return "not-run"
	case r.Status == http.StatusOK:
		return "cut"
	}
	return "unknown"
}

// sendKeyedRequest sends a request with an idempotency key that the host issued. Until the request
// is answered, it makes up to maxKeyedAttempts attempts with the same key, the retries at random
// hosts.
func (c *caller) sendKeyedRequest(ctx context.Context, host int) {
	hosts, err := c.client.Hosts(ctx, c.d.Hosts[host].Listen.Callers)
	if err != nil || hosts.Key == "" {
		c.outcomes["no key"]++
		sleep(ctx, hostDownPause)
		return
	}
	for range maxKeyedAttempts {
		to := c.d.Hosts[host]
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), modelTimeout+maxOverrun)
		began := time.Now()
		r := c.client.CallPlain(callCtx, to.Listen.Callers, http.MethodPost, c.d.Spec.Plain.Name, "/bookings", hosts.Key, "", "mill 4")
		cancel()
		result := c.countOutcome(ctx, r)
		if result == "cut" {
			result = "unknown"
		}
		c.checks.recordAttempt(hosts.Key, attempt{began: began, ended: time.Now(), host: to.Host, outcome: result, text: r.Text})
		if result == "answered" || ctx.Err() != nil {
			return
		}
		host = c.rnd.IntN(len(c.d.Hosts))
	}
}
