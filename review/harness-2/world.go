package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	platform "vetchtrail/platform/standin"
)

const (
	entryInterval = 1200 * time.Millisecond // HeartbeatMs
	startTimeout  = 20 * time.Second
	graceTime     = 8 * time.Second // GraceS
	// memoryMB is MemoryMb of a small deployment's machines.
	memoryMB = 284
	daemon   = "target/vetchtraild" // the program of the deploy file
)

// region is a region with one data centre of the same name.
type region struct {
	name  string
	hosts int
}

// route is a route of the operator's configuration.
type route struct {
	Name, Host, PathPrefix, Type string
	TimeoutMs, TargetLatencyMs   int
	GapAimMs                     int
	Priority                     int
	Service                      string
	MaxAttempts                  int
	Sticky, Resumable            bool
	HomeRegions                  []string
}

// service is a service of the operator's configuration.
type service struct {
	Name, HealthPath string
	MaxConns         int
	Protocol         string
	ColdS, ColdPerS  float64
	Engine           *engineFigures
}

// engineFigures are what the configuration says of the engines of a model.
type engineFigures struct {
	Slots, Stride, KvCapacityTokens int
	KvTokenBytes, LinkMbps          float64
}

// host is a daemon of the project.
type host struct {
	name, region                             string
	callers, ready, directory, peers, metric netip.AddrPort
	translate                                []string // peers' networks and those by which this host reaches them
	cmd                                      *exec.Cmd
	log                                      *os.File
	ended                                    chan struct{} // closed when the process has ended
}

// world is a small deployment: the platform's store and the engines in this process, and the daemons as processes.
type world struct {
	dir     string
	record  *record
	store   *platform.Store
	at      netip.AddrPort // of the store
	hosts   []*host
	cancel  context.CancelFunc
	version int

	mu      sync.Mutex
	engines []*engine
	seq     int
}

// newWorld starts the store.
func newWorld(r *record, regions []region) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{dir: dir, record: r, store: platform.NewStore(), cancel: cancel}
	l, err := listen(ctx)
	if err != nil {
		return w, err
	}
	w.at = addressOf(l)
	go func() { _ = w.store.Serve(ctx, l) }()
	go w.writeEntries(ctx)
	for _, g := range regions {
		for n := range g.hosts {
			h := &host{name: fmt.Sprintf("front-%s-%d", g.name, n+1), region: g.name}
			for _, at := range []*netip.AddrPort{&h.callers, &h.ready, &h.directory, &h.peers, &h.metric} {
				if *at, err = freeAddress(ctx); err != nil {
					return w, err
				}
			}
			w.hosts = append(w.hosts, h)
		}
	}
	return w, nil
}

// Ports of the listeners, which the system doesn't give to outgoing connections.
const (
	firstPort = 10000
	lastPort  = 30000
	// listenAttempts is how many ports are tried until one is free.
	listenAttempts = 100
)

// nextPort is the port that is tried next, so that none is given twice.
var nextPort = firstPort + rand.IntN((lastPort-firstPort)/2)

// listen listens on a free port of a loopback address.
func listen(ctx context.Context) (l net.Listener, err error) {
	var lc net.ListenConfig
	for range listenAttempts {
		nextPort++
		if l, err = lc.Listen(ctx, "tcp", fmt.Sprintf("127.0.0.1:%d", nextPort)); err == nil {
			return l, nil
		}
	}
	return nil, err
}

func addressOf(l net.Listener) netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }

// freeAddress returns a loopback address whose port is free.
func freeAddress(ctx context.Context) (netip.AddrPort, error) {
	l, err := listen(ctx)
	if err != nil {
		return netip.AddrPort{}, err
	}
	return addressOf(l), l.Close()
}

// addEngine starts an engine, whose entry is written from now on.
func (w *world) addEngine(c engineConfig) error {
	l, err := listen(context.Background())
	if err != nil {
		return err
	}
	c.record = w.record
	e := newEngine(c, addressOf(l))
	go func() { _ = e.server.Serve(l) }()
	w.mu.Lock()
	w.engines = append(w.engines, e)
	w.mu.Unlock()
	return nil
}

// writeEntries writes the entries of the engines until ctx ends.
func (w *world) writeEntries(ctx context.Context) {
	for ctx.Err() == nil {
		w.writeAll()
		select {
		case <-ctx.Done():
		case <-time.After(entryInterval):
		}
	}
}

func (w *world) writeAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	for _, e := range w.engines {
		text, _ := json.Marshal(map[string]any{
			"Service": e.cfg.service, "Address": e.addr.String(), "Zone": e.cfg.region, "Version": "v1", "Slots": e.cfg.slots,
			"State": "ready", "ColdLeftMs": 0, "Seq": w.seq,
		})
		w.store.Put("servers/"+e.cfg.id, text)
	}
}

// configure writes the next version of the operator's configuration.
func (w *world) configure(routes []route, services []service) {
	w.version += 3
	text, _ := json.Marshal(map[string]any{
		"Version": w.version, "Routes": routes, "Services": services,
		"Limits": map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	w.store.Put("op/config", text)
	w.record.write("store: acknowledged version %d: %.1000s", w.version, text)
}

// start starts all daemons and waits until they are ready.
func (w *world) start() error {
	w.writeAll()
	for _, h := range w.hosts {
		if err := w.startHost(h); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(startTimeout)
	for _, h := range w.hosts {
		for !isReady(h) {
			if time.Now().After(deadline) {
				return errors.Errorf("%s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.record.write("all daemons are ready")
	return nil
}

func isReady(h *host) bool {
	resp, err := http.Get("http://" + h.ready.String() + "/v1/ready") //nolint:noctx // answers or refuses at once
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startHost writes the settings of a host as the platform fills in deploy/settings.yaml, and starts its daemon.
func (w *world) startHost(h *host) error {
	path := filepath.Join(w.dir, h.name+".yaml")
	if err := os.WriteFile(path, []byte(w.settings(h)), 0o600); err != nil {
		return err
	}
	var err error
	if h.log, err = os.Create(filepath.Join(w.dir, h.name+".log")); err != nil {
		return err
	}
	h.cmd = exec.Command(daemon, "serve", path) //nolint:noctx // ends by a signal
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.ended = make(chan struct{})
	go func() {
		_ = h.cmd.Wait()
		w.record.write("%s: process ended: %s", h.name, h.cmd.ProcessState)
		close(h.ended)
	}()
	return nil
}

// settings returns the settings of a host.
func (w *world) settings(h *host) string {
	out := new(strings.Builder)
	line := func(format string, a ...any) { _, _ = fmt.Fprintf(out, format+"\n", a...) }
	line("host: %s\nregion: %s\ndata_centre: %s", h.name, h.region, h.region)
	line("listen:\n  callers: %s\n  ready: %s\n  directory: %s\n  peers: %s\n  metrics: %s", h.callers, h.ready, h.directory, h.peers, h.metric)
	line("seeds:")
	for i := range min(3, len(w.hosts)) {
		line("  - %s", w.hosts[i].peers)
	}
	line("platform:\n  kind: hosted\n  store: %s\n  known_within: 3000ms", w.at)
	line("  contracts: [base,drain,config,cost,retry,recover,engine,stream,places,platform]\n  data_centres:")
	named := map[string]bool{}
	for _, h := range w.hosts {
		if !named[h.region] {
			line("    %s: %s", h.region, h.region)
		}
		named[h.region] = true
	}
	for i, t := range h.translate {
		if i == 0 {
			line("translate:")
		}
		line("  - %s", t)
	}
	line("limits:\n  body: 67108864\n  memory: %d\n  link: 1000.0\n  processor: 0.4", memoryMB)
	line("timing:\n  leave: 2s\n  grace: %s", graceTime)
	line("retries:\n  window: 10s\n  share: 0.2\n  base: 54\ntls:\n  private_network: true\nlog:\n  format: json\n  level: info")
	return out.String()
}

// signal sends a signal to a daemon.
func (w *world) signal(h *host, s syscall.Signal) {
	w.record.write("%s: signal %s", h.name, s)
	_ = h.cmd.Process.Signal(s)
}

// close kills the daemons, waits until they have ended and removes the temporary folder.
func (w *world) close() {
	for _, h := range w.hosts {
		if h.cmd != nil && h.ended != nil {
			_ = h.cmd.Process.Kill()
			<-h.ended
			_ = h.log.Close()
		}
	}
	w.mu.Lock()
	for _, e := range w.engines {
		_ = e.server.Close()
	}
	w.mu.Unlock()
	w.cancel()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
}
