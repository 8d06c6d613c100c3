// Package fleet runs a deployment as separate processes on loopback addresses:
// the real daemon and the stand-ins. Processes can be killed, stopped, frozen
// and thawed, links cut and faults set. All end with the one that started them.
package fleet

import (
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail/process/settings"
	"vetchtrail/standin/client"
	"vetchtrail/standin/deployment"
	"vetchtrail/standin/ledger"
	"vetchtrail/standin/link"
)

const (
	readyTime = 30 * time.Second
	lookEvery = 20 * time.Millisecond
)

// Config is what a Fleet needs.
type Config struct {
	Deployment deployment.Deployment
	Binaries   string   // directory of vetchtraild and standin
	Directory  string   // for settings files and logs
	EngineArgs []string // flags of the engines' stand-in
	Leave      time.Duration
	Poll       time.Duration
}

// Fleet is a running deployment.
type Fleet struct {
	cfg      Config
	Client   *client.Client
	starter  chan func()
	mu       sync.Mutex
	programs map[string]*exec.Cmd
}

// Start starts the stand-ins and the daemons and waits until all answer.
func Start(ctx context.Context, c Config) (*Fleet, error) {
	f := &Fleet{
		cfg: c, Client: client.New(), starter: make(chan func()),
		programs: map[string]*exec.Cmd{},
	}
	go f.starting()
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// starting starts processes from one thread that lives as long as this
// process: the kernel ends them when it ends.
func (f *Fleet) starting() {
	runtime.LockOSThread()
	for start := range f.starter {
		start()
	}
}

func (f *Fleet) start(ctx context.Context) error {
	d := &f.cfg.Deployment
	pipes := filepath.Join(f.cfg.Directory, "pipes.json")
	text, err := json.Marshal(d.Pipes)
	if err != nil {
		return err
	}
	if err := os.WriteFile(pipes, text, 0o600); err != nil {
		return err
	}
	for name, args := range map[string][]string{
		"store":    {"store", d.Store.String()},
		"hostlist": {"hostlist", d.HostList.String()},
		"link":     {"link", d.LinkControl.String(), pipes},
	} {
		if err := f.run(name, "standin", args...); err != nil {
			return err
		}
	}
	for _, e := range d.Document.Endpoints {
		if err := f.StartEndpoint(e.Name); err != nil {
			return err
		}
	}
	for _, s := range d.Hosts {
		if err := f.StartHost(s.Host); err != nil {
			return err
		}
	}
	return f.answering(ctx)
}

// answering waits until the store and all daemons answer.
func (f *Fleet) answering(ctx context.Context) error {
	err := f.Await(ctx, "the store", func() bool {
		return f.Client.Get(ctx, f.cfg.Deployment.Store, "/faults", nil) == nil
	})
	if err != nil {
		return err
	}
	for _, s := range f.cfg.Deployment.Hosts {
		if err := f.HostUp(ctx, s.Host); err != nil {
			return err
		}
	}
	return nil
}

// HostUp waits until a host's daemon answers.
func (f *Fleet) HostUp(ctx context.Context, name string) error {
	s, err := f.Settings(name)
	if err != nil {
		return err
	}
	return f.Await(ctx, "host "+name, func() bool {
		return f.Client.Get(ctx, s.Listen.Callers, "/livez", nil) == nil
	})
}

// Await waits for a condition, generously.
func (f *Fleet) Await(ctx context.Context, what string, done func() bool) error {
	deadline := time.Now().Add(readyTime)
	for !done() {
		if ctx.Err() != nil || time.Now().After(deadline) {
			return errors.Errorf("fleet.Await: %s: not within %s", what, readyTime)
		}
		time.Sleep(lookEvery)
	}
	return nil
}

// run starts a program whose output goes to a log file.
func (f *Fleet) run(name, program string, args ...string) error {
	out, err := os.OpenFile(filepath.Join(f.cfg.Directory, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(filepath.Join(f.cfg.Binaries, program), args...) //nolint:noctx // ended by id
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	f.starter <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return errors.Wrapf(err, "fleet: start %s", name)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.programs[name] = cmd
	return nil
}

// StartEndpoint starts an endpoint's stand-in.
func (f *Fleet) StartEndpoint(name string) error {
	d := &f.cfg.Deployment
	for _, e := range d.Document.Endpoints {
		switch {
		case e.Name != name:
		case e.Service == d.Spec.Model.Name:
			return f.run(name, "standin", append([]string{"engine", e.Addr.String(), "--slots", strconv.Itoa(e.Slots)}, f.cfg.EngineArgs...)...)
		default:
			return f.run(name, "standin", "plain", e.Addr.String())
		}
	}
	return errors.Errorf("fleet: no endpoint %s", name)
}

// Settings returns a host's settings.
func (f *Fleet) Settings(name string) (settings.Settings, error) {
	for _, s := range f.cfg.Deployment.Hosts {
		if s.Host == name {
			s.Explain = true
			s.Timing.Leave = f.cfg.Leave
			if f.cfg.Poll > 0 {
				s.Timing.Poll = f.cfg.Poll
			}
			return s, nil
		}
	}
	return settings.Settings{}, errors.Errorf("fleet: no host %s", name)
}

// StartHost starts a host's daemon.
func (f *Fleet) StartHost(name string) error {
	s, err := f.Settings(name)
	if err != nil {
		return err
	}
	s.Log.Level = "debug"
	text, err := s.YAML()
	if err != nil {
		return err
	}
	file := filepath.Join(f.cfg.Directory, name+".yaml")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	return f.run(name, "vetchtraild", "serve", file)
}

// signal sends a signal to a program by its process id.
func (f *Fleet) signal(name string, s syscall.Signal) (*exec.Cmd, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	cmd, ok := f.programs[name]
	if !ok {
		return nil, errors.Errorf("fleet: %s does not run", name)
	}
	return cmd, cmd.Process.Signal(s)
}

// Kill ends a program at once.
func (f *Fleet) Kill(name string) error {
	cmd, err := f.signal(name, syscall.SIGKILL)
	if err != nil {
		return err
	}
	_ = cmd.Wait()
	f.forget(name)
	return nil
}

// Stop asks a program to end and waits until it has.
func (f *Fleet) Stop(name string) error {
	cmd, err := f.signal(name, syscall.SIGTERM)
	if err != nil {
		return err
	}
	err = cmd.Wait()
	f.forget(name)
	return err
}

func (f *Fleet) forget(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.programs, name)
}

// Freeze stops a program's clock until Thaw.
func (f *Fleet) Freeze(name string) error {
	_, err := f.signal(name, syscall.SIGSTOP)
	return err
}

// Thaw lets a frozen program go on.
func (f *Fleet) Thaw(name string) error {
	_, err := f.signal(name, syscall.SIGCONT)
	return err
}

// linkState is what the link is told.
type linkState struct {
	Link string `json:"link"`
	link.Trouble
}

// Cut cuts or heals the link from a region to another or the platform.
func (f *Fleet) Cut(ctx context.Context, from, to string, cut bool) error {
	return f.Trouble(ctx, from, to, link.Trouble{Cut: cut})
}

// Trouble sets what is wrong with the link from a region to another or the
// platform.
func (f *Fleet) Trouble(ctx context.Context, from, to string, t link.Trouble) error {
	return f.Client.Put(ctx, f.cfg.Deployment.LinkControl, "/cut", linkState{Link: deployment.LinkName(from, to), Trouble: t})
}

// Tool runs the operators' tool against a host.
func (f *Fleet) Tool(ctx context.Context, host string, args ...string) (string, error) {
	s, err := f.Settings(host)
	if err != nil {
		return "", err
	}
	cmd := exec.CommandContext(ctx, filepath.Join(f.cfg.Binaries, "vetchtrail"), append([]string{"--daemon", s.Listen.Peers.String()}, args...)...)
	cmd.Dir = f.cfg.Directory
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// EndpointAddr returns an endpoint's address.
func (f *Fleet) EndpointAddr(name string) (netip.AddrPort, error) {
	for _, e := range f.cfg.Deployment.Document.Endpoints {
		if e.Name == name {
			return e.Addr, nil
		}
	}
	return netip.AddrPort{}, errors.Errorf("fleet: no endpoint %s", name)
}

// Executions returns what all endpoints that run have started, by endpoint.
func (f *Fleet) Executions(ctx context.Context) (map[string][]ledger.Execution, error) {
	out := map[string][]ledger.Execution{}
	for _, e := range f.cfg.Deployment.Document.Endpoints {
		f.mu.Lock()
		_, runs := f.programs[e.Name]
		f.mu.Unlock()
		if !runs {
			continue
		}
		var list []ledger.Execution
		if err := f.Client.Get(ctx, e.Addr, "/executions", &list); err != nil {
			return nil, err
		}
		out[e.Name] = list
	}
	return out, nil
}

// Close ends all processes.
func (f *Fleet) Close() {
	f.mu.Lock()
	programs := make([]*exec.Cmd, 0, len(f.programs))
	for _, p := range f.programs {
		programs = append(programs, p)
	}
	f.mu.Unlock()
	for _, p := range programs {
		_ = p.Process.Kill()
	}
	for _, p := range programs {
		_ = p.Wait()
	}
	close(f.starter)
}

// Complaints returns the lines of the programs' logs that tell of a data race or
// a panic: their exit codes are lost when they are killed.
func (f *Fleet) Complaints() []string {
	var out []string
	logs, _ := filepath.Glob(filepath.Join(f.cfg.Directory, "*.log"))
	for _, path := range logs {
		text, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		for _, sign := range []string{"WARNING: DATA RACE", "\npanic: ", "\nfatal error: "} {
			if at := strings.Index(string(text), sign); at >= 0 {
				out = append(out, filepath.Base(path)+": "+string(text[at:min(len(text), at+complaintSize)]))
			}
		}
	}
	return out
}

// complaintSize is how much of a complaint is kept, in bytes.
const complaintSize = 3000
