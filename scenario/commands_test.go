package scenario

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"vetchtrail/standin/client"
)

// startFleet implements "fleet [hosts=2] [engines=2] [slots=8] [--FLAG=VALUE…]": it starts a
// deployment with these numbers of hosts and engines in each region, and of slots of each engine.
// The flags are those of the engine stand-in, such as --step=5ms. The deployment's configuration is
// written to configuration.yaml, but not applied.
func (s *script) startFleet(ts *testscript.TestScript, args []string) (err error) {
	o := parseOptions(args)
	var flags []string
	for _, a := range args {
		if strings.HasPrefix(a, "--") {
			flags = append(flags, a)
		}
	}
	s.fleet, s.d, err = newFleet(ts.MkAbs("."), o.number("hosts", 2), o.number("engines", 2), o.number("slots", defaultEngineSlots), flags)
	if err != nil {
		return err
	}
	ts.Defer(func() {
		closeFleet(s.fleet)
		if dir := os.Getenv("VETCHTRAIL_KEEP"); dir != "" { // directory to which the logs are copied after the run
			logs, _ := filepath.Glob(ts.MkAbs("*.log"))
			for _, l := range logs {
				text, _ := os.ReadFile(l)
				_ = os.WriteFile(filepath.Join(dir, filepath.Base(l)), text, 0o600)
			}
		}
	})
	text, err := s.d.Document.YAML()
	if err != nil {
		return err
	}
	return os.WriteFile(ts.MkAbs("configuration.yaml"), text, 0o600)
}

// apply implements "apply": it applies configuration.yaml and waits until all hosts are ready with
// it and reach all data centres.
func (s *script) apply(ts *testscript.TestScript, _ []string) error {
	if err := s.operate(ts, []string{s.d.Hosts[0].Host, "config", "apply", "configuration.yaml"}); err != nil {
		return err
	}
	if err := s.inForce(ts, []string{"revision=1"}); err != nil {
		return err
	}
	for _, h := range s.d.Hosts {
		err := s.fleet.Await(context.Background(), "data centres seen from "+h.Host, func() bool {
			out, err := s.tool(ts, h.Host, "status", "--output=json")
			return err == nil && strings.Count(out, `"reachable": true`) == len(s.d.Spec.Regions)-1 && !anyDigestUnconfigured(out)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// anyDigestUnconfigured reports whether a status contains a data centre whose last digest is older
// than its first configuration. Such a digest lists no services, so that no request is forwarded
// there yet.
func anyDigestUnconfigured(status string) bool {
	var reply struct {
		DataCentres []struct {
			Revision json.Number `json:"revision"`
		} `json:"data_centres"`
	}
	if json.Unmarshal([]byte(status), &reply) != nil {
		return true
	}
	for _, c := range reply.DataCentres {
		if c.Revision == "" || c.Revision == "0" {
			return true
		}
	}
	return false
}

// inForce implements "inforce revision=N [except=REGION]": it waits until the hosts are ready with
// this revision.
func (s *script) inForce(ts *testscript.TestScript, args []string) error {
	o := parseOptions(args)
	began := time.Now()
	for _, h := range s.d.Hosts {
		if h.Region == o["except"] {
			continue
		}
		err := s.fleet.Await(context.Background(), h.Host+" with "+args[0], func() bool {
			out, err := s.tool(ts, h.Host, "config", "show")
			ready := s.fleet.Client.Get(context.Background(), h.Listen.Callers, "/readyz", nil) == nil
			return err == nil && ready && strings.HasPrefix(out, "# revision "+o["revision"]+"\n")
		})
		if err != nil {
			return err
		}
	}
	ts.Logf("in force after %s", time.Since(began))
	return nil
}

// tool runs the operators' tool against a host and returns its output. If the script has a file
// called in, it is the tool's standard input.
func (s *script) tool(ts *testscript.TestScript, host string, args ...string) (string, error) {
	h, err := s.fleet.Settings(host)
	if err != nil {
		return "", err
	}
	cmd := exec.Command(filepath.Join(binaries, "vetchtrail"), append([]string{"--daemon", h.Listen.Peers.String()}, args...)...)
	cmd.Dir = ts.MkAbs(".")
	if in, err := os.Open(ts.MkAbs("in")); err == nil { // a workspace key, which the tool reads from standard input
		defer func() { _ = in.Close() }()
		cmd.Stdin = in
	}
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// operate implements "operate HOST ARGS…": it runs the operators' tool against a host and writes
// its output to the file out.
func (s *script) operate(ts *testscript.TestScript, args []string) error {
	out, err := s.tool(ts, args[0], args[1:]...)
	ts.Logf("%s", out)
	if err := os.WriteFile(ts.MkAbs("out"), []byte(out), 0o600); err != nil {
		return err
	}
	return err
}

// ask implements "ask NAME host=H [service= workspace= credential= tokens= stream= key= timeout=
// window= stop= resume=OTHER prompt=]": it sends a model request and stores the result as NAME.
// window is the time in seconds for which the stream may be resumed, stop the number of events after
// which the caller closes the connection. resume continues the stream of the request OTHER. With
// path=/… [method= body=] the request is sent to the plain service instead.
func (s *script) ask(_ *testscript.TestScript, args []string) error {
	s.sendRequest(args)
	return nil
}

// sendRequest sends the request that the arguments of ask describe, and stores its result.
func (s *script) sendRequest(args []string) {
	name, o := args[0], parseOptions(args[1:])
	h, err := s.fleet.Settings(o["host"])
	if err != nil {
		s.recordResult(name, client.Request{}, client.Result{Err: err})
		return
	}
	ctx := context.Background()
	if path, ok := o["path"]; ok {
		method := o["method"]
		if method == "" {
			method = "GET"
		}
		s.recordResult(name, client.Request{}, s.fleet.Client.CallPlain(ctx, h.Listen.Callers, method, s.d.Spec.Plain.Name, path, o["key"], o["workspace"], o["body"]))
		return
	}
	timeout, _ := time.ParseDuration(o["timeout"])
	req := client.Request{
		Host: h.Listen.Callers, Service: s.d.Spec.Model.Name, Workspace: o["workspace"], Prompt: o["prompt"], Tokens: o.number("tokens", 8),
		Stream: o["stream"] == "true", Key: o["key"], Timeout: timeout, ResumeWindowSeconds: o.number("window", 0), StopAfter: o.number("stop", 0),
		Credential: o["credential"],
	}
	if v, ok := o["service"]; ok {
		req.Service = v
	}
	if from, ok := o["resume"]; ok {
		s.mu.Lock()
		req.LastEventID = s.results[from].LastEventID
		s.mu.Unlock()
	}
	s.recordResult(name, req, s.fleet.Client.Do(ctx, req))
}

// recordResult stores a request and its result under the request's name.
func (s *script) recordResult(name string, req client.Request, r client.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests[name], s.results[name] = req, r
}

// bg implements "bg NAME …": as ask, but it doesn't wait for the response.
func (s *script) bg(_ *testscript.TestScript, args []string) error {
	done := make(chan struct{})
	s.mu.Lock()
	s.pending[args[0]] = done
	s.mu.Unlock()
	go func() {
		defer close(done)
		s.sendRequest(args)
	}()
	return nil
}

// join implements "join NAME": it waits for the response to a request that bg sent.
func (s *script) join(_ *testscript.TestScript, args []string) error {
	s.mu.Lock()
	done := s.pending[args[0]]
	s.mu.Unlock()
	select {
	case <-done:
		return nil
	case <-time.After(time.Minute):
		return fmt.Errorf("%s: no response within a minute", args[0])
	}
}

// check implements "check NAME OPTION=VALUE…": it compares the result of a request with the expected
// values.
//
//	status   HTTP status
//	outcome  outcome in the problem document
//	reason   reason in the problem document
//	whole    true: the response is complete
//	right    true: the response is complete and has the right content
//	region   region of the endpoint that responded
//	where    name of the endpoint that responded
//	retry    true: the response has a retry time
//	cut      true: the connection broke, so that the response can't be taken for complete
//	soon     the response ended within this many seconds: a loose bound on "at once"
//	same     the text is equal to that of the result OTHER
//	joined   the text of the result OTHER followed by this one is the complete response to OTHER
func (s *script) check(_ *testscript.TestScript, args []string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.results[args[0]]
	if !ok {
		return fmt.Errorf("no result %s", args[0])
	}
	req := s.requests[args[0]]
	for k, want := range parseOptions(args[1:]) {
		var got string
		switch k {
		case "status":
			got = strconv.Itoa(r.Status)
		case "outcome":
			got = r.Outcome
		case "reason":
			got = r.Reason
		case "whole":
			got = strconv.FormatBool(r.Complete)
		case "right":
			got = strconv.FormatBool(req.IsCorrect(r))
		case "region":
			got = s.regionOf(r.Endpoint)
		case "retry":
			got = strconv.FormatBool(!r.RetryAt.IsZero())
		case "cut":
			got = strconv.FormatBool(r.Err != nil)
		case "where":
			got = r.Endpoint
		case "same":
			got, want = r.Text, s.results[want].Text
		case "joined":
			got, want = s.results[want].Text+r.Text, s.requests[want].ExpectedText()
		case "soon":
			n, _ := strconv.Atoi(want)
			got, want = strconv.FormatBool(r.Took < time.Duration(n)*time.Second), "true"
		default:
			return fmt.Errorf("check: unknown option %s", k)
		}
		if got != want {
			return fmt.Errorf("%s: %s is %q, want %q: %+v", args[0], k, got, want, r)
		}
	}
	return nil
}

// regionOf returns the region of an endpoint.
func (s *script) regionOf(endpoint string) string {
	for _, e := range s.d.Document.Endpoints {
		if e.Name == endpoint {
			return e.Region
		}
	}
	return ""
}

// until implements "until NAME ask-options… -- check-options…": it sends requests, each with another
// prompt, until the check succeeds for one.
func (s *script) until(ts *testscript.TestScript, args []string) error {
	separator := 0
	for separator < len(args) && args[separator] != "--" {
		separator++
	}
	var last error
	n := 0
	err := s.fleet.Await(context.Background(), strings.Join(args, " "), func() bool {
		n++ // another prompt each time, as hosts prefer the endpoint that has a prompt cached
		s.sendRequest(append(append([]string{}, args[:separator]...), fmt.Sprintf("prompt=%d", n)))
		last = s.check(ts, append([]string{args[0]}, args[separator+1:]...))
		return last == nil
	})
	if err != nil {
		return errors.Join(err, last)
	}
	return nil
}

// key implements "key VARIABLE HOST": it sets a variable to an idempotency key that a host issued.
func (s *script) key(ts *testscript.TestScript, args []string) error {
	h, err := s.fleet.Settings(args[1])
	if err != nil {
		return err
	}
	hosts, err := s.fleet.Client.Hosts(context.Background(), h.Listen.Callers)
	ts.Setenv(args[0], hosts.Key)
	return err
}

// ran implements "ran [key=K] [workspace=W] [region=R] [endpoint=E] count=N|atleast=N": it checks
// the number of matching requests that the stand-ins executed.
func (s *script) ran(_ *testscript.TestScript, args []string) error {
	o := parseOptions(args)
	all, err := s.fleet.Executions(context.Background())
	if err != nil {
		return err
	}
	n := 0
	for endpoint, list := range all {
		if (o["region"] != "" && s.regionOf(endpoint) != o["region"]) || (o["endpoint"] != "" && endpoint != o["endpoint"]) {
			continue
		}
		for _, x := range list {
			if (o["key"] == "" || x.Key == o["key"]) && (o["workspace"] == "" || x.Workspace == o["workspace"]) {
				n++
			}
		}
	}
	if want, ok := o["count"]; ok && strconv.Itoa(n) != want {
		return fmt.Errorf("%d executions, want %s", n, want)
	}
	if n < o.number("atleast", 0) {
		return fmt.Errorf("%d executions, want at least %s", n, o["atleast"])
	}
	return nil
}

// process implements "process kill|stop|freeze|thaw|start|startendpoint|up NAME": it signals or
// starts a process; up waits until a host responds.
func (s *script) process(_ *testscript.TestScript, args []string) error {
	switch args[0] {
	case "kill":
		return s.fleet.Kill(args[1])
	case "stop":
		return s.fleet.Stop(args[1])
	case "freeze":
		return s.fleet.Suspend(args[1])
	case "thaw":
		return s.fleet.Resume(args[1])
	case "start":
		return s.fleet.StartHost(args[1])
	case "startendpoint":
		return s.fleet.StartEndpoint(args[1])
	case "up":
		return s.fleet.AwaitHost(context.Background(), args[1])
	}
	return fmt.Errorf("process: unknown action %s", args[0])
}

// get implements "get HOST PATH": it sends a GET request, which must get a response with status 200.
func (s *script) get(_ *testscript.TestScript, args []string) error {
	h, err := s.fleet.Settings(args[0])
	if err != nil {
		return err
	}
	return s.fleet.Client.Get(context.Background(), h.Listen.Callers, args[1], nil)
}

// repeat implements "repeat20 ask-options… -- check-options…": it sends twenty requests, each with
// another prompt, and the check must succeed for each.
func (s *script) repeat(ts *testscript.TestScript, args []string) error {
	separator := 0
	for args[separator] != "--" {
		separator++
	}
	for n := range 20 {
		s.sendRequest(append([]string{"repeat", "prompt=" + strconv.Itoa(n)}, args[:separator]...))
		if err := s.check(ts, append([]string{"repeat"}, args[separator+1:]...)); err != nil {
			return err
		}
	}
	return nil
}
