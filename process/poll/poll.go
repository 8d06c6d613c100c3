// Package poll fetches the load reports of this data centre's endpoints and the platform's list of endpoints, which
// has the endpoints that are leaving, and records both in a load.Table. Each endpoint is assigned to one of the data
// centre's hosts, which polls it. The package doesn't send reports to other hosts.
package poll

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"vetchtrail"
	"vetchtrail/connection/response"
	"vetchtrail/process/load"
)

const (
	// standbyIntervals is the number of polling intervals without a report after which an endpoint's standby
	// host polls it too: the assigned host may be slow, or unable to reach the endpoint.
	standbyIntervals     = 3
	requestTimeout       = time.Second
	maxResponseBytes     = 1 << 20
	endpointListInterval = time.Second
	// reportLeavingValidFor is how long a report that an endpoint is leaving is valid.
	reportLeavingValidFor = 10 * time.Minute
	// maxUptime bounds the time since an endpoint's start. A report with a longer one is rejected.
	maxUptime = 100 * 365 * 24 * time.Hour
)

// Assignments assigns tasks to hosts.
type Assignments interface {
	// IsAssigned reports whether this host is among the first n hosts for a task.
	IsAssigned(task string, n int, now time.Time) bool
}

// Config configures a Poller.
type Config struct {
	Table            *load.Table
	Assignments      Assignments
	Interval         time.Duration  // interval between two polls of an endpoint
	EndpointListAddr netip.AddrPort // address of the platform's list of endpoints; not valid: there is none
	Log              *slog.Logger
}

// Poller fetches load reports and the platform's list of endpoints.
type Poller struct {
	cfg  Config
	http *fasthttp.Client

	mu         sync.Mutex
	inProgress map[string]bool // polls, by endpoint
}

// New returns a poller. It does nothing until Run or RunEndpointList is called.
func New(c Config) *Poller {
	return &Poller{cfg: c, inProgress: map[string]bool{}, http: &fasthttp.Client{
		Transport: response.Transport{}, DialTimeout: dialEndpoint, MaxResponseBodySize: maxResponseBytes, MaxIdemponentCallAttempts: 1, MaxIdleConnDuration: time.Minute,
	}}
}

// dialEndpoint opens a connection within the time of a request.
func dialEndpoint(addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: min(timeout, requestTimeout)}
	return d.Dial("tcp", addr)
}

// report is an endpoint's response to GET /load.
type report struct {
	At      int64 `json:"at"` // when the numbers were taken, in Unix milliseconds; 0: now
	Running int   `json:"running"`
	Queued  int   `json:"queued"`
	Leaving bool  `json:"leaving"`
	Up      int64 `json:"up"` // milliseconds since its process started; 0: not reported
}

// Run polls the endpoints until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	t := time.NewTicker(p.cfg.Interval)
	defer t.Stop()
	for {
		p.startPolls(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// startPolls starts a poll of each endpoint that is due and not being polled already.
func (p *Poller) startPolls(now time.Time) {
	for _, e := range p.cfg.Table.Endpoints() {
		if p.due(e.Name, now) && p.begin(e.Name) {
			go p.poll(e)
		}
	}
}

// due reports whether this host should poll an endpoint now: as its assigned host, or as the standby host while
// reports are missing.
func (p *Poller) due(name string, now time.Time) bool {
	task := "poll " + name
	if p.cfg.Assignments.IsAssigned(task, 1, now) {
		return true
	}
	reportedAt := p.cfg.Table.ReportedAt(name)
	return now.Sub(reportedAt) > standbyIntervals*p.cfg.Interval && p.cfg.Assignments.IsAssigned(task, 2, now)
}

// begin marks a poll of an endpoint as in progress. It returns false if one already is.
func (p *Poller) begin(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inProgress[name] {
		return false
	}
	p.inProgress[name] = true
	return true
}

func (p *Poller) end(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inProgress, name)
}

// poll fetches an endpoint's load report and records it.
func (p *Poller) poll(e vetchtrail.Endpoint) {
	defer p.end(e.Name)
	var r report
	requestedAt := time.Now()
	if err := p.getJSON(e.Addr, "/load", &r); err != nil {
		p.cfg.Log.Debug("load report not fetched", "endpoint", e.Name, "error", err)
		if errors.Is(err, syscall.ECONNREFUSED) {
			p.cfg.Table.MarkUnreachable(e.Name, time.Now(), err)
		}
		return
	}
	if r.Running < 0 || r.Queued < 0 || r.Up < 0 || r.Up > maxUptime.Milliseconds() {
		p.cfg.Log.Warn("load report out of range", "endpoint", e.Name)
		return
	}
	at := time.UnixMilli(r.At)
	if now := time.Now(); r.At == 0 || at.After(now) {
		at = now
	}
	now, startedAt := time.Now(), time.Time{}
	if r.Up > 0 {
		// The earliest possible start: a later one would withdraw announcements of this process.
		startedAt = requestedAt.Add(-time.Duration(r.Up) * time.Millisecond)
	}
	p.cfg.Table.RecordReport(e.Name, vetchtrail.LoadReport{
		TakenAt: at, Running: r.Running, Queued: r.Queued, Leaving: r.Leaving, StartedAt: startedAt,
	}, now.Add(reportLeavingValidFor))
}

// listedEndpoint is an entry of the platform's list of endpoints.
type listedEndpoint struct {
	Endpoint string `json:"endpoint"`
	State    string `json:"state"` // live or leaving
}

// RunEndpointList polls the platform's list of endpoints until ctx ends. The list lags behind the endpoints, so it
// only takes endpoints out of use. An endpoint is used again when neither the list nor any other source reports it as
// leaving.
func (p *Poller) RunEndpointList(ctx context.Context) {
	if !p.cfg.EndpointListAddr.IsValid() {
		return
	}
	t := time.NewTicker(endpointListInterval)
	defer t.Stop()
	for {
		p.pollEndpointList(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// pollEndpointList fetches the list of endpoints and records which of them are leaving. The record is valid for two
// intervals, so that one failed request doesn't put a leaving endpoint back into use.
func (p *Poller) pollEndpointList(now time.Time) {
	var entries []listedEndpoint
	if err := p.getJSON(p.cfg.EndpointListAddr, "/hosts", &entries); err != nil {
		p.cfg.Log.Debug("list of endpoints not fetched", "error", err)
		return
	}
	for _, entry := range entries {
		if entry.State == "leaving" {
			p.cfg.Table.MarkLeaving(entry.Endpoint, now.Add(2*endpointListInterval))
		}
	}
}

// getJSON fetches a path of an address and decodes the response.
func (p *Poller) getJSON(addr netip.AddrPort, path string, into any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr.String() + path)
	if err := p.http.DoTimeout(req, resp, requestTimeout); err != nil {
		return &vetchtrail.PeerError{Step: "poll", Peer: addr.String(), Err: err}
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		err := errors.New("status " + strconv.Itoa(resp.StatusCode()))
		return &vetchtrail.PeerError{Step: "poll", Peer: addr.String(), Err: err}
	}
	if err := json.Unmarshal(resp.Body(), into); err != nil {
		return &vetchtrail.PeerError{Step: "poll", Peer: addr.String(), Err: err}
	}
	return nil
}
