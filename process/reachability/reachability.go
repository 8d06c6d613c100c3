// Package reachability finds out which endpoints this host reaches, so that requests don't have to: it opens
// connections to endpoints that failed or went silent, and records the results in a load.Table. What follows from
// them is decided there.
package reachability

import (
	"context"
	"time"

	"vetchtrail"
	"vetchtrail/process/load"
)

const (
	checkInterval = 100 * time.Millisecond // between two checks for endpoints to probe
	probeTimeout  = time.Second            // of one connection; it usually fails sooner by itself
)

// Config configures a Prober.
type Config struct {
	Table *load.Table
	// Connect opens a connection to an endpoint.
	Connect func(ctx context.Context, e vetchtrail.Endpoint) error
	// Refuses reports whether an endpoint refuses connections.
	Refuses func(ctx context.Context, e vetchtrail.Endpoint) bool
}

// Prober probes endpoints.
type Prober struct{ cfg Config }

// New returns a prober. It does nothing until Run is called.
func New(c Config) *Prober { return &Prober{cfg: c} }

// Run probes the endpoints that are due until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		for _, e := range p.cfg.Table.EndpointsToProbe(time.Now()) {
			go p.probe(ctx, e)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// probe opens a connection to an endpoint and records whether that succeeded.
func (p *Prober) probe(ctx context.Context, e vetchtrail.Endpoint) {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := p.cfg.Connect(probeCtx, e)
	switch {
	case ctx.Err() != nil: // the host stops
	case err != nil:
		p.cfg.Table.RecordConnectFailure(e, time.Now(), err)
	default:
		p.cfg.Table.RecordConnected(e, time.Now())
	}
}

// controls is how many other endpoints are tried to find out whether this host reaches any. With fewer, all of them may
// have crashed: a request that crashes endpoints is retried at once.
const controls = 3

// ProcessEnded reports whether the process of an endpoint has ended: the endpoint refuses connections. If this host
// reaches none of several others either, it has probably lost its path, and the endpoint's process may run.
func (p *Prober) ProcessEnded(ctx context.Context, e vetchtrail.Endpoint) bool {
	if !p.cfg.Refuses(ctx, e) {
		return false
	}
	others := p.cfg.Table.OtherEndpoints(e.Name, controls, time.Now())
	for _, other := range others {
		if p.cfg.Connect(ctx, other) == nil {
			p.cfg.Table.RecordConnected(other, time.Now())
			return true
		}
	}
	return len(others) < controls
}
