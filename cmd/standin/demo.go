package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
	"vetchtrail/connection/operator"
	"vetchtrail/schema"
	"vetchtrail/standin/client"
	"vetchtrail/standin/deployment"
	"vetchtrail/standin/engine"
	"vetchtrail/standin/world"
	"vetchtrail/version/rules"
)

// demoCommand runs Wycena WO's deployment of today in one process. It ends by
// itself, with an error if any answer was wrong.
type demoCommand struct {
	Verbose bool `help:"Show the hosts' log lines too."`
}

const (
	demoSlot   = 3
	demoTime   = 28 * time.Second
	demoTokens = 12
	awayTime   = 10 * time.Second // for a region's loss or return to be seen
)

// demo is one run.
type demo struct {
	w     *world.World
	d     deployment.Deployment
	steps []stepResult
}

// stepResult is what became of the requests of one step.
type stepResult struct {
	name                       string
	asked, wrong, away, denied int
}

// now is the step under way.
func (m *demo) now() *stepResult { return &m.steps[len(m.steps)-1] }

// total sums up the steps.
func (m *demo) total() stepResult {
	all := stepResult{name: "all"}
	for _, s := range m.steps {
		all.asked += s.asked
		all.wrong += s.wrong
		all.away += s.away
		all.denied += s.denied
	}
	return all
}

// table prints the steps.
func (m *demo) table(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "\nSTEP\tREQUESTS\tRIGHT\tIN ANOTHER REGION\tREFUSED AS THEY HAD TO BE")
	for _, s := range append(slices.Clone(m.steps), m.total()) {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", s.name, s.asked, s.asked-s.wrong, s.away, s.denied)
	}
	return w.Flush()
}

// Run implements the subcommand.
func (c *demoCommand) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTime)
	defer cancel()
	d := deployment.Build(deployment.Wycena(demoSlot))
	fmt.Printf("A deployment of %d entry hosts and %d endpoints in %d regions, on loopback addresses.\n",
		len(d.Hosts), len(d.Document.Endpoints), len(d.Spec.Regions))
	w, err := world.Start(ctx, world.Config{
		Deployment: d, Log: c.logger(os.Stdout),
		Engine: engine.Config{
			Slots: 8, Queue: 8, Prefill: 100 * time.Microsecond, Step: 5 * time.Millisecond, Drag: 1,
			Cache: 4096, Lag: 100 * time.Millisecond,
		},
	})
	if err != nil {
		return err
	}
	defer w.Close()
	m := &demo{w: w, d: d}
	if err := m.run(ctx); err != nil {
		return err
	}
	if err := m.table(os.Stdout); err != nil {
		return err
	}
	all := m.total()
	fmt.Printf("\n%d requests: %d right, %d wrong; %d ran in another region, %d were refused as they had to be.\n",
		all.asked, all.asked-all.wrong, all.wrong, all.away, all.denied)
	if all.wrong > 0 {
		return errors.Errorf("demo: %d answers were wrong", all.wrong)
	}
	return ctx.Err()
}

// logger shows the hosts' lines if they are asked for.
func (c *demoCommand) logger(out io.Writer) *slog.Logger {
	if !c.Verbose {
		return slog.New(slog.DiscardHandler)
	}
	return slog.New(slog.NewTextHandler(out, nil))
}

func (m *demo) run(ctx context.Context) error {
	m.step("configuration", "The operators apply a configuration by one typed call.")
	revision, err := m.configure(ctx)
	if err != nil {
		return err
	}
	if err := m.w.Ready(revision); err != nil {
		return err
	}
	if err := m.w.Settled(); err != nil {
		return err
	}
	fmt.Printf("   revision %d is in force on all %d hosts\n", revision, len(m.d.Hosts))

	m.step("calm", "Each region streams model answers and serves its portal.")
	m.askAll(ctx, nil)

	lost := m.d.Spec.Regions[1]
	m.step("a region lost", "Region "+lost.Name+" loses its engines. Its callers are served elsewhere; the bound ones are refused.")
	m.engines(lost, engine.Faults{Refuse: true})
	m.askAll(ctx, map[string]bool{lost.Name: true})

	m.step("back again", "The engines of "+lost.Name+" come back.")
	m.engines(lost, engine.Faults{})
	if err := m.until(ctx, lost); err != nil {
		return err
	}
	m.askAll(ctx, nil)

	if err := m.keys(ctx); err != nil {
		return err
	}
	return ctx.Err()
}

func (m *demo) step(name, text string) {
	fmt.Printf("\n== %s\n", text)
	m.steps = append(m.steps, stepResult{name: name})
}

func (m *demo) configure(ctx context.Context) (uint64, error) {
	wanted, err := m.d.Document.Rules()
	if err != nil {
		return 0, err
	}
	return m.propose(ctx, "first configuration", rules.Empty().Difference(wanted))
}

// propose makes one change of the configuration.
func (m *demo) propose(ctx context.Context, reason string, edits []vetchtrail.Edit) (uint64, error) {
	op, err := operator.Dial(ctx, operator.Config{Addr: m.d.Hosts[0].Listen.Peers})
	if err != nil {
		return 0, err
	}
	defer func() { _ = op.Close() }()
	reply, err := op.Propose(ctx, &schema.ProposeRequest{Change: schema.FromChange(operator.NewChange("demo", reason, 0, edits))})
	if err != nil {
		return 0, err
	}
	if reply.GetResult() != schema.ProposeReply_ACCEPTED {
		return 0, errors.Errorf("demo: the change was not accepted: %s: %s", reply.GetResult(), reply.GetText())
	}
	return reply.GetRevision(), nil
}

func (m *demo) engines(r deployment.RegionSpec, f engine.Faults) {
	for _, e := range m.d.Document.Endpoints {
		if s, ok := m.w.Engines[e.Name]; ok && e.Region == r.Name {
			s.SetFaults(f)
		}
	}
}

// askAll sends requests of each kind from each region.
func (m *demo) askAll(ctx context.Context, lost map[string]bool) {
	for i, r := range m.d.Spec.Regions {
		entry := m.entry(r)
		m.ask(ctx, r, entry, fmt.Sprintf("%s drawing %d: tolerance notes", r.Name, i), "", true)
		m.ask(ctx, r, entry, fmt.Sprintf("%s: is steel 1.4301 weldable?", r.Name), "", false)
		m.bound(ctx, r, entry, lost[r.Name])
		m.book(ctx, r, entry)
	}
}

func (m *demo) entry(r deployment.RegionSpec) netip.AddrPort {
	for _, s := range m.d.Hosts {
		if s.Region == r.Name {
			return s.Listen.Callers
		}
	}
	return netip.AddrPort{}
}

func (m *demo) ask(ctx context.Context, r deployment.RegionSpec, entry netip.AddrPort, prompt, workspace string, stream bool) {
	a := client.Ask{
		Host: entry, Service: m.d.Spec.Model.Name, Workspace: workspace, Prompt: prompt, Tokens: demoTokens, Stream: stream,
	}
	res := m.w.Client.Do(ctx, a)
	m.now().asked++
	if !a.Right(res) {
		m.fail(r, res)
		return
	}
	if region := m.regionOf(res.Where); region != r.Name {
		m.now().away++
		fmt.Printf("   %s: answered by %s in region %s\n", r.Name, res.Where, region)
	}
}

// bound asks for a workspace that may not leave its region.
func (m *demo) bound(ctx context.Context, r deployment.RegionSpec, entry netip.AddrPort, lost bool) {
	if !lost {
		m.ask(ctx, r, entry, r.Name+": a bound drawing", r.Name+"-bound", true)
		return
	}
	res := m.w.Client.Do(ctx, client.Ask{
		Host: entry, Service: m.d.Spec.Model.Name, Workspace: r.Name + "-bound", Prompt: "bound", Tokens: demoTokens,
	})
	m.now().asked++
	if res.Outcome != vetchtrail.NotRun.String() {
		m.fail(r, res)
		return
	}
	m.now().denied++
	fmt.Printf("   %s: bound request refused: %s\n", r.Name, res.Detail)
}

// book makes a booking that may run at most once, twice.
func (m *demo) book(ctx context.Context, r deployment.RegionSpec, entry netip.AddrPort) {
	hosts, err := m.w.Client.Hosts(ctx, entry)
	if err != nil {
		m.fail(r, client.Result{Err: err})
		return
	}
	var texts [2]string
	for i := range texts {
		res := m.w.Client.Plain(ctx, entry, http.MethodPost, m.d.Spec.Plain.Name, "/bookings", hosts.Key, "", "mill 4, Tuesday")
		m.now().asked++
		if res.Status != http.StatusOK || !res.Whole {
			m.fail(r, res)
			return
		}
		texts[i] = res.Text
	}
	if texts[0] != texts[1] {
		m.fail(r, client.Result{Detail: "the booking's repeat got another answer: " + texts[1]})
	}
}

func (m *demo) fail(r deployment.RegionSpec, res client.Result) {
	m.now().wrong++
	fmt.Printf("   %s: WRONG: status %d outcome %q whole %t text %q detail %q error %v\n",
		r.Name, res.Status, res.Outcome, res.Whole, res.Text, res.Detail, res.Err)
}

func (m *demo) regionOf(endpoint string) string {
	for _, e := range m.d.Document.Endpoints {
		if e.Name == endpoint {
			return e.Region
		}
	}
	return ""
}

// until asks until a region serves its own again.
func (m *demo) until(ctx context.Context, r deployment.RegionSpec) error {
	deadline := time.Now().Add(awayTime)
	for time.Now().Before(deadline) {
		res := m.w.Client.Do(ctx, client.Ask{
			Host: m.entry(r), Service: m.d.Spec.Model.Name, Workspace: r.Name + "-bound", Prompt: "back?", Tokens: 1,
		})
		if res.Status == http.StatusOK {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.Errorf("demo: region %s does not serve its own again", r.Name)
}
