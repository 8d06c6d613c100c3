package capacity

import (
	"fmt"
	"io"
	"math"
	"time"

	"vetchtrail/process/daemon"
	"vetchtrail/process/membership"
	"vetchtrail/process/settings"
	"vetchtrail/version/changelog"
)

// Size is a size of the whole system, and its rates of change.
type Size struct {
	Name                string
	Hosts               float64
	Endpoints           float64
	DataCentres         float64
	Workspaces          float64
	RequestsPerSecond   float64
	ChangesPerDay       float64 // of the configuration
	HostsReplacedPerDay float64
	AtMostOnceShare     float64 // share of the requests with an idempotency key, which may run at most once
}

// Sizes returns the present size, an intermediate one, and the largest one that is
// required. docs/CAPACITY.md uses their names.
func Sizes() []Size {
	return []Size{
		{"today", 8, 15, 3, 1000, 150, 100, 8, 0.05},
		{"between", 90, 1200, 9, 10000, 2300, 3000, 200, 0.05},
		{"letter 1", 920, 12000, 45, 38000, 23000, 29000, 2160, 0.05},
	}
}

const (
	// Required limits on the resources that a daemon uses for coordination, which excludes
	// the handling of requests.
	maxBytesPerSecond       = 4 << 10
	maxCoreShare            = 0.024
	maxMemoryBytes          = 32 << 20
	maxStoreReadsPerSecond  = 2000 // by all hosts together
	maxStoreWritesPerSecond = 100  // by all hosts together

	secondsPerDay  = 86400
	responseBytes  = 2 << 10 // mean size of a buffered response, an assumption
	keyRecordBytes = 512     // record of an idempotency key, without the response
)

// RoleCost is the resources that one role uses.
type RoleCost struct {
	Role      string
	Mechanism string
	Messages  float64 // sent, a second
	Bytes     float64 // sent, a second
	CPU       float64 // share of a core
	Memory    float64 // bytes
	Reads     float64 // of the store, a second, by all hosts together
	Writes    float64 // of the store, a second, by all hosts together
}

// Model holds the fitted lines. CPU metrics are in nanoseconds.
type Model struct {
	HeartbeatBytes       LinearFit // bytes of a heartbeat, over hosts
	LoadBytes            LinearFit // bytes of a heartbeat, over endpoints
	DigestBytes          LinearFit // bytes of a heartbeat, over data centres
	HeartbeatCPU         LinearFit // of a heartbeat, over hosts
	LoadCPU              LinearFit // of a heartbeat, over endpoints
	DigestCPU            LinearFit // of a heartbeat, over data centres
	ExchangeCPU          LinearFit // of an exchange of messages, over the payload
	ExchangeWireOverhead LinearFit // bytes of an exchange besides the payload, over the payload
	PollCPU              LinearFit // of one poll of an endpoint, over endpoints
	PollWireBytes        LinearFit // of one poll of an endpoint, over endpoints
	ConfigurationHeap    LinearFit // bytes, over workspaces
	ChangeCPU            LinearFit // of a change of the configuration, over workspaces
	ChangeWrites         LinearFit // writes to the store for a change, over workspaces
	EndpointTableHeap    LinearFit // bytes, over endpoints
	KeyRecordsAllocated  LinearFit // bytes allocated for idempotency keys, over records
}

// NewModel fits all lines. It fails if a benchmark has too few points. The cost of a
// heartbeat depends on the numbers of hosts, endpoints and data centres: each fit varies
// one of them and fixes the others.
func NewModel(points []Point) (Model, error) {
	var m Model
	var failed error
	fit := func(benchmark, metric, param string, fixed map[string]float64) LinearFit {
		l, err := Fit(points, benchmark, metric, param, fixed)
		if err != nil && failed == nil {
			failed = err
		}
		return l
	}
	overHosts := map[string]float64{"endpoints": 0, "datacentres": 0}
	overEndpoints := map[string]float64{"hosts": 20, "datacentres": 0}
	overDataCentres := map[string]float64{"hosts": 20, "endpoints": 0}
	m.HeartbeatBytes = fit("BenchmarkHeartbeat", "bytes/op", "hosts", overHosts)
	m.LoadBytes = fit("BenchmarkHeartbeat", "bytes/op", "endpoints", overEndpoints)
	m.DigestBytes = fit("BenchmarkHeartbeat", "bytes/op", "datacentres", overDataCentres)
	m.HeartbeatCPU = fit("BenchmarkHeartbeat", "ns/op", "hosts", overHosts)
	m.LoadCPU = fit("BenchmarkHeartbeat", "ns/op", "endpoints", overEndpoints)
	m.DigestCPU = fit("BenchmarkHeartbeat", "ns/op", "datacentres", overDataCentres)
	m.ExchangeCPU = fit("BenchmarkExchange", "cpu-ns/op", "payload", nil)
	m.ExchangeWireOverhead = fit("BenchmarkExchange", "wire-overhead/op", "payload", nil)
	m.PollCPU = fit("BenchmarkPoll", "cpu-ns/poll", "endpoints", nil)
	m.PollWireBytes = fit("BenchmarkPoll", "wire-bytes/poll", "endpoints", nil)
	m.ConfigurationHeap = fit("BenchmarkWorkspaces", "heap-bytes", "workspaces", nil)
	m.ChangeCPU = fit("BenchmarkWorkspaces", "ns/op", "workspaces", nil)
	m.ChangeWrites = fit("BenchmarkPropose", "writes/op", "workspaces", nil)
	m.EndpointTableHeap = fit("BenchmarkFill", "heap-bytes", "endpoints", nil)
	m.KeyRecordsAllocated = fit("BenchmarkKeeper", "B/op", "records", nil)
	return m, failed
}

// Fits returns the fitted lines in the order of the model's fields.
func (m Model) Fits() []LinearFit {
	return []LinearFit{
		m.HeartbeatBytes, m.LoadBytes, m.DigestBytes, m.HeartbeatCPU, m.LoadCPU, m.DigestCPU, m.ExchangeCPU, m.ExchangeWireOverhead,
		m.PollCPU, m.PollWireBytes, m.ConfigurationHeap, m.ChangeCPU, m.ChangeWrites, m.EndpointTableHeap, m.KeyRecordsAllocated,
	}
}

// RoleCosts calculates the resources that each role of one daemon uses at a size. The
// variables exchanges, messages, polls, digestExchanges, digestRelays and changes are
// numbers per second.
func (m Model) RoleCosts(s Size) []RoleCost {
	hostsPerCentre := s.Hosts / s.DataCentres
	endpointsPerCentre := s.Endpoints / s.DataCentres
	pollSeconds := settings.Default().Timing.Poll.Seconds()
	exchanges := min(membership.Fanout, hostsPerCentre-1) / membership.HeartbeatInterval.Seconds() // started by this host; other hosts start as many with it
	messages := 2 * exchanges
	polls := endpointsPerCentre / hostsPerCentre / pollSeconds
	// A message to a peer contains only the load reports that are newer than the previous
	// message to this peer. For each endpoint that this host polls, reportShare is the share
	// of the messages that contain a new load report of it.
	endpointsPerHost := endpointsPerCentre / hostsPerCentre
	peers := min(hostsPerCentre-1, 2*membership.GossipPeersPerDoubling*math.Ceil(math.Log2(hostsPerCentre))) // those that this host chose, and those that chose this host
	messagesPerPeer := messages / max(peers, 1)
	reportShare := min(1, 1/pollSeconds/max(messagesPerPeer, 1e-9))
	digestExchanges := (s.DataCentres - 1) / hostsPerCentre / membership.DigestInterval.Seconds()
	digestRelays := (s.DataCentres - 1) * min(messages, min(membership.RelayFanout, hostsPerCentre-1)/membership.DigestInterval.Seconds())
	changes := s.ChangesPerDay / secondsPerDay
	return []RoleCost{
		{
			Role: "membership", Mechanism: "gossiped heartbeats in the data centre, short lines", Messages: messages,
			Bytes:  messages * (m.HeartbeatBytes.At(hostsPerCentre) + m.ExchangeWireOverhead.At(0)/2),
			CPU:    exchanges * (m.ExchangeCPU.At(m.HeartbeatBytes.At(hostsPerCentre)) + 2*m.HeartbeatCPU.At(hostsPerCentre)) / 1e9,
			Memory: hostsPerCentre * 1024,
		},
		{
			Role: "load spread", Mechanism: "own polled reports on the heartbeats",
			Bytes:  messages * endpointsPerHost * reportShare * m.LoadBytes.Slope,
			CPU:    messages * endpointsPerHost * reportShare * m.LoadCPU.Slope / 1e9,
			Memory: m.EndpointTableHeap.At(endpointsPerCentre),
		},
		{
			Role: "load poller", Mechanism: "one host an endpoint by rendezvous, a second stands by", Messages: polls,
			Bytes: polls * m.PollWireBytes.At(endpointsPerHost) / 2,
			CPU:   polls * m.PollCPU.At(endpointsPerHost) / 2 / 1e9, // the benchmark measured both sides
		},
		{
			Role: "region representative", Mechanism: "one host a data centre swaps digests, a second stands by; each host passes one on to four", Messages: 2 * digestExchanges,
			Bytes:  2*digestExchanges*(m.DigestBytes.Slope+m.ExchangeWireOverhead.At(0)/2) + digestRelays*m.DigestBytes.Slope,
			CPU:    digestExchanges*m.ExchangeCPU.At(m.DigestBytes.Slope)/1e9 + digestRelays*m.DigestCPU.Slope/1e9,
			Memory: s.DataCentres * hostsPerCentre * 256,
		},
		{
			Role: "configuration watcher", Mechanism: "two hosts a data centre watch the next key; the rest pull from peers",
			Messages: changes, Bytes: changes * 300, CPU: changes * m.ChangeCPU.At(s.Workspaces) / 1e9, Memory: m.ConfigurationHeap.At(s.Workspaces) + 512*1024,
			Reads: s.DataCentres * min(daemon.StoreWatchers, hostsPerCentre) * (2*changes + 2/changelog.WatchTimeout.Seconds()),
		},
		{
			Role: "configuration writer", Mechanism: "one compare-and-swap a change, a snapshot now and then",
			Writes: changes * (m.ChangeWrites.At(s.Workspaces) + 1), Reads: changes * 4,
		},
		{
			Role: "a host's start", Mechanism: "a snapshot and the changes after it",
			Reads: s.HostsReplacedPerDay / secondsPerDay * (2 + m.ConfigurationHeap.At(s.Workspaces)/(900<<10) + changelog.SnapshotInterval/2),
		},
		{
			Role: "at-most-once keeper", Mechanism: "keys bound to their issuer's incarnation; nothing shared",
			Memory: s.RequestsPerSecond / s.Hosts * s.AtMostOnceShare * (settings.Default().Timing.KeyTime + 10*time.Minute).Seconds() * (keyRecordBytes + responseBytes),
		},
		{
			Role: "discovery", Mechanism: "GET /v1/hosts from what membership holds; counted with the callers' requests",
		},
	}
}

// byteLimitExceededAt returns the smallest size at which a daemon's coordination sends
// more bytes than the limit. It searches from the smallest of Sizes to the largest in
// steps, in each of which every quantity but AtMostOnceShare is multiplied by a constant
// factor. ok is false if no size exceeds the limit.
func (m Model) byteLimitExceededAt() (at Size, ok bool) {
	const steps = 1000
	sizes := Sizes()
	from, to := sizes[0], sizes[len(sizes)-1]
	for i := range steps + 1 {
		progress := float64(i) / steps
		interpolate := func(a, b float64) float64 { return a * math.Pow(b/a, progress) }
		at = Size{
			Hosts: interpolate(from.Hosts, to.Hosts), Endpoints: interpolate(from.Endpoints, to.Endpoints), DataCentres: interpolate(from.DataCentres, to.DataCentres),
			Workspaces: interpolate(from.Workspaces, to.Workspaces), RequestsPerSecond: interpolate(from.RequestsPerSecond, to.RequestsPerSecond), ChangesPerDay: interpolate(from.ChangesPerDay, to.ChangesPerDay),
			HostsReplacedPerDay: interpolate(from.HostsReplacedPerDay, to.HostsReplacedPerDay), AtMostOnceShare: from.AtMostOnceShare,
		}
		sum := 0.0
		for _, r := range m.RoleCosts(at) {
			sum += r.Bytes
		}
		if sum > maxBytesPerSecond {
			return at, true
		}
	}
	return at, false
}

// Write writes the tables of docs/CAPACITY.md.
func (m Model) Write(w io.Writer) {
	_, _ = fmt.Fprintf(w, "Measured lines (figure = start + slope × size):\n\n")
	_, _ = fmt.Fprintln(w, "| benchmark | figure | over | sizes | points | start | slope |")
	_, _ = fmt.Fprintln(w, "| --- | --- | --- | --- | ---: | ---: | ---: |")
	for _, l := range m.Fits() {
		_, _ = fmt.Fprintf(w, "| %s | %s | %s | %.0f to %.0f | %d | %.4g | %.4g |\n", l.Benchmark, l.Metric, l.Param, l.MinParam, l.MaxParam, l.Points, l.Intercept, l.Slope)
	}
	for _, s := range Sizes() {
		m.writeSize(w, s)
	}
	if at, ok := m.byteLimitExceededAt(); ok {
		_, _ = fmt.Fprintf(w, "\nOn the way from today to letter 1, the bytes of control pass their limit at %.0f hosts, %.0f endpoints and %.0f data centres.\n",
			at.Hosts, at.Endpoints, at.DataCentres)
	}
}

// writeSize writes the table of a size: the roles, their sum and the limits.
func (m Model) writeSize(w io.Writer, s Size) {
	_, _ = fmt.Fprintf(w, "\nWorked out, one daemon, %s (%.0f hosts, %.0f endpoints, %.0f data centres):\n\n", s.Name, s.Hosts, s.Endpoints, s.DataCentres)
	_, _ = fmt.Fprintln(w, "| role | mechanism | messages/s | bytes/s | core | memory (KB) | store reads/s (fleet) | store writes/s (fleet) |")
	_, _ = fmt.Fprintln(w, "| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: |")
	var sum RoleCost
	for _, r := range m.RoleCosts(s) {
		writeRoleCost(w, r)
		sum.Messages += r.Messages
		sum.Bytes += r.Bytes
		sum.CPU += r.CPU
		sum.Memory += r.Memory
		sum.Reads += r.Reads
		sum.Writes += r.Writes
	}
	sum.Role = "all"
	writeRoleCost(w, sum)
	_, _ = fmt.Fprintf(w, "| limit | | | %d%s | %.1f%%%s | %d%s | %d%s | %d%s |\n",
		maxBytesPerSecond, overLimit(sum.Bytes, maxBytesPerSecond), 100*maxCoreShare, overLimit(sum.CPU, maxCoreShare), maxMemoryBytes/1024, overLimit(sum.Memory, maxMemoryBytes),
		maxStoreReadsPerSecond, overLimit(sum.Reads, maxStoreReadsPerSecond), maxStoreWritesPerSecond, overLimit(sum.Writes, maxStoreWritesPerSecond))
}

// writeRoleCost writes a row of the table of a size.
func writeRoleCost(w io.Writer, r RoleCost) {
	_, _ = fmt.Fprintf(w, "| %s | %s | %.1f | %.0f | %.2f%% | %.0f | %.2f | %.2f |\n",
		r.Role, r.Mechanism, r.Messages, r.Bytes, 100*r.CPU, r.Memory/1024, r.Reads, r.Writes)
}

// overLimit returns a note for a value over its limit, or an empty string.
func overLimit(x, limit float64) string {
	if x > limit {
		return fmt.Sprintf(" (over, ×%.1f)", x/limit)
	}
	return ""
}
