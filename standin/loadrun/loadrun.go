// Package loadrun compares request policies. A run sends requests to a deployment under
// one policy, injects the faults of a case and measures the responses from the callers'
// side; the same seed gives the same requests under each policy. Daemons, engines and
// callers share one process and machine, so the figures compare policies with each other,
// but do not predict those of real hosts. A run ends when the last of its requests has
// ended.
package loadrun

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"vetchtrail"
	"vetchtrail/connection/operator"
	"vetchtrail/request/dispatch"
	"vetchtrail/schema"
	"vetchtrail/standin/client"
	"vetchtrail/standin/deployment"
	"vetchtrail/standin/engine"
	"vetchtrail/standin/world"
	"vetchtrail/version/rules"
)

// Case is the fault or load that a run tests. Its text names it in the results and on the
// command line.
type Case string

// Cases of a run.
const (
	Steady                Case = "steady"
	OneEngineSlow         Case = "one engine five times slower"
	RegionLostTemporarily Case = "a region lost and back, cold" // its engines recover with empty caches
	RegionLostPermanently Case = "a region lost for good"
	LinksCut              Case = "links between regions cut"
	TripleLoad            Case = "three times the load"
	NoReports             Case = "reports stopped" // the engines return no load reports
)

// Cases returns all cases.
func Cases() []Case {
	return []Case{Steady, OneEngineSlow, RegionLostTemporarily, RegionLostPermanently, LinksCut, TripleLoad, NoReports}
}

// Config is what a run needs.
type Config struct {
	Spec        deployment.Spec
	Policy      string
	SwitchedOff []vetchtrail.Mechanism // of the policy
	Name        string                 // of the policy in the results
	Case        Case
	Rate        float64       // arrivals a second in all regions; TripleLoad has three times as many
	Length      time.Duration // time in which requests are sent
	Seed        uint64        // of the arrivals
	Prefixes    int           // number of shared prompt prefixes, at least 2
	Deadline    time.Duration // of each request
	Log         *slog.Logger  // for the daemons
}

const (
	warmUpShare         = 0.15 // beginning of a run, as a share of its length, that is not measured
	boundShare          = 0.12 // share of the requests of workspaces that are bound to a region
	prefixSkew          = 1.1  // exponent of the Zipf distribution of the prefixes
	prefixBytes         = 1200
	uniqueBytes         = 400 // of a prompt, after the shared prefix
	minResponseTokens   = 16
	extraResponseTokens = 32 // a response has fewer than this above the minimum
	slowFactor          = 5
	tripleLoadFactor    = 3
	maxInFlight         = 4000 // requests at the same time, which bounds the memory; further arrivals wait
)

// regionShares are the shares of the arrivals by region. They differ because real regions
// have their peaks at different hours.
var regionShares = []float64{0.45, 0.35, 0.20}

// engineConfig is the configuration of all engines. They are faster than real ones,
// so that a run is short.
var engineConfig = engine.Config{
	Slots: 8, Queue: 8, Prefill: 300 * time.Microsecond, Step: 7500 * time.Microsecond, Drag: 1, Cache: 6000, Lag: 300 * time.Millisecond,
}

// arrival is one request, as generated before the run.
type arrival struct {
	at         time.Duration // after the start of the run
	region     int           // index of the caller's region
	bound      bool          // its workspace is bound to the region
	prompt     string
	tokens     int // of the response
	hostChoice int // selects one of the region's hosts: taken modulo their number
}

// generateArrivals returns the arrivals of a run, with exponentially distributed
// intervals. The same seed gives the same arrivals.
func generateArrivals(c Config) []arrival {
	rnd := rand.New(rand.NewPCG(c.Seed, 1))
	zipf := rand.NewZipf(rnd, prefixSkew, 1, uint64(c.Prefixes-1))
	rate := c.Rate
	if c.Case == TripleLoad {
		rate *= tripleLoadFactor
	}
	var out []arrival
	for at := 0.0; at < c.Length.Seconds(); at += rnd.ExpFloat64() / rate {
		out = append(out, arrival{
			at: time.Duration(at * float64(time.Second)), region: pickRegion(rnd.Float64()), bound: rnd.Float64() < boundShare,
			prompt: prompt(zipf.Uint64(), rnd), tokens: minResponseTokens + rnd.IntN(extraResponseTokens), hostChoice: rnd.IntN(1 << 20),
		})
	}
	return out
}

// pickRegion maps a number from 0 to 1 to a region by the regions' shares.
func pickRegion(u float64) int {
	for i, share := range regionShares {
		if u < share {
			return i
		}
		u -= share
	}
	return len(regionShares) - 1
}

// prompt returns a prompt that consists of a shared prefix, given by its number, and a
// unique rest.
func prompt(prefix uint64, rnd *rand.Rand) string {
	text := make([]byte, 0, prefixBytes+uniqueBytes)
	shared := rand.New(rand.NewPCG(prefix, 7))
	for range prefixBytes {
		text = append(text, byte('a'+shared.IntN(26)))
	}
	for range uniqueBytes {
		text = append(text, byte('a'+rnd.IntN(26)))
	}
	return string(text)
}

// Result holds the measurements of a run. They exclude the warm-up, except for Duplicates,
// Retries, SlotTime, Stall and CachedShare.
type Result struct {
	Policy           string // Config.Name
	Case             Case
	Sent             int
	Answered         int                     // complete and correct
	Truncated        int                     // broken off with an error that the caller could detect
	Wrong            int                     // wrong responses, and truncated ones that look complete
	NotRun           int                     // refused: the host reported that the request was not executed
	Unknown          int                     // no response, or the host reported that the request may have been executed
	OtherRegion      int                     // answered in another region than the caller's
	Duplicates       int                     // executions in excess of one for each request
	Retries          int                     // by the daemons
	TimeToFirstToken *hdrhistogram.Histogram // microseconds
	TimeToResponse   *hdrhistogram.Histogram // microseconds to the end of the response
	TimeToRefusal    *hdrhistogram.Histogram // microseconds
	SlotTime         time.Duration           // of all engines together
	Stall            time.Duration           // longest delay with which a busy machine woke a sleeping goroutine
	CachedShare      float64                 // share of the prompt tokens found in the engines' prefix caches
}

// run is a run in progress.
type run struct {
	cfg        Config
	d          deployment.Deployment
	w          *world.World
	regionLost bool // whether callers of the region lostRegionIndex use another region's hosts

	mu  sync.Mutex
	res Result
}

// Run starts a deployment, applies its configuration, and sends the requests and injects
// the faults of one run.
func Run(ctx context.Context, c Config) (Result, error) {
	d := deployment.Build(c.Spec)
	w, err := world.Start(ctx, world.Config{Deployment: d, Engine: engineConfig, Policy: c.Policy, SwitchedOff: c.SwitchedOff, Log: c.Log})
	if err != nil {
		return Result{}, err
	}
	defer w.Close()
	r := &run{cfg: c, d: d, w: w, res: Result{
		Policy: c.Name, Case: c.Case, TimeToFirstToken: newHistogram(), TimeToResponse: newHistogram(), TimeToRefusal: newHistogram(),
	}}
	if err := r.applyConfiguration(ctx); err != nil {
		return Result{}, err
	}
	before := retriesMade(c.Spec.Model.Name)
	r.sendArrivals(ctx)
	r.addEngineTotals()
	r.res.Retries = retriesMade(c.Spec.Model.Name) - before
	return r.res, nil
}

// retriesMade returns how many retries the daemons of this process have made for a
// service.
func retriesMade(service string) int {
	return int(metrics.GetOrCreateCounter(dispatch.RetriesMetric(service, true)).Get())
}

// newHistogram returns an empty histogram for times of up to a minute, in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	const longest, digits = int64(60 * time.Second / time.Microsecond), 3
	return hdrhistogram.New(1, longest, digits)
}

// applyConfiguration proposes the deployment's configuration and waits until all hosts
// have it and reach each other's data centres.
func (r *run) applyConfiguration(ctx context.Context) error {
	op, err := operator.Dial(ctx, operator.Config{Addr: r.d.Hosts[0].Listen.Peers})
	if err != nil {
		return err
	}
	defer func() { _ = op.Close() }()
	wanted, err := r.d.Document.Rules()
	if err != nil {
		return err
	}
	change := operator.NewChange("load", "run", 0, rules.Empty().Difference(wanted))
	reply, err := op.Propose(ctx, &schema.ProposeRequest{Change: schema.FromChange(change)})
	if err != nil {
		return err
	}
	if reply.GetResult() != schema.ProposeReply_ACCEPTED {
		return errors.Errorf("loadrun: configuration not accepted: %s", reply.GetText())
	}
	if err := r.w.AwaitReady(reply.GetRevision()); err != nil {
		return err
	}
	return r.w.AwaitReachable()
}

// sendArrivals sends each arrival at its time, injects the case's faults meanwhile
// and waits for all responses.
func (r *run) sendArrivals(ctx context.Context) {
	began := time.Now()
	var running sync.WaitGroup
	running.Go(func() { r.injectFaults(began) })
	running.Go(func() { r.measureStall(began) })
	inFlight := make(chan struct{}, maxInFlight)
	for _, a := range generateArrivals(r.cfg) {
		time.Sleep(time.Until(began.Add(a.at)))
		inFlight <- struct{}{}
		running.Go(func() {
			r.sendArrival(ctx, a)
			<-inFlight
		})
	}
	running.Wait()
}

// measureStall measures the longest delay with which a short sleep ended. After a long
// stall of the machine, the results of the run show little about the policy.
func (r *run) measureStall(began time.Time) {
	const sleepTime = 5 * time.Millisecond
	longest := time.Duration(0)
	for time.Since(began) < r.cfg.Length {
		before := time.Now()
		time.Sleep(sleepTime)
		longest = max(longest, time.Since(before)-sleepTime)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.res.Stall = longest
}

// sendArrival sends one arrival's request, and counts its result unless it arrived
// during the warm-up.
func (r *run) sendArrival(ctx context.Context, a arrival) {
	from := r.d.Spec.Regions[a.region]
	request := client.Request{
		Host: r.entryHost(a), Service: r.d.Spec.Model.Name, Prompt: a.prompt, Tokens: a.tokens, Stream: true, Timeout: r.cfg.Deadline,
	}
	if a.bound {
		request.Workspace = from.Name + "-bound"
	}
	res := r.w.Client.Do(ctx, request)
	if a.at < time.Duration(warmUpShare*float64(r.cfg.Length)) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count(&request, &res, from.Name)
}

// count adds the result of one request to the run's. The caller holds the lock.
func (r *run) count(request *client.Request, res *client.Result, from string) {
	r.res.Sent++
	switch {
	case request.IsCorrect(*res):
		r.res.Answered++
		_ = r.res.TimeToFirstToken.RecordValue(res.TimeToFirstToken.Microseconds())
		_ = r.res.TimeToResponse.RecordValue(res.Took.Microseconds())
		if r.regionOf(res.Endpoint) != from {
			r.res.OtherRegion++
		}
	case res.Outcome == "not-run":
		r.res.NotRun++
		_ = r.res.TimeToRefusal.RecordValue(res.Took.Microseconds())
	case res.Outcome == "unknown" || res.Status == 0:
		r.res.Unknown++
	case !res.Complete && res.Err != nil:
		r.res.Truncated++
	default:
		r.res.Wrong++
	}
}

// entryHost returns the address of the host that the caller uses: one of its region, or
// of the next region while its own is lost.
func (r *run) entryHost(a arrival) (addr hostAddr) {
	r.mu.Lock()
	region := a.region
	if r.regionLost && region == lostRegionIndex {
		region = (region + 1) % len(r.d.Spec.Regions)
	}
	r.mu.Unlock()
	var hosts []hostAddr
	for _, s := range r.d.Hosts {
		if s.Region == r.d.Spec.Regions[region].Name {
			hosts = append(hosts, s.Listen.Callers)
		}
	}
	return hosts[a.hostChoice%len(hosts)]
}

// regionOf returns the region of an endpoint, or an empty string if it is unknown.
func (r *run) regionOf(name string) string {
	for _, e := range r.d.Document.Endpoints {
		if e.Name == name {
			return e.Region
		}
	}
	return ""
}

// addEngineTotals adds the engines' totals and the duplicate executions to the result.
func (r *run) addEngineTotals() {
	executions := map[string]int{}
	var prompt, cached int
	for _, e := range r.w.Engines {
		s := e.Stats()
		r.res.SlotTime += s.SlotTime
		prompt += s.Prompt
		cached += s.Cached
		for _, x := range e.Executions() {
			executions[x.Request]++
		}
	}
	for _, n := range executions {
		r.res.Duplicates += n - 1
	}
	if prompt > 0 {
		r.res.CachedShare = float64(cached) / float64(prompt)
	}
}

// Table writes results as a Markdown table.
func Table(w io.Writer, results []Result) {
	_, _ = fmt.Fprintln(w, "| case | policy | sent | answered | p50 | p95 | p99 first token (ms) | p99 whole (ms) | away | not run | p99 refusal (ms) | unknown | cut | wrong | retries | duplicates | engine-s an answer | cached | longest stall (ms) |")
	_, _ = fmt.Fprintln(w, "| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
	for i := range results {
		r := &results[i]
		answered := max(r.Answered, 1)
		_, _ = fmt.Fprintf(w, "| %s | %s | %d | %d | %s | %s | %s | %s | %.1f%% | %d | %s | %d | %d | %d | %d | %d | %.3f | %.0f%% | %d |\n",
			r.Case, r.Policy, r.Sent, r.Answered, quantileMillis(r.TimeToFirstToken, 50), quantileMillis(r.TimeToFirstToken, 95), quantileMillis(r.TimeToFirstToken, 99), quantileMillis(r.TimeToResponse, 99),
			100*float64(r.OtherRegion)/float64(answered), r.NotRun, quantileMillis(r.TimeToRefusal, 99), r.Unknown, r.Truncated, r.Wrong, r.Retries, r.Duplicates,
			r.SlotTime.Seconds()/float64(answered), 100*r.CachedShare, r.Stall.Milliseconds())
	}
}

// quantileMillis formats a percentile of a histogram of microseconds in milliseconds.
func quantileMillis(h *hdrhistogram.Histogram, q float64) string {
	return fmt.Sprintf("%.0f", float64(h.ValueAtQuantile(q))/1e3)
}
