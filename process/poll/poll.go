// Package poll fetches the endpoints' load reports and the platform's list of
// leaving ones.
package poll

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"vetchtrail"
	"vetchtrail/process/load"
)

const (
	// standby is after how many intervals without a report the second host for
	// an endpoint polls it: the first may be slow or cut off from it.
	standby    = 3
	callTime   = time.Second
	maxReport  = 1 << 20 // bytes
	listEvery  = time.Second
	leavingFor = 10 * time.Minute
	longestUp  = 100 * 365 * 24 * time.Hour // beyond it a time since the start is none
)

// Duties says whether a duty is this host's.
type Duties interface {
	OnDuty(duty string, n int, now time.Time) bool
}

// Config is what a Poller needs.
type Config struct {
	Table  *load.Table
	Duties Duties
	Every  time.Duration
	Hosts  netip.AddrPort // the platform's list; not valid: none
	Log    *slog.Logger
}

// Poller polls.
type Poller struct {
	cfg  Config
	http *fasthttp.Client

	mu   sync.Mutex
	busy map[string]bool // polls under way
}

// New returns a poller.
func New(c Config) *Poller {
	return &Poller{cfg: c, busy: map[string]bool{}, http: &fasthttp.Client{
		MaxResponseBodySize: maxReport, MaxIdemponentCallAttempts: 1, MaxIdleConnDuration: time.Minute,
	}}
}

// report is an endpoint's answer to GET /load.
type report struct {
	At      int64 `json:"at"` // when it was true, Unix milliseconds
	Running int   `json:"running"`
	Queued  int   `json:"queued"`
	Leaving bool  `json:"leaving"`
	Up      int64 `json:"up"` // milliseconds since its process started; 0: not told
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	t := time.NewTicker(p.cfg.Every)
	defer t.Stop()
	for {
		p.round(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (p *Poller) round(now time.Time) {
	for _, e := range p.cfg.Table.Endpoints() {
		if p.due(e.Name, now) && p.begin(e.Name) {
			go p.poll(e)
		}
	}
}

// due says whether this host is to poll an endpoint now.
func (p *Poller) due(name string, now time.Time) bool {
	duty := "poll " + name
	if p.cfg.Duties.OnDuty(duty, 1, now) {
		return true
	}
	reported := p.cfg.Table.Reported(name)
	return now.Sub(reported) > standby*p.cfg.Every && p.cfg.Duties.OnDuty(duty, 2, now)
}

func (p *Poller) begin(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy[name] {
		return false
	}
	p.busy[name] = true
	return true
}

func (p *Poller) end(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, name)
}

func (p *Poller) poll(e vetchtrail.Endpoint) {
	defer p.end(e.Name)
	var r report
	if err := p.get(e.Addr, "/load", &r); err != nil {
		p.cfg.Log.Debug("no load report", "endpoint", e.Name, "error", err)
		if errors.Is(err, syscall.ECONNREFUSED) {
			p.cfg.Table.Down(e.Name, time.Now())
		}
		return
	}
	if r.Running < 0 || r.Queued < 0 || r.Up < 0 || r.Up > longestUp.Milliseconds() {
		p.cfg.Log.Warn("load report out of range", "endpoint", e.Name)
		return
	}
	at := time.UnixMilli(r.At)
	if now := time.Now(); r.At == 0 || at.After(now) {
		at = now
	}
	now, started := time.Now(), time.Time{}
	if r.Up > 0 {
		started = now.Add(-time.Duration(r.Up) * time.Millisecond)
	}
	p.cfg.Table.Report(e.Name, vetchtrail.LoadReport{
		At: at, Running: r.Running, Queued: r.Queued, Leaving: r.Leaving, Started: started,
	}, now.Add(leavingFor))
}

// listed is a line of the platform's list.
type listed struct {
	Endpoint string `json:"endpoint"`
	State    string `json:"state"` // live or leaving
}

// RunList follows the platform's list until ctx ends. The list lags, so it only
// ever takes endpoints out of use; an endpoint's own report puts it back.
func (p *Poller) RunList(ctx context.Context) {
	if !p.cfg.Hosts.IsValid() {
		return
	}
	t := time.NewTicker(listEvery)
	defer t.Stop()
	for {
		p.list(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (p *Poller) list(now time.Time) {
	var lines []listed
	if err := p.get(p.cfg.Hosts, "/hosts", &lines); err != nil {
		p.cfg.Log.Debug("no list of hosts", "error", err)
		return
	}
	for _, l := range lines {
		if l.State == "leaving" {
			p.cfg.Table.Leave(l.Endpoint, now.Add(2*listEvery))
		}
	}
}

func (p *Poller) get(addr netip.AddrPort, path string, into any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr.String() + path)
	if err := p.http.DoTimeout(req, resp, callTime); err != nil {
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
