package scenario

import (
	"context"
	"fmt"
	"os"
	"os/exec"
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

	// The programs under test are built while the tests run, which the cache of test results
	// doesn't see: with these it forgets a result when their code changes.
	_ "vetchtrail/connection/operator"
	_ "vetchtrail/platform"
	_ "vetchtrail/process/daemon"
)

// binaries is the directory of the programs under test.
var binaries string

// slots gives each fleet addresses of its own.
var slots atomic.Int64

const (
	firstSlot  = 20
	usualSlots = 8 // of an engine
)

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "vetchtrail")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	args := []string{"build", "-o", dir + "/"}
	if os.Getenv("VETCHTRAIL_RACE") != "" {
		args = append(args, "-race")
	}
	out, err := exec.Command("go", append(args, "vetchtrail/cmd/...")...).CombinedOutput()
	if err != nil {
		fmt.Printf("build: %v\n%s", err, out)
		return 1
	}
	binaries = dir
	code := m.Run()
	for _, c := range complaints.list {
		fmt.Println("a program under test complained:", c)
		code = 1
	}
	return code
}

// complaints are the data races and panics of the programs under test.
var complaints struct {
	sync.Mutex
	list []string
}

// closeFleet ends a fleet and keeps what its programs complained of.
func closeFleet(f *fleet.Fleet) {
	f.Close()
	complaints.Lock()
	defer complaints.Unlock()
	complaints.list = append(complaints.list, f.Complaints()...)
}

func newFleet(dir string, hosts, engines, engineSlots int, engineArgs []string) (*fleet.Fleet, deployment.Deployment, error) {
	spec := deployment.Small(int(firstSlot+slots.Add(1)), hosts, engines)
	spec.Model.Slots = engineSlots
	d := deployment.Build(spec)
	f, err := fleet.Start(context.Background(), fleet.Config{
		Deployment: d, Binaries: binaries, Directory: dir, EngineArgs: engineArgs,
		Leave: 500 * time.Millisecond, Poll: 200 * time.Millisecond,
	})
	return f, d, err
}

// script is the state of one running script.
type script struct {
	fleet *fleet.Fleet
	d     deployment.Deployment

	mu      sync.Mutex
	results map[string]client.Result
	asks    map[string]client.Ask
	pending map[string]chan struct{}
}

func TestScenarios(t *testing.T) {
	scripts := sync.Map{}
	of := func(ts *testscript.TestScript) *script {
		s, _ := scripts.LoadOrStore(ts.Name(), &script{
			results: map[string]client.Result{}, asks: map[string]client.Ask{}, pending: map[string]chan struct{}{},
		})
		return s.(*script)
	}
	type command = func(s *script, ts *testscript.TestScript, args []string) error
	commands := map[string]command{
		"fleet": (*script).start, "apply": (*script).apply, "operate": (*script).operate, "ask": (*script).ask, "bg": (*script).bg,
		"join": (*script).join, "check": (*script).check, "until": (*script).until, "key": (*script).key, "ran": (*script).ran,
		"process": (*script).process, "link": (*script).link, "isolate": (*script).isolate, "fault": (*script).fault, "leaving": (*script).leaving,
		"inforce": (*script).inForce, "get": (*script).get, "repeat20": (*script).repeat, "sleep": (*script).sleep, "await": (*script).await, "firstready": (*script).firstReady, "inforcehost": (*script).inForceHost,
	}
	p := testscript.Params{Dir: "testdata", Cmds: map[string]func(*testscript.TestScript, bool, []string){}}
	for name, run := range commands {
		p.Cmds[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			err := run(of(ts), ts, args)
			switch {
			case neg && err == nil:
				ts.Fatalf("%s did not fail", name)
			case !neg && err != nil:
				ts.Fatalf("%s: %v", name, err)
			case neg:
				ts.Logf("failed as it must: %v", err)
			}
		}
	}
	testscript.Run(t, p)
}

// options are the words key=value of a command.
type options map[string]string

func parse(args []string) options {
	o := options{}
	for _, a := range args {
		k, v, _ := strings.Cut(a, "=")
		o[k] = v
	}
	return o
}

func (o options) number(name string, usual int) int {
	n, err := strconv.Atoi(o[name])
	if err != nil {
		return usual
	}
	return n
}
