// Package fleet runs a deployment as separate processes on loopback addresses: the
// real daemons and the stand-ins. A test can kill, stop, suspend and resume
// processes and inject faults. If the test's process ends, the kernel kills all of them.
// Package world runs a deployment in one process instead.
package fleet

import (
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail/process/settings"
	"vetchtrail/standin/client"
	"vetchtrail/standin/deployment"
	"vetchtrail/standin/ledger"
	"vetchtrail/standin/link"
)

const (
	awaitTimeout  = 30 * time.Second
	awaitInterval = 20 * time.Millisecond // between two checks of a condition
)

// Config is what a Fleet needs.
type Config struct {
	Deployment   deployment.Deployment
	Binaries     string        // directory of vetchtraild, vetchtrail and standin
	WorkDir      string        // for settings files and logs
	EngineArgs   []string      // additional flags of the engine stand-ins
	LeaveTime    time.Duration // the daemons' setting timing.leave
	PollInterval time.Duration // the daemons' setting timing.poll; 0: the default
}

// Fleet is a running deployment.
type Fleet struct {
	*Processes // by the name of the host, endpoint or service
	cfg        Config
	Client     *client.Client
}

// Start starts the stand-ins and the daemons and waits until the store and all
// daemons respond.
func Start(ctx context.Context, c Config) (*Fleet, error) {
	f := &Fleet{cfg: c, Client: client.New(), Processes: NewProcesses(c.Binaries, c.WorkDir)}
	if err := f.startAll(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// startAll starts all processes and waits until they respond.
func (f *Fleet) startAll(ctx context.Context) error {
	d := &f.cfg.Deployment
	pipes := filepath.Join(f.cfg.WorkDir, "pipes.json")
	text, err := json.Marshal(d.Pipes)
	if err != nil {
		return err
	}
	if err := os.WriteFile(pipes, text, 0o600); err != nil {
		return err
	}
	for name, args := range map[string][]string{
		"store":    {"store", d.Store.String()},
		"hostlist": {"hostlist", d.EndpointList.String()},
		"link":     {"link", d.LinkControl.String(), pipes},
	} {
		if err := f.Start(name, "standin", args...); err != nil {
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
	return f.awaitAll(ctx)
}

// awaitAll waits until the store and all daemons respond.
func (f *Fleet) awaitAll(ctx context.Context) error {
	err := f.Await(ctx, "the store", func() bool {
		return f.Client.Get(ctx, f.cfg.Deployment.Store, "/faults", nil) == nil
	})
	if err != nil {
		return err
	}
	for _, s := range f.cfg.Deployment.Hosts {
		if err := f.AwaitHost(ctx, s.Host); err != nil {
			return err
		}
	}
	return nil
}

// AwaitHost waits until the daemon of a host responds on its callers' address.
func (f *Fleet) AwaitHost(ctx context.Context, name string) error {
	s, err := f.Settings(name)
	if err != nil {
		return err
	}
	return f.Await(ctx, "host "+name, func() bool {
		return f.Client.Get(ctx, s.Listen.Callers, "/livez", nil) == nil
	})
}

// Await waits until done returns true. It fails when ctx ends, or after awaitTimeout,
// which is long enough for a busy machine. The error contains what, a description of
// the condition.
func (f *Fleet) Await(ctx context.Context, what string, done func() bool) error {
	deadline := time.Now().Add(awaitTimeout)
	for !done() {
		if ctx.Err() != nil || time.Now().After(deadline) {
			return errors.Errorf("fleet.Await: %s: not done within %s", what, awaitTimeout)
		}
		time.Sleep(awaitInterval)
	}
	return nil
}

// StartEndpoint starts the stand-in of an endpoint.
func (f *Fleet) StartEndpoint(name string) error {
	d := &f.cfg.Deployment
	for _, e := range d.Document.Endpoints {
		switch {
		case e.Name != name:
		case e.Service == d.Spec.Model.Name:
			return f.Start(name, "standin", append([]string{"engine", e.Addr.String(), "--slots", strconv.Itoa(e.Slots)}, f.cfg.EngineArgs...)...)
		default:
			return f.Start(name, "standin", "plain", e.Addr.String())
		}
	}
	return errors.Errorf("fleet: unknown endpoint %s", name)
}

// Settings returns the settings with which the daemon of a host is started, except for
// the log level, which StartHost sets.
func (f *Fleet) Settings(name string) (settings.Settings, error) {
	for _, s := range f.cfg.Deployment.Hosts {
		if s.Host == name {
			s.Explain = true
			s.Timing.Leave = f.cfg.LeaveTime
			if f.cfg.PollInterval > 0 {
				s.Timing.Poll = f.cfg.PollInterval
			}
			return s, nil
		}
	}
	return settings.Settings{}, errors.Errorf("fleet: unknown host %s", name)
}

// StartHost writes the settings file of a host and starts its daemon.
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
	file := filepath.Join(f.cfg.WorkDir, name+".yaml")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	return f.Start(name, "vetchtraild", "serve", file)
}

// linkFault is the body of the link's PUT /cut.
type linkFault struct {
	Link string `json:"link"`
	link.Fault
}

// CutLink cuts the link from a region to another or to the platform, or removes all
// its faults.
func (f *Fleet) CutLink(ctx context.Context, from, to string, cut bool) error {
	return f.SetLinkFault(ctx, from, to, link.Fault{Cut: cut})
}

// SetLinkFault replaces the fault of the link from a region to another or to the
// platform.
func (f *Fleet) SetLinkFault(ctx context.Context, from, to string, fault link.Fault) error {
	return f.Client.Put(ctx, f.cfg.Deployment.LinkControl, "/cut", linkFault{Link: deployment.LinkName(from, to), Fault: fault})
}

// Tool runs the operators' command vetchtrail against the daemon of a host and
// returns its output.
func (f *Fleet) Tool(ctx context.Context, host string, args ...string) (string, error) {
	s, err := f.Settings(host)
	if err != nil {
		return "", err
	}
	cmd := exec.CommandContext(ctx, filepath.Join(f.cfg.Binaries, "vetchtrail"), append([]string{"--daemon", s.Listen.Peers.String()}, args...)...)
	cmd.Dir = f.cfg.WorkDir
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
	return netip.AddrPort{}, errors.Errorf("fleet: unknown endpoint %s", name)
}

// Executions returns the requests that each running endpoint has started, by the
// endpoint's name.
func (f *Fleet) Executions(ctx context.Context) (map[string][]ledger.Execution, error) {
	out := map[string][]ledger.Execution{}
	for _, e := range f.cfg.Deployment.Document.Endpoints {
		if !f.Running(e.Name) {
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
