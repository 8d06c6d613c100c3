package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"vetchtrail/platform/standin"
	"vetchtrail/standin/fleet"
)

// Bounds and times of the small deployment wycena-wo.
const (
	heartbeat    = 1200 * time.Millisecond
	startTimeout = 30 * time.Second
	settleTime   = 6 * time.Second // hosts have met and found their tasks by then
	configKey    = "op/config"
	endpointKeys = "servers/"
	portsPerHost = 5
)

// Route is a route of the operator's configuration, as the protocol page spells it.
type Route struct {
	Name, Host, PathPrefix, Type       string
	TimeoutMs, TargetLatencyMs, GapAim float64
	Priority                           int
	Service                            string
	MaxAttempts                        int
	Sticky, Resumable                  bool
	HomeRegions                        []string
}

// Zone is a zone with the number of its entry hosts.
type Zone struct {
	Name, Region string
	Hosts        int
}

// Host is an entry host: a process of the program under test.
type Host struct {
	Name                                      string
	Zone                                      Zone
	Callers, Ready, Directory, Peers, Metrics netip.AddrPort
}

// Fleet is a small deployment: the store and the engines are stand-ins in this process, and each host is a
// process with the command of the deploy file.
type Fleet struct {
	Store  *standin.Store
	Hosts  []*Host
	record *Record
	dir    string
	store  netip.AddrPort
	stop   context.CancelFunc

	processes *fleet.Processes

	mu      sync.Mutex
	engines []*Engine
	seq     int // of the newest entry of an engine
}

// freeAddresses returns loopback addresses with free ports, all of them different. The ports are below those that the
// kernel gives to outgoing connections, so that they are still free when the processes start.
func freeAddresses(ctx context.Context, n int) ([]netip.AddrPort, error) {
	const firstPort, ports = 20000, 10000
	var out []netip.AddrPort
	for start, i := rand.IntN(ports), 0; len(out) < n; i++ {
		if i == ports {
			return nil, errors.New("too few free ports")
		}
		var lc net.ListenConfig
		l, err := lc.Listen(ctx, "tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+(start+i)%ports))
		if err != nil {
			continue
		}
		out = append(out, addressOf(l))
		_ = l.Close()
	}
	return out, nil
}

func addressOf(l net.Listener) netip.AddrPort { return netip.MustParseAddrPort(l.Addr().String()) }

// listenLocal listens on a free loopback address.
func listenLocal(ctx context.Context) (net.Listener, error) {
	var lc net.ListenConfig
	return lc.Listen(ctx, "tcp", "127.0.0.1:0")
}

// NewFleet starts the store. The hosts are started by Start.
func NewFleet(ctx context.Context, r *Record, dir string, zones []Zone) (*Fleet, error) {
	ctx, stop := context.WithCancel(ctx)
	l, err := listenLocal(ctx)
	if err != nil {
		stop()
		return nil, err
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	f := &Fleet{
		Store: standin.NewStore(), record: r, dir: dir, store: addressOf(l),
		processes: fleet.NewProcesses("target", dir), stop: stop,
	}
	go func() { _ = f.Store.Serve(ctx, l) }()
	go f.writeEntries(ctx)
	for _, z := range zones {
		for i := range z.Hosts {
			f.Hosts = append(f.Hosts, &Host{Name: fmt.Sprintf("front-%s-%d", z.Name, i+1), Zone: z})
		}
	}
	free, err := freeAddresses(ctx, portsPerHost*len(f.Hosts))
	if err != nil {
		stop()
		return nil, err
	}
	for i, h := range f.Hosts {
		own := free[portsPerHost*i:]
		h.Callers, h.Ready, h.Directory, h.Peers, h.Metrics = own[0], own[1], own[2], own[3], own[4]
	}
	return f, nil
}

// Add lists an engine in the store from now on.
func (f *Fleet) Add(e *Engine) {
	f.mu.Lock()
	f.engines = append(f.engines, e)
	f.mu.Unlock()
	f.writeEntry(e)
}

// writeEntry writes the entry of an engine, as the engine does itself.
func (f *Fleet) writeEntry(e *Engine) {
	f.mu.Lock()
	f.seq++
	seq := f.seq
	f.mu.Unlock()
	text, _ := json.Marshal(map[string]any{
		"Service": e.Service, "Address": e.Address.String(), "Zone": e.Zone, "Version": "v1", "Slots": e.Slots, "State": "ready", "ColdLeftMs": 0, "Seq": seq,
	})
	f.Store.Put(endpointKeys+e.ID, text)
}

func (f *Fleet) writeEntries(ctx context.Context) {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		f.mu.Lock()
		all := append([]*Engine(nil), f.engines...)
		f.mu.Unlock()
		for _, e := range all {
			f.writeEntry(e)
		}
	}
}

// Configure writes a configuration.
func (f *Fleet) Configure(version int, routes []Route, services []map[string]any) {
	var out []map[string]any
	for _, r := range routes {
		homes := r.HomeRegions
		if homes == nil {
			homes = []string{}
		}
		out = append(out, map[string]any{
			"Name": r.Name, "Host": r.Host, "PathPrefix": r.PathPrefix, "Type": r.Type, "TimeoutMs": r.TimeoutMs, "TargetLatencyMs": r.TargetLatencyMs,
			"Priority": r.Priority, "Service": r.Service, "MaxAttempts": r.MaxAttempts, "Sticky": r.Sticky, "Resumable": r.Resumable, "GapAimMs": r.GapAim, "HomeRegions": homes,
		})
	}
	text, _ := json.Marshal(map[string]any{
		"Version": version, "Routes": out, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	f.Store.Put(configKey, text)
}

// settings is the settings file of a host: deploy/settings.yaml with the figures of the small deployment wycena-wo.
func (f *Fleet) settings(h *Host) string {
	var s strings.Builder
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(&s, format+"\n", args...) }
	line("host: %s", h.Name)
	line("region: %s", h.Zone.Region)
	line("data_centre: %s", h.Zone.Name)
	line("listen:\n  callers: %s\n  ready: %s\n  directory: %s\n  peers: %s\n  metrics: %s", h.Callers, h.Ready, h.Directory, h.Peers, h.Metrics)
	line("seeds:")
	zones := map[string]string{}
	for _, other := range f.Hosts {
		if _, seen := zones[other.Zone.Name]; !seen {
			line("  - %s", other.Peers)
			zones[other.Zone.Name] = other.Zone.Region
		}
	}
	line("platform:\n  kind: hosted\n  store: %s\n  known_within: 3000ms", f.store)
	line("  contracts: [base,drain,config,cost,retry,recover,engine,stream,places,platform]\n  data_centres:")
	for zone, region := range zones {
		line("    %s: %s", zone, region)
	}
	line("limits:\n  body: 67108864\n  memory: 284\n  link: 1000\n  processor: 0.4")
	line("timing:\n  leave: 2s\n  grace: 8s\nretries:\n  window: 10s\n  share: 0.2\n  base: 54")
	line("tls:\n  private_network: true\nlog:\n  format: json\n  level: info")
	return s.String()
}

// Start starts all hosts and waits until they are ready and have met.
func (f *Fleet) Start(ctx context.Context) error {
	for _, h := range f.Hosts {
		if err := f.StartHost(h); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(startTimeout)
	for _, h := range f.Hosts {
		for !isReady(ctx, h.Ready) {
			if time.Now().After(deadline) {
				return fmt.Errorf("host %s is not ready", h.Name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(settleTime)
	return nil
}

func isReady(ctx context.Context, addr netip.AddrPort) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/v1/ready", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// StartHost starts the process of a host with the command of the deploy file.
func (f *Fleet) StartHost(h *Host) error {
	path := filepath.Join(f.dir, h.Name+".yaml")
	if err := os.WriteFile(path, []byte(f.settings(h)), 0o600); err != nil {
		return err
	}
	f.record.Note("host %s starts, callers at %s", h.Name, h.Callers)
	return f.processes.Start(h.Name, "vetchtraild", "serve", path)
}

// Close ends all processes that were started, and the store.
func (f *Fleet) Close() {
	f.processes.Close()
	f.stop()
}
