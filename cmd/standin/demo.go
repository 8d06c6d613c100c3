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

// demoCommand runs an example deployment in one process and sends requests to it in
// steps: in normal operation, while the engines of one region refuse all requests, after
// that region has recovered, and with workspace keys and a quota. It ends after the last
// step, with an error if any response was wrong.
type demoCommand struct {
	Verbose bool `help:"Also print the log lines of the hosts."`
}

const (
	demoSubnet            = 3                // of the deployment's loopback addresses
	demoTimeout           = 28 * time.Second // for the whole demo
	demoTokens            = 12               // of a model response
	regionRecoveryTimeout = 10 * time.Second // within which a recovered region must serve its bound requests again
)

// demo is one run of the demo.
type demo struct {
	system *world.World          // the running deployment
	layout deployment.Deployment // its hosts, endpoints and addresses
	steps  []stepResult          // finished steps, and the current one last
}

// stepResult counts the requests of one step of the demo. Wrong are those that failed or
// got a wrong response, otherRegion those with a correct response from outside the caller's
// region, and refused those that were refused as expected.
type stepResult struct {
	name                                  string
	requests, wrong, otherRegion, refused int
}

// currentStep returns the counts of the step in progress.
func (m *demo) currentStep() *stepResult { return &m.steps[len(m.steps)-1] }

// total returns the sums over all steps.
func (m *demo) total() stepResult {
	all := stepResult{name: "all"}
	for _, s := range m.steps {
		all.requests += s.requests
		all.wrong += s.wrong
		all.otherRegion += s.otherRegion
		all.refused += s.refused
	}
	return all
}

// printSteps prints a table with a row for each step and one for all of them.
func (m *demo) printSteps(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "\nSTEP\tREQUESTS\tRIGHT\tIN ANOTHER REGION\tREFUSED AS EXPECTED")
	for _, s := range append(slices.Clone(m.steps), m.total()) {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", s.name, s.requests, s.requests-s.wrong, s.otherRegion, s.refused)
	}
	return w.Flush()
}

// Run starts the deployment, runs the steps of the demo and prints the counts.
func (c *demoCommand) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	layout := deployment.Build(deployment.Wycena(demoSubnet))
	fmt.Printf("A deployment of %d entry hosts and %d endpoints in %d regions, on loopback addresses.\n",
		len(layout.Hosts), len(layout.Document.Endpoints), len(layout.Spec.Regions))
	system, err := world.Start(ctx, world.Config{
		Deployment: layout, Log: c.logger(os.Stdout),
		Engine: engine.Config{
			Slots: 8, Queue: 8, Prefill: 100 * time.Microsecond, Step: 5 * time.Millisecond, Drag: 1,
			Cache: 4096, Lag: 100 * time.Millisecond,
		},
	})
	if err != nil {
		return err
	}
	defer system.Close()
	m := &demo{system: system, layout: layout}
	if err := m.run(ctx); err != nil {
		return err
	}
	if err := m.printSteps(os.Stdout); err != nil {
		return err
	}
	all := m.total()
	fmt.Printf("\n%d requests: %d right, %d wrong; %d ran in another region, %d were refused as expected.\n",
		all.requests, all.requests-all.wrong, all.wrong, all.otherRegion, all.refused)
	if all.wrong > 0 {
		return errors.Errorf("demo: %d answers were wrong", all.wrong)
	}
	return ctx.Err()
}

// logger returns the logger of the hosts. Without --verbose it discards their lines.
func (c *demoCommand) logger(out io.Writer) *slog.Logger {
	if !c.Verbose {
		return slog.New(slog.DiscardHandler)
	}
	return slog.New(slog.NewTextHandler(out, nil))
}

// run runs the steps of the demo in order.
func (m *demo) run(ctx context.Context) error {
	m.beginStep("configuration", "An operator applies the configuration by one call.")
	revision, err := m.configure(ctx)
	if err != nil {
		return err
	}
	if err := m.system.AwaitReady(revision); err != nil {
		return err
	}
	if err := m.system.AwaitReachable(); err != nil {
		return err
	}
	fmt.Printf("   revision %d is in force on all %d hosts\n", revision, len(m.layout.Hosts))

	m.beginStep("calm", "Each region streams model answers and serves its portal.")
	m.sendFromAllRegions(ctx, nil)

	lost := m.layout.Spec.Regions[1]
	m.beginStep("region lost", "The engines of region "+lost.Name+" refuse all requests. Its callers are served by other regions; requests bound to it are refused.")
	m.setEngineFaults(lost, engine.Faults{Refuse: true})
	m.sendFromAllRegions(ctx, map[string]bool{lost.Name: true})

	m.beginStep("region recovered", "The engines of region "+lost.Name+" serve requests again.")
	m.setEngineFaults(lost, engine.Faults{})
	if err := m.awaitRegion(ctx, lost); err != nil {
		return err
	}
	m.sendFromAllRegions(ctx, nil)

	if err := m.runKeyStep(ctx); err != nil {
		return err
	}
	return ctx.Err()
}

// beginStep prints a heading and starts the counts of a new step.
func (m *demo) beginStep(name, text string) {
	fmt.Printf("\n== %s\n", text)
	m.steps = append(m.steps, stepResult{name: name})
}

// configure applies the deployment's configuration and returns its revision.
func (m *demo) configure(ctx context.Context) (uint64, error) {
	wanted, err := m.layout.Document.Rules()
	if err != nil {
		return 0, err
	}
	return m.propose(ctx, "first configuration", rules.Empty().Difference(wanted))
}

// propose proposes one change of the configuration and returns the revision that the
// change made.
func (m *demo) propose(ctx context.Context, reason string, edits []vetchtrail.Edit) (uint64, error) {
	operatorClient, err := operator.Dial(ctx, operator.Config{Addr: m.layout.Hosts[0].Listen.Peers})
	if err != nil {
		return 0, err
	}
	defer func() { _ = operatorClient.Close() }()
	reply, err := operatorClient.Propose(ctx, &schema.ProposeRequest{Change: schema.FromChange(operator.NewChange("demo", reason, 0, edits))})
	if err != nil {
		return 0, err
	}
	if reply.GetResult() != schema.ProposeReply_ACCEPTED {
		return 0, errors.Errorf("demo: the change was not accepted: %s: %s", reply.GetResult(), reply.GetText())
	}
	return reply.GetRevision(), nil
}

// setEngineFaults sets the faults of all model engines of a region. It does not change
// the region's plain services.
func (m *demo) setEngineFaults(r deployment.RegionSpec, f engine.Faults) {
	for _, e := range m.layout.Document.Endpoints {
		if engineServer, ok := m.system.Engines[e.Name]; ok && e.Region == r.Name {
			engineServer.SetFaults(f)
		}
	}
}

// sendFromAllRegions sends requests of each kind from each region: a model request whose
// response is streamed, one whose response is not, one that is bound to the region, and a
// booking at the plain service. lost contains the regions whose engines refuse requests;
// requests that are bound to these regions must be refused.
func (m *demo) sendFromAllRegions(ctx context.Context, lost map[string]bool) {
	for i, r := range m.layout.Spec.Regions {
		callerAddr := m.callerAddr(r)
		m.sendModelRequest(ctx, r, callerAddr, fmt.Sprintf("%s drawing %d: tolerance notes", r.Name, i), "", true)
		m.sendModelRequest(ctx, r, callerAddr, fmt.Sprintf("%s: is steel 1.4301 weldable?", r.Name), "", false)
		m.sendBoundRequest(ctx, r, callerAddr, lost[r.Name])
		m.bookTwice(ctx, r, callerAddr)
	}
}

// callerAddr returns the address for callers of the first host of a region.
func (m *demo) callerAddr(r deployment.RegionSpec) netip.AddrPort {
	for _, host := range m.layout.Hosts {
		if host.Region == r.Name {
			return host.Listen.Callers
		}
	}
	return netip.AddrPort{}
}

// sendModelRequest sends a request to the model through a host of region r, and checks
// and counts the response.
func (m *demo) sendModelRequest(ctx context.Context, r deployment.RegionSpec, callerAddr netip.AddrPort, prompt, workspace string, stream bool) {
	req := client.Request{
		Host: callerAddr, Service: m.layout.Spec.Model.Name, Workspace: workspace, Prompt: prompt, Tokens: demoTokens, Stream: stream,
	}
	res := m.system.Client.Do(ctx, req)
	m.currentStep().requests++
	if !req.IsCorrect(res) {
		m.recordWrong(r, res)
		return
	}
	if region := m.regionOf(res.Endpoint); region != r.Name {
		m.currentStep().otherRegion++
		fmt.Printf("   %s: answered by %s in region %s\n", r.Name, res.Endpoint, region)
	}
}

// sendBoundRequest sends a request of a workspace whose requests may not leave region r.
// If lost is set, the region's engines refuse requests, and so must the host.
func (m *demo) sendBoundRequest(ctx context.Context, r deployment.RegionSpec, callerAddr netip.AddrPort, lost bool) {
	if !lost {
		m.sendModelRequest(ctx, r, callerAddr, r.Name+": a bound drawing", r.Name+"-bound", true)
		return
	}
	res := m.system.Client.Do(ctx, client.Request{
		Host: callerAddr, Service: m.layout.Spec.Model.Name, Workspace: r.Name + "-bound", Prompt: "bound", Tokens: demoTokens,
	})
	m.currentStep().requests++
	if res.Outcome != vetchtrail.OutcomeNotRun.String() {
		m.recordWrong(r, res)
		return
	}
	m.currentStep().refused++
	fmt.Printf("   %s: bound request refused: %s\n", r.Name, res.Detail)
}

// bookTwice sends the same booking twice, with one idempotency key. The booking may run
// at most once, so the second response must be equal to the first.
func (m *demo) bookTwice(ctx context.Context, r deployment.RegionSpec, callerAddr netip.AddrPort) {
	hosts, err := m.system.Client.Hosts(ctx, callerAddr)
	if err != nil {
		m.recordWrong(r, client.Result{Err: err})
		return
	}
	var texts [2]string
	for i := range texts {
		res := m.system.Client.CallPlain(ctx, callerAddr, http.MethodPost, m.layout.Spec.Plain.Name, "/bookings", hosts.Key, "", "mill 4, Tuesday")
		m.currentStep().requests++
		if res.Status != http.StatusOK || !res.Complete {
			m.recordWrong(r, res)
			return
		}
		texts[i] = res.Text
	}
	if texts[0] != texts[1] {
		m.recordWrong(r, client.Result{Detail: "the repeated booking got another answer: " + texts[1]})
	}
}

// recordWrong counts a wrong result in the current step and prints it.
func (m *demo) recordWrong(r deployment.RegionSpec, res client.Result) {
	m.currentStep().wrong++
	fmt.Printf("   %s: WRONG: status %d outcome %q whole %t text %q detail %q error %v\n",
		r.Name, res.Status, res.Outcome, res.Complete, res.Text, res.Detail, res.Err)
}

// regionOf returns the region of an endpoint, or an empty string if it is unknown.
func (m *demo) regionOf(endpoint string) string {
	for _, e := range m.layout.Document.Endpoints {
		if e.Name == endpoint {
			return e.Region
		}
	}
	return ""
}

// awaitRegion sends requests that are bound to a region until one succeeds, which
// shows that the hosts send requests to the region's engines again.
func (m *demo) awaitRegion(ctx context.Context, r deployment.RegionSpec) error {
	deadline := time.Now().Add(regionRecoveryTimeout)
	for time.Now().Before(deadline) {
		res := m.system.Client.Do(ctx, client.Request{
			Host: m.callerAddr(r), Service: m.layout.Spec.Model.Name, Workspace: r.Name + "-bound", Prompt: "back?", Tokens: 1,
		})
		if res.Status == http.StatusOK {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.Errorf("demo: region %s does not serve its bound requests again", r.Name)
}
