// Package world runs a whole deployment in one process: real daemons and stand-ins, each
// on its own loopback address. The demo and the load runs use it. Package fleet runs a
// deployment as separate processes instead.
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

// startTimeout bounds each wait for the daemons: until they respond, are ready, or reach
// the other data centres.
const startTimeout = 15 * time.Second

// Config is what a World needs.
type Config struct {
	Deployment      deployment.Deployment
	Engine          engine.Config          // of all engines
	Policy          string                 // of the daemons; empty: their default
	SwitchedOff     []vetchtrail.Mechanism // of the daemons' policy
	EndpointListLag time.Duration          // of the platform's list of endpoints
	Log             *slog.Logger           // for all daemons
}

// World is a running deployment.
type World struct {
	cfg     Config
	ctx     context.Context // ends at Close
	stop    context.CancelFunc
	running sync.WaitGroup // daemons and stand-ins

	Engines      map[string]*engine.Server // by endpoint
	Plains       map[string]*plain.Server  // by endpoint
	Store        *kv.Server
	EndpointList *platform.EndpointList
	Link         *link.Relay
	Client       *client.Client

	mu      sync.Mutex
	daemons map[string]*runningHost // by host, stopped ones included
}

// runningHost is a daemon that was started.
type runningHost struct {
	daemon *daemon.Daemon
	kill   context.CancelFunc // ends the daemon at once
	done   chan struct{}      // closed when the daemon has ended
}

// server is a stand-in that serves HTTP requests.
type server interface {
	Serve(ctx context.Context, l net.Listener) error
}

// Start starts the stand-ins and the daemons, and waits until the daemons respond.
// The configuration is still empty.
func Start(ctx context.Context, c Config) (*World, error) {
	w := &World{
		cfg: c, Engines: map[string]*engine.Server{}, Plains: map[string]*plain.Server{}, Store: kv.New(),
		EndpointList: platform.NewEndpointList(c.EndpointListLag), Link: link.New(c.Deployment.Pipes), Client: client.New(), daemons: map[string]*runningHost{},
	}
	w.ctx, w.stop = context.WithCancel(ctx)
	if err := w.startAll(); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

// startAll starts everything in the order store, list of endpoints, links, endpoints,
// daemons, and waits until the daemons respond.
func (w *World) startAll() error {
	d := &w.cfg.Deployment
	if err := w.serve(d.Store, w.Store); err != nil {
		return err
	}
	if err := w.serve(d.EndpointList, w.EndpointList); err != nil {
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
	return w.awaitListening()
}

// awaitListening waits until all daemons respond on their callers' addresses.
func (w *World) awaitListening() error {
	deadline := time.Now().Add(startTimeout)
	for _, s := range w.cfg.Deployment.Hosts {
		for w.Client.Get(w.ctx, s.Listen.Callers, "/livez", nil) != nil {
			if time.Now().After(deadline) {
				return errors.Errorf("world.Start: host %s does not answer", s.Host)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return nil
}

// serve runs a stand-in on an address until the world is closed.
func (w *World) serve(addr netip.AddrPort, s server) error {
	var lc net.ListenConfig
	l, err := lc.Listen(w.ctx, "tcp", addr.String())
	if err != nil {
		return errors.Wrap(err, "world.Start")
	}
	w.running.Go(func() { _ = s.Serve(w.ctx, l) })
	return nil
}

// Settings returns the settings of a host in the deployment. StartHost overrides some of
// them, such as the policy, by those of Config.
func (w *World) Settings(name string) settings.Settings {
	for _, s := range w.cfg.Deployment.Hosts {
		if s.Host == name {
			return s
		}
	}
	return settings.Settings{}
}

// StartHost starts the daemon of a host.
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
	h := &runningHost{daemon: d, kill: kill, done: make(chan struct{})}
	w.mu.Lock()
	w.daemons[name] = h
	w.mu.Unlock()
	w.running.Go(func() {
		defer close(h.done)
		if err := d.Run(ctx); err != nil {
			w.cfg.Log.Error("daemon failed", "host", name, "error", err)
		}
	})
	return nil
}

// StopHost stops the daemon of a host and waits until it has ended. If gracefully is
// set, the daemon leaves the system first; otherwise it ends at once.
func (w *World) StopHost(name string, gracefully bool) {
	w.mu.Lock()
	h := w.daemons[name]
	w.mu.Unlock()
	if gracefully {
		h.daemon.Leave()
	} else {
		h.kill()
	}
	<-h.done
}

// AwaitReady waits until every host is ready and has at least the given revision of the
// configuration.
func (w *World) AwaitReady(revision uint64) error {
	deadline := time.Now().Add(startTimeout)
	for _, s := range w.cfg.Deployment.Hosts {
		if err := w.awaitHostReady(s, revision, deadline); err != nil {
			return err
		}
	}
	return nil
}

// awaitHostReady waits until one host is ready and has at least the given revision, or
// until the deadline.
func (w *World) awaitHostReady(s settings.Settings, revision uint64, deadline time.Time) error {
	for {
		err := w.Client.Get(w.ctx, s.Listen.Callers, "/readyz", nil)
		w.mu.Lock()
		got := w.daemons[s.Host].daemon.Revision()
		w.mu.Unlock()
		if err == nil && got >= revision {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Errorf("world.AwaitReady: host %s: want ready with revision %d, have revision %d: %v", s.Host, revision, got, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// AwaitReachable waits until every host can reach all other data centres.
func (w *World) AwaitReachable() error {
	deadline := time.Now().Add(startTimeout)
	for {
		reachable := 0
		w.mu.Lock()
		for _, h := range w.daemons {
			reachable += h.daemon.ReachableDataCentres()
		}
		want := len(w.daemons) * (len(w.cfg.Deployment.Spec.Regions) - 1)
		w.mu.Unlock()
		if reachable == want {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Errorf("world.AwaitReachable: hosts reach %d other data centres in total, want %d", reachable, want)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Close stops all daemons and stand-ins and waits until they have ended.
func (w *World) Close() {
	w.stop()
	w.running.Wait()
}

// Context returns a context that ends when the world is closed.
func (w *World) Context() context.Context { return w.ctx }
