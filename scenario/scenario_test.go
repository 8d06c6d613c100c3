package scenario

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"vetchtrail/standin/client"
	"vetchtrail/standin/deployment"
	"vetchtrail/standin/fleet"

	// The programs are built while the tests run, so the test cache does not depend on their code.
	// With these imports, a change of that code invalidates a cached result.
	_ "vetchtrail/connection/operator"
	_ "vetchtrail/platform"
	_ "vetchtrail/process/daemon"
)

// binaries is the directory of the programs under test.
var binaries string

// fleetCount counts the fleets so far. Each gets a subnet of loopback addresses of its own.
var fleetCount atomic.Int64

const (
	baseSubnet         = 20 // the fleets use the subnets above this number
	defaultEngineSlots = 8  // requests that an engine runs at a time
)

// TestMain builds the programs, runs the tests, and fails if a program panicked or had a data race.
func TestMain(m *testing.M) { os.Exit(run(m)) }

// run builds the programs, with the race detector if VETCHTRAIL_RACE is set, runs the tests and
// returns their exit code.
func run(m *testing.M) int {
	dir, err := fleet.BuildPrograms("vetchtrail/cmd/...")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaries = dir
	code := m.Run()
	for _, excerpt := range programFailures.list {
		fmt.Println("a program under test panicked or had a data race:", excerpt)
		code = 1
	}
	return code
}

// programFailures collects the data races and panics that the programs under test logged.
var programFailures struct {
	sync.Mutex
	list []string
}

// closeFleet stops a fleet and collects the data races and panics in its logs.
func closeFleet(f *fleet.Fleet) {
	f.Close()
	programFailures.Lock()
	defer programFailures.Unlock()
	programFailures.list = append(programFailures.list, f.RacesAndPanics()...)
}

// newFleet starts the small deployment, of three regions with the given numbers of hosts and engines
// each, on a subnet of its own.
func newFleet(dir string, hosts, engines, engineSlots int, engineArgs []string) (*fleet.Fleet, deployment.Deployment, error) {
	spec := deployment.Small(int(baseSubnet+fleetCount.Add(1)), hosts, engines)
	spec.Model.Slots = engineSlots
	d := deployment.Build(spec)
	f, err := fleet.Start(context.Background(), fleet.Config{
		Deployment: d, Binaries: binaries, WorkDir: dir, EngineArgs: engineArgs,
		LeaveTime: 500 * time.Millisecond, PollInterval: 200 * time.Millisecond,
	})
	return f, d, err
}

// script is the state of one running script.
type script struct {
	fleet *fleet.Fleet
	d     deployment.Deployment

	mu       sync.Mutex // guards the maps, whose keys are names of requests in the script
	results  map[string]client.Result
	requests map[string]client.Request
	pending  map[string]chan struct{}
}

// TestScenarios runs the scripts in testdata. The first lines of each script describe the failure
// that it guards against.
func TestScenarios(t *testing.T) {
	scripts := sync.Map{}
	stateOf := func(ts *testscript.TestScript) *script {
		s, _ := scripts.LoadOrStore(ts.Name(), &script{
			results: map[string]client.Result{}, requests: map[string]client.Request{}, pending: map[string]chan struct{}{},
		})
		return s.(*script)
	}
	type command = func(s *script, ts *testscript.TestScript, args []string) error
	commands := map[string]command{
		"fleet": (*script).startFleet, "apply": (*script).apply, "operate": (*script).operate, "ask": (*script).ask, "bg": (*script).bg,
		"join": (*script).join, "check": (*script).check, "until": (*script).until, "key": (*script).key, "ran": (*script).ran,
		"process": (*script).process, "link": (*script).link, "isolate": (*script).isolate, "fault": (*script).fault, "leaving": (*script).leaving,
		"inforce": (*script).inForce, "get": (*script).get, "repeat20": (*script).repeat, "sleep": (*script).sleep, "await": (*script).await, "firstready": (*script).firstReady, "inforcehost": (*script).inForceHost,
	}
	p := testscript.Params{Dir: "testdata", Cmds: map[string]func(*testscript.TestScript, bool, []string){}}
	for name, run := range commands {
		p.Cmds[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			err := run(stateOf(ts), ts, args)
			switch {
			case neg && err == nil:
				ts.Fatalf("%s did not fail", name)
			case !neg && err != nil:
				ts.Fatalf("%s: %v", name, err)
			case neg:
				ts.Logf("failed as expected: %v", err)
			}
		}
	}
	testscript.Run(t, p)
}

// options are the key=value arguments of a command.
type options map[string]string

// parseOptions returns the arguments as options; one without = has an empty value.
func parseOptions(args []string) options {
	o := options{}
	for _, a := range args {
		k, v, _ := strings.Cut(a, "=")
		o[k] = v
	}
	return o
}

// number returns an option as an integer, or fallback if it is missing or not a number.
func (o options) number(name string, fallback int) int {
	n, err := strconv.Atoi(o[name])
	if err != nil {
		return fallback
	}
	return n
}
