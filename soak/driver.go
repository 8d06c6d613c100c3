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
	promptCount      = 60                    // different prompts; few, so that requests share cached prefixes
	maxKeyedAttempts = 3                     // at one keyed request
	maxPause         = 60 * time.Millisecond // between two requests of a caller
	// hostDownPause is how long a driver waits after a host did not respond.
	hostDownPause = 300 * time.Millisecond
)

// Tally counts things by their name, such as requests by outcome.
type Tally map[string]int

// driver is a caller that sends one request after the other. It reuses its connections until the
// process of their host ends.
type driver struct {
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
func (v *driver) run(ctx context.Context) {
	for ctx.Err() == nil {
		host := v.homeHost
		if v.rnd.IntN(8) == 0 {
			host = v.rnd.IntN(len(v.d.Hosts))
		}
		switch n := v.rnd.IntN(10); {
		case n < 4:
			v.sendModelRequest(ctx, host, true, "")
		case n < 6:
			v.sendModelRequest(ctx, host, false, "")
		case n < 8:
			v.sendModelRequest(ctx, host, v.rnd.IntN(2) == 0, v.d.Hosts[host].Region+"-bound")
		default:
			v.sendKeyedRequest(ctx, host)
		}
		sleep(ctx, time.Duration(v.rnd.Float64()*float64(maxPause)))
	}
}

// sendModelRequest sends a model request with a random prompt and length, and checks the response.
func (v *driver) sendModelRequest(ctx context.Context, host int, stream bool, workspace string) {
	h := v.d.Hosts[host]
	req := client.Request{
		Host: h.Listen.Callers, Service: v.d.Spec.Model.Name, Workspace: workspace, Stream: stream, Timeout: modelTimeout,
		Prompt: fmt.Sprintf("a drawing with the number %d", v.rnd.IntN(promptCount)), Tokens: 1 + v.rnd.IntN(maxTokens),
	}
	began := time.Now()
	r := v.client.Do(ctx, req)
	if ctx.Err() != nil {
		return
	}
	v.checks.checkModelResponse(req, h.Host, began, r)
	v.countOutcome(ctx, r)
}

// countOutcome counts and returns the outcome of a request. It waits after a request that its
// host did not answer.
func (v *driver) countOutcome(ctx context.Context, r client.Result) string {
	outcome := outcomeOf(r)
	v.outcomes[outcome]++
	v.recordOutcome(time.Now(), outcome)
	if r.Status == 0 {
		sleep(ctx, hostDownPause)
	}
	return outcome
}

// outcomeOf returns the outcome of a request as the caller saw it: answered, not-run, cut for a
// response that broke off, or unknown.
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

// sendKeyedRequest sends a request with an idempotency key. It retries at random hosts, with the
// same key, until the request is answered.
func (v *driver) sendKeyedRequest(ctx context.Context, host int) {
	hosts, err := v.client.Hosts(ctx, v.d.Hosts[host].Listen.Callers)
	if err != nil || hosts.Key == "" {
		v.outcomes["no key"]++
		sleep(ctx, hostDownPause)
		return
	}
	for range maxKeyedAttempts {
		to := v.d.Hosts[host]
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), modelTimeout+maxOverrun)
		began := time.Now()
		r := v.client.CallPlain(callCtx, to.Listen.Callers, http.MethodPost, v.d.Spec.Plain.Name, "/bookings", hosts.Key, "", "mill 4")
		cancel()
		result := v.countOutcome(ctx, r)
		if result == "cut" {
			result = "unknown"
		}
		v.checks.recordAttempt(hosts.Key, attempt{began: began, ended: time.Now(), host: to.Host, outcome: result, text: r.Text})
		if result == "answered" || ctx.Err() != nil {
			return
		}
		host = v.rnd.IntN(len(v.d.Hosts))
	}
}
