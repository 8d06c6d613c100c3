package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"vetchtrail/connection/operator"
	"vetchtrail/schema"
	"vetchtrail/standin/client"
	"vetchtrail/standin/deployment"
	"vetchtrail/standin/fleet"
	"vetchtrail/standin/ledger"
)

// Violation describes one broken promise.
type Violation struct {
	At      time.Duration // into the run
	Promise string
	Detail  string
}

// attempt is one attempt at a keyed request.
type attempt struct {
	began, ended time.Time
	host         string
	outcome      string // answered, not-run or unknown
	text         string
}

// process describes a host's current process.
type process struct {
	number   int    // number of the host's processes that have ended; it identifies the process that sent a report
	revision uint64 // newest configuration revision that the process reported
}

// checker collects the results of callers and the records of endpoints and hosts, and checks the
// promises against them. It is safe for concurrent use.
type checker struct {
	fleet     *fleet.Fleet
	d         *deployment.Deployment
	startedAt time.Time
	faults    []Fault // the schedule of the run

	mu                sync.Mutex
	violations        []Violation
	notes             map[string]int                // observations that break no promise, counted
	keys              map[string][]attempt          // by idempotency key
	earlierExecutions map[string][]ledger.Execution // by endpoint, of its killed processes
	earlierCrashes    map[string][]time.Time        // the same of its crashes by the poison request
	processes         map[string]process            // by host
	rateLimits        []advertisement               // rate limits that engines advertised
	drains            []drain                       // that have ended
	poisonArrivals    int                           // of the poison request at engines, as far as their records were read
}

// newChecker returns a checker of a run that starts now.
func newChecker(f *fleet.Fleet, d *deployment.Deployment, faults []Fault) *checker {
	return &checker{
		fleet: f, d: d, startedAt: time.Now(), faults: faults, notes: map[string]int{}, keys: map[string][]attempt{},
		earlierExecutions: map[string][]ledger.Execution{}, earlierCrashes: map[string][]time.Time{}, processes: map[string]process{},
	}
}

// recordViolation records a broken promise with its details.
func (c *checker) recordViolation(promise, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, Violation{At: time.Since(c.startedAt), Promise: promise, Detail: fmt.Sprintf(format, args...)})
}

// note counts an observation that breaks no promise.
func (c *checker) note(what string) { c.noteCount(what, 1) }

// noteCount counts n observations that break no promise.
func (c *checker) noteCount(what string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notes[what] += n
}

// processEnded records that a host's process has ended. The next process may start with an older
// revision.
func (c *checker) processEnded(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes[host] = process{number: c.processes[host].number + 1}
}

// keepExecutions stores the executions and the crashes that an endpoint recorded. It is called before the
// endpoint's process is killed, as the next process starts with an empty record.
func (c *checker) keepExecutions(ctx context.Context, endpoint string) error {
	list, err := c.executions(ctx, endpoint)
	if err != nil {
		c.note("executions not read before a kill") // frozen, or not up yet
		return nil
	}
	history, _ := c.crashHistory(ctx, endpoint)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.earlierExecutions[endpoint] = append(c.earlierExecutions[endpoint], list...)
	c.earlierCrashes[endpoint] = append(c.earlierCrashes[endpoint], history.Crashes...)
	return nil
}

// queryTimeout bounds a call by which the checker reads from a host or endpoint, or sets what an
// endpoint announces.
const queryTimeout = 2 * time.Second

// executions returns the requests that an endpoint's process has started.
func (c *checker) executions(ctx context.Context, endpoint string) ([]ledger.Execution, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	addr, err := c.fleet.EndpointAddr(endpoint)
	if err != nil {
		return nil, err
	}
	var list []ledger.Execution
	return list, c.fleet.Client.Get(ctx, addr, "/executions", &list)
}

// executionCount returns how many requests an endpoint's process has started.
func (c *checker) executionCount(ctx context.Context, endpoint string) (int, error) {
	list, err := c.executions(ctx, endpoint)
	return len(list), err
}

// noPropagationFault reports whether the span is free of faults that may delay the propagation of
// a configuration change, such as the drain of an endpoint, to the hosts. These are the faults of
// the store, of hosts, and of links except for resets.
func (c *checker) noPropagationFault(from, until time.Time) bool {
	for _, f := range c.faults {
		switch f.Kind {
		case EngineRefuses, EngineCutsStreams, EngineEndsEarly, EngineNonsense, EngineKill, EngineFreeze, PlainLosesResponses, EndpointDrain, LinkReset:
			continue
		}
		if c.startedAt.Add(f.Start).Before(until) && c.startedAt.Add(f.End()+settleTime).After(from) {
			return false
		}
	}
	return true
}

// hostAffected reports whether a fault of a host was active in a span. Faults of the links of the
// host's region, and stops of all hosts of the region, count too.
func (c *checker) hostAffected(host string, from, until time.Time) bool {
	region := ""
	for _, h := range c.d.Hosts {
		if h.Host == host {
			region = h.Region
		}
	}
	for _, f := range c.faults {
		affects := f.Target == host || f.Target == region || f.To == region
		if affects && c.startedAt.Add(f.Start).Before(until) && c.startedAt.Add(f.End()+settleTime).After(from) {
			return true
		}
	}
	return false
}

// checkModelResponse checks the content, the order and the duration of a response to a model
// request.
func (c *checker) checkModelResponse(req client.Request, host string, began time.Time, r client.Result) {
	want := req.ExpectedText()
	switch {
	case r.Complete && r.Status == 200 && r.Text != want:
		c.recordViolation("a complete response has the right content", "%s: got %q, want %q", host, r.Text, want)
	case r.Status == 200 && !r.Complete && r.Err == nil:
		c.recordViolation("a response that ends early does not look complete", "%s: ended without an error after %q", host, r.Text)
	case len(r.Text) > len(want) || r.Text != want[:len(r.Text)]:
		c.recordViolation("a stream arrives in order", "%s: %q is not a prefix of %q", host, r.Text, want)
	case r.Took > req.Timeout+maxOverrun && !c.hostAffected(host, began, time.Now()) && !c.heldUp(r, host, began, time.Now()):
		c.recordViolation("a request ends by its deadline", "%s: took %s with a timeout of %s, status %d of %q, outcome %q, error %v", host, r.Took, req.Timeout, r.Status, r.Endpoint, r.Outcome, r.Err)
	}
}

// heldUp reports whether a response that had begun was held up by a freeze in a span: of its endpoint or, if the request
// was forwarded to the endpoint's data centre, of a host there. Nothing starts after the deadline of a request, but a
// response that has begun goes on.
func (c *checker) heldUp(r client.Result, host string, from, until time.Time) bool {
	centre := c.endpointDataCentre(r.Endpoint)
	forwarded := c.hostDataCentre(host) != centre
	return r.Status == http.StatusOK && slices.ContainsFunc(c.faults, func(f Fault) bool {
		passes := f.Kind == EngineFreeze && f.Target == r.Endpoint || f.Kind == HostFreeze && forwarded && c.hostDataCentre(f.Target) == centre
		return passes && c.startedAt.Add(f.Start).Before(until) && c.startedAt.Add(f.End()).After(from)
	})
}

// hostDataCentre returns the data centre of a host.
func (c *checker) hostDataCentre(name string) string {
	for _, h := range c.d.Hosts {
		if h.Host == name {
			return h.DataCentre
		}
	}
	return ""
}

// endpointDataCentre returns the data centre of an endpoint.
func (c *checker) endpointDataCentre(name string) string {
	for _, e := range c.d.Document.Endpoints {
		if e.Name == name {
			return e.DataCentre
		}
	}
	return ""
}

// maxOverrun is how long after its timeout a request may end on a busy machine.
const maxOverrun = 4 * time.Second

// recordAttempt records an attempt at a keyed request.
func (c *checker) recordAttempt(key string, a attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys[key] = append(c.keys[key], a)
}

// watchRevisions checks the revisions of all hosts every second until ctx ends.
func (c *checker) watchRevisions(ctx context.Context) {
	for ctx.Err() == nil {
		for _, h := range c.d.Hosts {
			c.checkRevision(ctx, h.Host)
		}
		sleep(ctx, time.Second)
	}
}

// checkRevision reads a host's revision and checks that it isn't older than the one that the same
// process reported before.
func (c *checker) checkRevision(ctx context.Context, host string) {
	s, err := c.fleet.Settings(host)
	if err != nil {
		return
	}
	c.mu.Lock()
	before := c.processes[host]
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	op, err := operator.Dial(ctx, operator.Config{Addr: s.Listen.Peers})
	if err != nil {
		return // the host is down or frozen
	}
	defer func() { _ = op.Close() }()
	reply, err := op.Status(ctx, &schema.StatusRequest{})
	if err != nil {
		return
	}
	c.recordRevision(host, before, reply.GetRevision())
}

// recordRevision records a revision that a host reported in reply to a call, and checks that it is
// not older than the revision in before. before is the state of the host's process when the call
// began. If the process has ended since then, the revision is ignored, as it may be that of the old
// or of the new process.
func (c *checker) recordRevision(host string, before process, revision uint64) {
	c.mu.Lock()
	current := c.processes[host]
	if current.number == before.number {
		c.processes[host] = process{number: current.number, revision: max(current.revision, revision)}
	}
	c.mu.Unlock()
	if current.number == before.number && revision < before.revision {
		c.recordViolation("a configuration is never replaced by an older one", "%s: %d after %d", host, revision, before.revision)
	}
}

// checkExecutions checks how many times each request ran, and where. It is called at the end of
// the run, when the endpoints' records are complete.
func (c *checker) checkExecutions(ctx context.Context) error {
	all, err := c.fleet.Executions(ctx)
	if err != nil {
		return err
	}
	c.mu.Lock()
	for name, list := range c.earlierExecutions {
		all[name] = append(all[name], list...)
	}
	c.mu.Unlock()
	keys, requests := map[string]int{}, map[string]int{}
	for name, list := range all {
		history, _ := c.crashHistory(ctx, name)
		ends := slices.Concat(c.endsByFaults(name), c.earlierCrashes[name], history.Crashes)
		for _, e := range list {
			keys[e.Key]++
			c.checkRegion(name, e)
			if !endedWhileRunning(e.At, ends) {
				requests[e.Request]++
			}
		}
	}
	for id, n := range requests {
		c.checkExecutionCount(id, n)
	}
	for key, list := range c.keys {
		c.checkKeyedRequest(key, list, keys[key])
	}
	return nil
}

// maxExecutions is how many times endpoints may start one request, retries included. Endpoints that ended
// while they ran it don't count. A request with an idempotency key may run only once, which checkKeyedRequest
// checks.
const maxExecutions = 2

// checkExecutionCount checks how many times endpoints that did not end meanwhile started a request.
func (c *checker) checkExecutionCount(request string, n int) {
	if request != "" && n > maxExecutions {
		c.recordViolation("a request is not forwarded in a loop", "%s was started %d times", request, n)
	}
}

// endedWhileRunning reports whether an endpoint ended while a request that it started at a time may have run there.
func endedWhileRunning(startedAt time.Time, ends []time.Time) bool {
	return slices.ContainsFunc(ends, func(end time.Time) bool { return !end.Before(startedAt) && end.Before(startedAt.Add(modelTimeout)) })
}

// endsByFaults returns when the schedule ended an endpoint's process or made it refuse connections.
func (c *checker) endsByFaults(endpoint string) []time.Time {
	var out []time.Time
	for _, f := range c.faults {
		if f.Target == endpoint && (f.Kind == EngineKill || f.Kind == EngineRefuses) {
			out = append(out, c.startedAt.Add(f.Start))
		}
	}
	return out
}

// checkRegion checks that a request of a workspace ran in one of the regions that it is bound to.
func (c *checker) checkRegion(endpoint string, e ledger.Execution) {
	for _, w := range c.d.Document.Workspaces {
		if w.Name != e.Workspace {
			continue
		}
		for _, x := range c.d.Document.Endpoints {
			if x.Name == endpoint && !slices.Contains(w.Allowed, x.Region) {
				c.recordViolation("a workspace's requests run in its region", "%s ran at %s", w.Name, endpoint)
			}
		}
	}
}

// checkKeyedRequest checks the attempts with one idempotency key against the number of times that
// the request ran. Only the last attempt is checked for a false "not run": if an earlier attempt
// was reported as not run, a later one may have run the request.
func (c *checker) checkKeyedRequest(key string, list []attempt, runs int) {
	previousText := ""
	for _, a := range list {
		switch a.outcome {
		case "answered":
			if runs == 0 {
				c.recordViolation("an answered request ran", "key %s, at %s", key, a.host)
			}
			if previousText != "" && a.text != previousText {
				c.recordViolation("retries get the first response", "key %s: %q after %q", key, a.text, previousText)
			}
			previousText = a.text
		case "not-run":
			if runs > 0 && a.began.Equal(list[len(list)-1].began) {
				c.recordViolation("a request reported as not run did not run", "key %s, at %s: ran %d times", key, a.host, runs)
			}
		}
	}
	if runs > 1 {
		c.recordViolation("a keyed request runs at most once", "key %s ran %d times", key, runs)
	}
}
