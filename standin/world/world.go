// Package world runs a whole deployment in one process: real daemons and
// stand-ins, each on its own loopback address. The demo and the load runs use
// it; the scenarios run separate processes instead.
package world

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
	"vetchtrail/process/daemon"
	"vetchtrail/process/settings"
	"vetchtrail/standin/client"
	"vetchtrail/standin/deployment"
	"vetchtrail/standin/engine"
	"vetchtrail/standin/kv"
	"vetchtrail/standin/link"
	"vetchtrail/standin/plain"
	"vetchtrail/standin/platform"
)

const readyTime = 15 * time.Second

// Config is what a World needs.
type Config struct {
	Deployment  deployment.Deployment
	Engine      engine.Config
	Policy      string                 // of the daemons; empty: their default
	SwitchedOff []vetchtrail.Mechanism // of the daemons' policy
	ListLag     time.Duration
	Log         *slog.Logger
}

// World is a running deployment.
type World struct {
	cfg     Config
	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup

	Engines map[string]*engine.Server
	Plains  map[string]*plain.Server
	Store   *kv.Server
	List    *platform.HostList
	Link    *link.Relay
	Client  *client.Client

	mu      sync.Mutex
	daemons map[string]*host
}

// host is a running daemon.
type host struct {
	daemon *daemon.Daemon
	kill   context.CancelFunc
	done   chan struct{}
}

type server interface {
	Serve(ctx context.Context, l net.Listener) error
}

// Start starts the stand-ins and the daemons. The configuration is still
// empty.
func Start(ctx context.Context, c Config) (*World, error) {
	w := &World{
		cfg: c, Engines: map[string]*engine.Server{}, Plains: map[string]*plain.Server{}, Store: kv.New(),
		List: platform.NewHostList(c.ListLag), Link: link.New(c.Deployment.Pipes), Client: client.New(), daemons: map[string]*host{},
	}
	w.ctx, w.stop = context.WithCancel(ctx)
	if err := w.start(); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

func (w *World) start() error {
	d := &w.cfg.Deployment
	if err := w.serve(d.Store, w.Store); err != nil {
		return err
	}
	if err := w.serve(d.HostList, w.List); err != nil {
		return err
	}
	if err := w.Link.Start(w.ctx); err != nil {
		return err
	}
	for _, e := range d.Document.Endpoints {
		var s server
		if e.Service == d.Spec.Model.Name {
			w.Engines[e.Name] = engine.New(w.cfg.Engine)
			s = w.Engines[e.Name]
		} else {
			w.Plains[e.Name] = plain.New()
			s = w.Plains[e.Name]
		}
		if err := w.serve(e.Addr, s); err != nil {
			return err
		}
	}
	for _, s := range d.Hosts {
		if err := w.StartHost(s.Host); err != nil {
			return err
		}
	}
	return w.listening()
}

// listening waits until all daemons answer.
func (w *World) listening() error {
	deadline := time.Now().Add(readyTime)
	for _, s := range w.cfg.Deployment.Hosts {
		for w.Client.Get(w.ctx, s.Listen.Callers, "/livez", nil) != nil {
			if time.Now().After(deadline) {
				return errors.Errorf("world.Start: host %s does not listen", s.Host)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return nil
}

func (w *World) serve(addr netip.AddrPort, s server) error {
	var lc net.ListenConfig
	l, err := lc.Listen(w.ctx, "tcp", addr.String())
	if err != nil {
		return errors.Wrap(err, "world.Start")
	}
	w.running.Go(func() { _ = s.Serve(w.ctx, l) })
	return nil
}

// Settings returns the settings of a host.
func (w *World) Settings(name string) settings.Settings {
	for _, s := range w.cfg.Deployment.Hosts {
		if s.Host == name {
			return s
		}
	}
	return settings.Settings{}
}

// StartHost starts a host's daemon.
func (w *World) StartHost(name string) error {
	s := w.Settings(name)
	s.Explain = true
	s.SwitchedOff = w.cfg.SwitchedOff
	if w.cfg.Policy != "" {
		s.Policy = w.cfg.Policy
	}
	d, err := daemon.New(daemon.Config{Settings: s, Log: w.cfg.Log})
	if err != nil {
		return err
	}
	ctx, kill := context.WithCancel(w.ctx)
	h := &host{daemon: d, kill: kill, done: make(chan struct{})}
	w.mu.Lock()
	w.daemons[name] = h
	w.mu.Unlock()
	w.running.Go(func() {
		defer close(h.done)
		if err := d.Run(ctx); err != nil {
			w.cfg.Log.Error("daemon ended", "host", name, "error", err)
		}
	})
	return nil
}

// StopHost stops a host's daemon: at once, or after it has left in order.
func (w *World) StopHost(name string, orderly bool) {
	w.mu.Lock()
	h := w.daemons[name]
	w.mu.Unlock()
	if orderly {
		h.daemon.Leave()
	} else {
		h.kill()
	}
	<-h.done
}

// Ready waits until every host holds a revision and says that it is ready.
func (w *World) Ready(revision uint64) error {
	deadline := time.Now().Add(readyTime)
	for _, s := range w.cfg.Deployment.Hosts {
		if err := w.hostReady(s, revision, deadline); err != nil {
			return err
		}
	}
	return nil
}

func (w *World) hostReady(s settings.Settings, revision uint64, deadline time.Time) error {
	for {
		err := w.Client.Get(w.ctx, s.Listen.Callers, "/readyz", nil)
		w.mu.Lock()
		held := w.daemons[s.Host].daemon.Revision()
		w.mu.Unlock()
		if err == nil && held >= revision {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Errorf("world.Ready: host %s is not ready with revision %d but %d: %v", s.Host, revision, held, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Settled waits until every host knows all other data centres.
func (w *World) Settled() error {
	deadline := time.Now().Add(readyTime)
	for {
		known := 0
		w.mu.Lock()
		for _, h := range w.daemons {
			known += h.daemon.Reachable()
		}
		want := len(w.daemons) * (len(w.cfg.Deployment.Spec.Regions) - 1)
		w.mu.Unlock()
		if known == want {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Errorf("world.Settled: hosts know %d data centres instead of %d", known, want)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Close ends everything.
func (w *World) Close() {
	w.stop()
	w.running.Wait()
}

// Context ends when the world is closed.
func (w *World) Context() context.Context { return w.ctx }
