package soak

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"vetchtrail/standin/client"
	"vetchtrail/standin/deployment"
	"vetchtrail/version/document"
)

const (
	// overloadFactor is the rate of an overload's requests over what the engines can process.
	overloadFactor = 3
	// overloadDuration is longer than hosts take to notice: load reports are some hundred
	// milliseconds old. overloadGap is the time until the next overload.
	overloadDuration = 4 * time.Second
	overloadGap      = 4 * time.Second
	// overloadTokens makes a response long enough that few requests fill the engines.
	overloadTokens = 100
	// overloadTimeout is short, so that most requests are refused and not queued for long.
	overloadTimeout = 2 * time.Second
	// maxOverloadRate bounds the requests a second, so that one machine can send them. Large
	// deployments are not overloaded then.
	maxOverloadRate = 300.0
	// fullBatchSlowdown is by how much a full batch lengthens an engine's steps.
	fullBatchSlowdown = 2
	// urgentInterval is the number of requests of which one is urgent: these alone are half of
	// what the engines can process, and leave room for the others.
	urgentInterval = 6
)

// Workspaces whose requests make up an overload. One is more urgent than the other.
const (
	urgentWorkspace   = "overload-urgent"
	ordinaryWorkspace = "overload-ordinary"
)

// overloadWorkspaces returns the workspaces of overloads, for the configuration.
func overloadWorkspaces(d *deployment.Deployment) []document.Workspace {
	var regions []string
	for _, r := range d.Spec.Regions {
		regions = append(regions, r.Name)
	}
	return []document.Workspace{{Name: urgentWorkspace, Allowed: regions, Priority: 1}, {Name: ordinaryWorkspace, Allowed: regions}}
}

// overloadRate returns the requests a second of an overload.
func overloadRate(d *deployment.Deployment) float64 {
	slots := 0
	for _, e := range d.Document.Endpoints {
		if e.Service == d.Spec.Model.Name {
			slots += e.Slots
		}
	}
	perSlot := 1 / (overloadTokens * fullBatchSlowdown * engineStep.Seconds())
	return min(overloadFactor*perSlot*float64(slots), maxOverloadRate)
}

// sendOverloads sends more than the engines can process, for overloadDuration at a time, until ctx
// ends.
func (c *caller) sendOverloads(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, overloadGap)
		c.sendOverload(ctx)
	}
}

// sendOverload sends one overload to random hosts, and checks that requests of each priority were
// answered. An overload that is cut short by the end of ctx is not checked.
func (c *caller) sendOverload(ctx context.Context) {
	interval := time.Duration(float64(time.Second) / overloadRate(c.d))
	var mu sync.Mutex
	outcomes := map[string]Tally{urgentWorkspace: {}, ordinaryWorkspace: {}}
	began := time.Now()
	var requests conc.WaitGroup
	for n := 0; ctx.Err() == nil && time.Since(began) < overloadDuration; n++ {
		workspace, host, prompt := ordinaryWorkspace, c.rnd.IntN(len(c.d.Hosts)), c.rnd.IntN(promptCount)
		if n%urgentInterval == 0 {
			workspace = urgentWorkspace
		}
		requests.Go(func() {
			outcome := c.sendOverloadRequest(context.WithoutCancel(ctx), host, workspace, prompt)
			mu.Lock()
			defer mu.Unlock()
			outcomes[workspace][outcome]++
		})
		sleep(ctx, interval)
	}
	requests.Wait()
	if ctx.Err() == nil {
		c.checks.checkPrioritiesServed(began, time.Now(), outcomes)
	}
}

// sendOverloadRequest sends a streamed request with an idempotency key, by which the check of keyed
// requests finds out whether a refused one ran. It returns the outcome.
func (c *caller) sendOverloadRequest(ctx context.Context, host int, workspace string, prompt int) string {
	ctx, cancel := context.WithTimeout(ctx, overloadTimeout+maxOverrun)
	defer cancel()
	h := c.d.Hosts[host]
	hosts, err := c.client.Hosts(ctx, h.Listen.Callers)
	if err != nil || hosts.Key == "" {
		return "no key"
	}
	req := client.Request{
		Host: h.Listen.Callers, Service: c.d.Spec.Model.Name, Workspace: workspace, Stream: true, Timeout: overloadTimeout, Key: hosts.Key,
		Prompt: fmt.Sprintf("a drawing with the number %d", prompt), Tokens: overloadTokens,
	}
	began := time.Now()
	r := c.client.Do(ctx, req)
	c.checks.checkModelResponse(req, h.Host, began, r)
	outcome := outcomeOf(r)
	recorded := outcome
	if outcome != "not-run" {
		recorded = "unknown" // an engine that was frozen and killed has lost its records, also of answered requests
	}
	c.checks.recordAttempt(hosts.Key, attempt{began: began, ended: time.Now(), host: h.Host, outcome: recorded, text: r.Text})
	return outcome
}

// checkPrioritiesServed checks that requests of each priority were answered in an overload. While
// half of the engines are affected by faults, the urgent requests alone may need all others.
func (c *checker) checkPrioritiesServed(from, until time.Time, outcomes map[string]Tally) {
	if 2*c.enginesAffected(from, until) >= len(c.modelEngines()) {
		c.note("overload not checked: half of the engines had faults")
		return
	}
	c.note("overload checked")
	for workspace, tally := range outcomes {
		for outcome, n := range tally {
			c.noteCount(workspace+" "+outcome, n)
		}
		if tally["answered"] == 0 {
			c.recordViolation("each priority is served under overload", "%s: %v", workspace, tally)
		}
	}
}

// enginesAffected returns the number of engines of the model service that had a fault in a span.
func (c *checker) enginesAffected(from, until time.Time) int {
	affected := 0
	for _, engine := range c.modelEngines() {
		if slices.ContainsFunc(c.faults, func(f Fault) bool {
			return f.Target == engine && c.startedAt.Add(f.Start).Before(until) && c.startedAt.Add(f.End()+settleTime).After(from)
		}) {
			affected++
		}
	}
	return affected
}
