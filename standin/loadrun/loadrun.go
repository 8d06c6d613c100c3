// Package loadrun sends the same recorded arrivals through a running deployment
// under each policy, in cases with faults, and measures what callers saw. It is
// bounded in time and ends by itself.
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

// Case is what happens during a run.
type Case string

// Cases.
const (
	Steady    Case = "steady"
	Slow      Case = "one engine five times slower"
	Lost      Case = "a region lost and back, cold"
	Gone      Case = "a region lost for good"
	Cut       Case = "links between regions cut"
	Triple    Case = "three times the load"
	NoReports Case = "reports stopped"
)

// Cases returns all cases.
func Cases() []Case { return []Case{Steady, Slow, Lost, Gone, Cut, Triple, NoReports} }

// Config is what a run needs.
type Config struct {
	Spec        deployment.Spec
	Policy      string
	SwitchedOff []vetchtrail.Mechanism // of the policy
	Name        string                 // of the run in the results
	Case        Case
	Rate        float64 // arrivals a second in all regions at the steady case
	Length      time.Duration
	Seed        uint64
	Prefixes    int // prompt beginnings in use, at least 2
	Deadline    time.Duration
	Log         *slog.Logger
}

const (
	// warmUp is the share of a run that is not measured.
	warmUp = 0.15
	// boundShare is the share of requests bound to their region.
	boundShare = 0.12
	prefixSkew = 1.1  // of their popularity
	prefixSize = 1200 // bytes
	restSize   = 400  // bytes of a prompt that no other has
	minTokens  = 16
	moreTokens = 32
	slowFactor = 5
	tripleLoad = 3
	mostOpen   = 4000 // requests on their way at once, a bound on memory
)

// regionShares are the shares of arrivals by region: peaks fall at different
// hours.
var regionShares = []float64{0.45, 0.35, 0.20}

// engineConfig is a continuous-batching engine, faster than a real one so that
// a run is short.
var engineConfig = engine.Config{
	Slots: 8, Queue: 8, Prefill: 300 * time.Microsecond, Step: 7500 * time.Microsecond, Drag: 1, Cache: 6000, Lag: 300 * time.Millisecond,
}

// arrival is one recorded request.
type arrival struct {
	at     time.Duration
	region int
	bound  bool
	prompt string
	tokens int
	host   int // chooses among the region's hosts
}

// Record returns the arrivals of a run. The same seed gives the same ones.
func record(c Config) []arrival {
	rnd := rand.New(rand.NewPCG(c.Seed, 1))
	zipf := rand.NewZipf(rnd, prefixSkew, 1, uint64(c.Prefixes-1))
	rate := c.Rate
	if c.Case == Triple {
		rate *= tripleLoad
	}
	var out []arrival
	for at := 0.0; at < c.Length.Seconds(); at += rnd.ExpFloat64() / rate {
		out = append(out, arrival{
			at: time.Duration(at * float64(time.Second)), region: pick(rnd.Float64()), bound: rnd.Float64() < boundShare,
			prompt: prompt(zipf.Uint64(), rnd), tokens: minTokens + rnd.IntN(moreTokens), host: rnd.IntN(1 << 20),
		})
	}
	return out
}

func pick(u float64) int {
	for i, share := range regionShares {
		if u < share {
			return i
		}
		u -= share
	}
	return len(regionShares) - 1
}

// prompt has a shared beginning and an end of its own.
func prompt(prefix uint64, rnd *rand.Rand) string {
	text := make([]byte, 0, prefixSize+restSize)
	common := rand.New(rand.NewPCG(prefix, 7))
	for range prefixSize {
		text = append(text, byte('a'+common.IntN(26)))
	}
	for range restSize {
		text = append(text, byte('a'+rnd.IntN(26)))
	}
	return string(text)
}

// Result is what a run showed.
type Result struct {
	Policy           string
	Case             Case
	Sent             int
	Answered         int // whole, right and in time
	Cut              int // begun, and broken off in a way that the caller saw
	Wrong            int // answered with something else, or cut and looking whole
	NotRun           int
	Unknown          int
	Away             int // answered in another region than the caller's
	Duplicates       int // executions beyond one a request
	Retries          int
	TimeToFirstToken *hdrhistogram.Histogram // microseconds to the first token
	Whole            *hdrhistogram.Histogram // microseconds to the whole answer
	Refused          *hdrhistogram.Histogram // microseconds to a refusal
	SlotTime         time.Duration           // engines' slot time
	Stall            time.Duration           // longest that the machine kept a ready thread waiting
	Cached           float64                 // share of prompt tokens found cached
}

// run is one under way.
type run struct {
	cfg  Config
	d    deployment.Deployment
	w    *world.World
	lost bool

	mu  sync.Mutex
	res Result
}

// Run makes one run.
func Run(ctx context.Context, c Config) (Result, error) {
	d := deployment.Build(c.Spec)
	w, err := world.Start(ctx, world.Config{Deployment: d, Engine: engineConfig, Policy: c.Policy, SwitchedOff: c.SwitchedOff, Log: c.Log})
	if err != nil {
		return Result{}, err
	}
	defer w.Close()
	r := &run{cfg: c, d: d, w: w, res: Result{
		Policy: c.Name, Case: c.Case, TimeToFirstToken: histogram(), Whole: histogram(), Refused: histogram(),
	}}
	if err := r.configure(ctx); err != nil {
		return Result{}, err
	}
	before := retries(c.Spec.Model.Name)
	r.send(ctx)
	r.sum()
	r.res.Retries = retries(c.Spec.Model.Name) - before
	return r.res, nil
}

// retries is how many retries the daemons of this process have made.
func retries(service string) int {
	return int(metrics.GetOrCreateCounter(dispatch.RetriesName(service, true)).Get())
}

func histogram() *hdrhistogram.Histogram {
	const longest, digits = int64(60 * time.Second / time.Microsecond), 3
	return hdrhistogram.New(1, longest, digits)
}

func (r *run) configure(ctx context.Context) error {
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
		return errors.Errorf("loadrun: configuration: %s", reply.GetText())
	}
	if err := r.w.Ready(reply.GetRevision()); err != nil {
		return err
	}
	return r.w.Settled()
}

// send sends the arrivals at their times and makes the case's faults.
func (r *run) send(ctx context.Context) {
	began := time.Now()
	var all sync.WaitGroup
	all.Go(func() { r.faults(began) })
	all.Go(func() { r.watchMachine(began) })
	open := make(chan struct{}, mostOpen)
	for _, a := range record(r.cfg) {
		time.Sleep(time.Until(began.Add(a.at)))
		open <- struct{}{}
		all.Go(func() {
			r.ask(ctx, a)
			<-open
		})
	}
	all.Wait()
}

// watchMachine notes by how much short sleeps are overslept: a run on a machine
// that stalled says little of the policy.
func (r *run) watchMachine(began time.Time) {
	const nap = 5 * time.Millisecond
	longest := time.Duration(0)
	for time.Since(began) < r.cfg.Length {
		before := time.Now()
		time.Sleep(nap)
		longest = max(longest, time.Since(before)-nap)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.res.Stall = longest
}

func (r *run) ask(ctx context.Context, a arrival) {
	from := r.d.Spec.Regions[a.region]
	ask := client.Ask{
		Host: r.entry(a), Service: r.d.Spec.Model.Name, Prompt: a.prompt, Tokens: a.tokens, Stream: true, Timeout: r.cfg.Deadline,
	}
	if a.bound {
		ask.Workspace = from.Name + "-bound"
	}
	res := r.w.Client.Do(ctx, ask)
	if a.at < time.Duration(warmUp*float64(r.cfg.Length)) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count(&ask, &res, from.Name)
}

// count takes what one caller saw. The caller holds the lock.
func (r *run) count(ask *client.Ask, res *client.Result, from string) {
	r.res.Sent++
	switch {
	case ask.Right(*res):
		r.res.Answered++
		_ = r.res.TimeToFirstToken.RecordValue(res.TimeToFirstToken.Microseconds())
		_ = r.res.Whole.RecordValue(res.Took.Microseconds())
		if r.regionOf(res.Where) != from {
			r.res.Away++
		}
	case res.Outcome == "not-run":
		r.res.NotRun++
		_ = r.res.Refused.RecordValue(res.Took.Microseconds())
	case res.Outcome == "unknown" || res.Status == 0:
		r.res.Unknown++
	case !res.Whole && res.Err != nil:
		r.res.Cut++
	default:
		r.res.Wrong++
	}
}

// entry is the host that a caller was told to use: of its region, or of the
// next while that is lost.
func (r *run) entry(a arrival) (addr addrPort) {
	r.mu.Lock()
	region := a.region
	if r.lost && region == lostRegion {
		region = (region + 1) % len(r.d.Spec.Regions)
	}
	r.mu.Unlock()
	var hosts []addrPort
	for _, s := range r.d.Hosts {
		if s.Region == r.d.Spec.Regions[region].Name {
			hosts = append(hosts, s.Listen.Callers)
		}
	}
	return hosts[a.host%len(hosts)]
}

func (r *run) regionOf(name string) string {
	for _, e := range r.d.Document.Endpoints {
		if e.Name == name {
			return e.Region
		}
	}
	return ""
}

// sum adds what the engines counted.
func (r *run) sum() {
	runs := map[string]int{}
	var prompt, cached int
	for _, e := range r.w.Engines {
		s := e.Stats()
		r.res.SlotTime += s.SlotTime
		prompt += s.Prompt
		cached += s.Cached
		for _, x := range e.Executions() {
			runs[x.Request]++
		}
	}
	for _, n := range runs {
		r.res.Duplicates += n - 1
	}
	if prompt > 0 {
		r.res.Cached = float64(cached) / float64(prompt)
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
			r.Case, r.Policy, r.Sent, r.Answered, ms(r.TimeToFirstToken, 50), ms(r.TimeToFirstToken, 95), ms(r.TimeToFirstToken, 99), ms(r.Whole, 99),
			100*float64(r.Away)/float64(answered), r.NotRun, ms(r.Refused, 99), r.Unknown, r.Cut, r.Wrong, r.Retries, r.Duplicates,
			r.SlotTime.Seconds()/float64(answered), 100*r.Cached, r.Stall.Milliseconds())
	}
}

func ms(h *hdrhistogram.Histogram, q float64) string {
	return fmt.Sprintf("%.0f", float64(h.ValueAtQuantile(q))/1e3)
}
