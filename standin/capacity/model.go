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

// Size is a size of the whole system.
type Size struct {
	Name        string
	Hosts       float64
	Engines     float64
	DataCentres float64
	Workspaces  float64
	Requests    float64 // a second
	Changes     float64 // of the configuration a day
	Replaced    float64 // hosts a day
	Keyed       float64 // share of the requests that may run at most once
}

// Sizes returns today's size, one between, and that of the users' first letter.
func Sizes() []Size {
	return []Size{
		{"today", 8, 15, 3, 1000, 150, 100, 8, 0.05},
		{"between", 90, 1200, 9, 10000, 2300, 3000, 200, 0.05},
		{"letter 1", 920, 12000, 45, 38000, 23000, 29000, 2160, 0.05},
	}
}

// Limits of a daemon's control, from the letter.
const (
	limitBytes  = 4 << 10  // a second
	limitCPU    = 0.024    // of a core
	limitMemory = 32 << 20 // bytes
	limitReads  = 2000     // of the store, a second, in all
	limitWrites = 100
	daySeconds  = 86400
	// answerKept is the mean size of a kept answer, assumed.
	answerKept = 2 << 10
	recordKept = 512
)

// Row is what one role costs a daemon.
type Row struct {
	Role      string
	Mechanism string
	Messages  float64 // a second, sent
	Bytes     float64 // a second, sent
	CPU       float64 // share of a core
	Memory    float64 // bytes
	Reads     float64 // of the store, a second, by the whole fleet
	Writes    float64
}

// Model holds the measured lines.
type Model struct {
	HeartbeatBytes  Line // over hosts
	LoadBytes       Line // over endpoints
	DigestBytes     Line // over data centres
	HeartbeatCPU    Line
	LoadCPU         Line
	DigestCPU       Line
	ExchangeCPU     Line // over payload
	ExchangeWire    Line
	PollCPU         Line // over endpoints
	PollWire        Line
	Workspaces      Line // heap over workspaces
	ChangeCPU       Line // over workspaces
	ChangeWrites    Line
	TableMemory     Line // over endpoints
	KeeperAllocated Line // over records
}

// NewModel fits all lines.
func NewModel(points []Point) (Model, error) {
	var m Model
	var failed error
	fit := func(benchmark, figure, size string, others map[string]float64) Line {
		l, err := Fit(points, benchmark, figure, size, others)
		if err != nil && failed == nil {
			failed = err
		}
		return l
	}
	alone := map[string]float64{"endpoints": 0, "datacentres": 0}
	loads := map[string]float64{"hosts": 20, "datacentres": 0}
	digests := map[string]float64{"hosts": 20, "endpoints": 0}
	m.HeartbeatBytes = fit("BenchmarkHeartbeat", "bytes/op", "hosts", alone)
	m.LoadBytes = fit("BenchmarkHeartbeat", "bytes/op", "endpoints", loads)
	m.DigestBytes = fit("BenchmarkHeartbeat", "bytes/op", "datacentres", digests)
	m.HeartbeatCPU = fit("BenchmarkHeartbeat", "ns/op", "hosts", alone)
	m.LoadCPU = fit("BenchmarkHeartbeat", "ns/op", "endpoints", loads)
	m.DigestCPU = fit("BenchmarkHeartbeat", "ns/op", "datacentres", digests)
	m.ExchangeCPU = fit("BenchmarkExchange", "cpu-ns/op", "payload", nil)
	m.ExchangeWire = fit("BenchmarkExchange", "wire-overhead/op", "payload", nil)
	m.PollCPU = fit("BenchmarkPoll", "cpu-ns/poll", "endpoints", nil)
	m.PollWire = fit("BenchmarkPoll", "wire-bytes/poll", "endpoints", nil)
	m.Workspaces = fit("BenchmarkWorkspaces", "heap-bytes", "workspaces", nil)
	m.ChangeCPU = fit("BenchmarkWorkspaces", "ns/op", "workspaces", nil)
	m.ChangeWrites = fit("BenchmarkPropose", "writes/op", "workspaces", nil)
	m.TableMemory = fit("BenchmarkFill", "heap-bytes", "endpoints", nil)
	m.KeeperAllocated = fit("BenchmarkKeeper", "B/op", "records", nil)
	return m, failed
}

// Lines returns the measured lines in the order of the model.
func (m Model) Lines() []Line {
	return []Line{
		m.HeartbeatBytes, m.LoadBytes, m.DigestBytes, m.HeartbeatCPU, m.LoadCPU, m.DigestCPU, m.ExchangeCPU, m.ExchangeWire,
		m.PollCPU, m.PollWire, m.Workspaces, m.ChangeCPU, m.ChangeWrites, m.TableMemory, m.KeeperAllocated,
	}
}

// Rows works out the roles of one daemon at a size.
func (m Model) Rows(s Size) []Row {
	hosts := s.Hosts / s.DataCentres
	engines := s.Engines / s.DataCentres
	every := settings.Default().Timing.Poll.Seconds()
	exchanges := min(membership.Fanout, hosts-1) / membership.Tick.Seconds() // begun a second; as many are answered
	messages := 2 * exchanges
	polls := engines / hosts / every
	// A message to a host holds what is newer than the last one to it.
	polled := engines / hosts
	partners := min(hosts-1, 2*membership.NearEach*math.Ceil(math.Log2(hosts))) // chosen here, or by whom this host is
	toEach := messages / max(partners, 1)
	fresh := min(1, 1/every/max(toEach, 1e-9))
	swaps := (s.DataCentres - 1) / hosts / membership.SwapTick.Seconds()
	relays := (s.DataCentres - 1) * min(messages, min(membership.PassEach, hosts-1)/membership.SwapTick.Seconds())
	changes := s.Changes / daySeconds
	return []Row{
		{
			Role: "membership", Mechanism: "gossiped heartbeats in the data centre, short lines", Messages: messages,
			Bytes:  messages * (m.HeartbeatBytes.At(hosts) + m.ExchangeWire.At(0)/2),
			CPU:    exchanges * (m.ExchangeCPU.At(m.HeartbeatBytes.At(hosts)) + 2*m.HeartbeatCPU.At(hosts)) / 1e9,
			Memory: hosts * 1024,
		},
		{
			Role: "load spread", Mechanism: "own polled reports on the heartbeats",
			Bytes:  messages * polled * fresh * m.LoadBytes.Slope,
			CPU:    messages * polled * fresh * m.LoadCPU.Slope / 1e9,
			Memory: m.TableMemory.At(engines),
		},
		{
			Role: "load poller", Mechanism: "one host an endpoint by rendezvous, a second stands by", Messages: polls,
			Bytes: polls * m.PollWire.At(polled) / 2,
			CPU:   polls * m.PollCPU.At(polled) / 2 / 1e9, // of both sides
		},
		{
			Role: "region representative", Mechanism: "one host a data centre swaps digests, a second stands by; each host passes one on to four", Messages: 2 * swaps,
			Bytes:  2*swaps*(m.DigestBytes.Slope+m.ExchangeWire.At(0)/2) + relays*m.DigestBytes.Slope,
			CPU:    swaps*m.ExchangeCPU.At(m.DigestBytes.Slope)/1e9 + relays*m.DigestCPU.Slope/1e9,
			Memory: s.DataCentres * hosts * 256,
		},
		{
			Role: "configuration watcher", Mechanism: "two hosts a data centre watch the next key; the rest pull from peers",
			Messages: changes, Bytes: changes * 300, CPU: changes * m.ChangeCPU.At(s.Workspaces) / 1e9, Memory: m.Workspaces.At(s.Workspaces) + 512*1024,
			Reads: s.DataCentres * min(daemon.Watchers, hosts) * (2*changes + 2/changelog.WatchTime.Seconds()),
		},
		{
			Role: "configuration writer", Mechanism: "one compare-and-swap a change, a snapshot now and then",
			Writes: changes * (m.ChangeWrites.At(s.Workspaces) + 1), Reads: changes * 4,
		},
		{
			Role: "a host's start", Mechanism: "a snapshot and the changes after it",
			Reads: s.Replaced / daySeconds * (2 + m.Workspaces.At(s.Workspaces)/(900<<10) + changelog.SnapshotEvery/2),
		},
		{
			Role: "at-most-once keeper", Mechanism: "keys bound to their issuer's incarnation; nothing shared",
			Memory: s.Requests / s.Hosts * s.Keyed * (settings.Default().Timing.KeyTime + 10*time.Minute).Seconds() * (recordKept + answerKept),
		},
		{
			Role: "discovery", Mechanism: "GET /v1/hosts from what membership holds; counted with the callers' requests",
		},
	}
}

// breaksAt is the first size on the way from today's to the letter's at which a
// daemon's control takes more bytes than the limit; ok: there is one. All that
// a size consists of grows by the same share of its way.
func (m Model) breaksAt() (at Size, ok bool) {
	const steps = 1000
	sizes := Sizes()
	from, to := sizes[0], sizes[len(sizes)-1]
	for i := range steps + 1 {
		f := float64(i) / steps
		grow := func(a, b float64) float64 { return a * math.Pow(b/a, f) }
		at = Size{
			Hosts: grow(from.Hosts, to.Hosts), Engines: grow(from.Engines, to.Engines), DataCentres: grow(from.DataCentres, to.DataCentres),
			Workspaces: grow(from.Workspaces, to.Workspaces), Requests: grow(from.Requests, to.Requests), Changes: grow(from.Changes, to.Changes),
			Replaced: grow(from.Replaced, to.Replaced), Keyed: from.Keyed,
		}
		sum := 0.0
		for _, r := range m.Rows(at) {
			sum += r.Bytes
		}
		if sum > limitBytes {
			return at, true
		}
	}
	return at, false
}

// Write writes the page's tables.
func (m Model) Write(w io.Writer) {
	_, _ = fmt.Fprintf(w, "Measured lines (figure = start + slope × size):\n\n")
	_, _ = fmt.Fprintln(w, "| benchmark | figure | over | sizes | points | start | slope |")
	_, _ = fmt.Fprintln(w, "| --- | --- | --- | --- | ---: | ---: | ---: |")
	for _, l := range m.Lines() {
		_, _ = fmt.Fprintf(w, "| %s | %s | %s | %.0f to %.0f | %d | %.4g | %.4g |\n", l.Benchmark, l.Figure, l.Size, l.Least, l.Most, l.Points, l.Start, l.Slope)
	}
	for _, s := range Sizes() {
		m.writeSize(w, s)
	}
	if at, ok := m.breaksAt(); ok {
		_, _ = fmt.Fprintf(w, "\nOn the way from today to letter 1, the bytes of control pass their limit at %.0f hosts, %.0f endpoints and %.0f data centres.\n",
			at.Hosts, at.Engines, at.DataCentres)
	}
}

func (m Model) writeSize(w io.Writer, s Size) {
	_, _ = fmt.Fprintf(w, "\nWorked out, one daemon, %s (%.0f hosts, %.0f endpoints, %.0f data centres):\n\n", s.Name, s.Hosts, s.Engines, s.DataCentres)
	_, _ = fmt.Fprintln(w, "| role | mechanism | messages/s | bytes/s | core | memory (KB) | store reads/s (fleet) | store writes/s (fleet) |")
	_, _ = fmt.Fprintln(w, "| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: |")
	var sum Row
	for _, r := range m.Rows(s) {
		writeRow(w, r)
		sum.Messages += r.Messages
		sum.Bytes += r.Bytes
		sum.CPU += r.CPU
		sum.Memory += r.Memory
		sum.Reads += r.Reads
		sum.Writes += r.Writes
	}
	sum.Role = "all"
	writeRow(w, sum)
	_, _ = fmt.Fprintf(w, "| limit | | | %d%s | %.1f%%%s | %d%s | %d%s | %d%s |\n",
		limitBytes, over(sum.Bytes, limitBytes), 100*limitCPU, over(sum.CPU, limitCPU), limitMemory/1024, over(sum.Memory, limitMemory),
		limitReads, over(sum.Reads, limitReads), limitWrites, over(sum.Writes, limitWrites))
}

func writeRow(w io.Writer, r Row) {
	_, _ = fmt.Fprintf(w, "| %s | %s | %.1f | %.0f | %.2f%% | %.0f | %.2f | %.2f |\n",
		r.Role, r.Mechanism, r.Messages, r.Bytes, 100*r.CPU, r.Memory/1024, r.Reads, r.Writes)
}

func over(x, limit float64) string {
	if x > limit {
		return fmt.Sprintf(" (over, ×%.1f)", x/limit)
	}
	return ""
}
