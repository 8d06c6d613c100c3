package loadrun

import (
	"net/netip"
	"time"

	"vetchtrail/standin/deployment"
	"vetchtrail/standin/engine"
)

type addrPort = netip.AddrPort

// lostRegion is the region that is lost in that case: the second busiest.
const lostRegion = 1

// faults makes the case's faults: in the middle of the run, from its first to
// its second third, unless they last for all of it.
func (r *run) faults(began time.Time) {
	first := began.Add(r.cfg.Length / 3)
	second := began.Add(2 * r.cfg.Length / 3)
	switch r.cfg.Case {
	case Slow:
		r.slow()
	case NoReports:
		r.each(func(e *engine.Server, _ string) { e.SetFaults(engine.Faults{NoReports: true}) })
	case Lost:
		time.Sleep(time.Until(first))
		r.lose()
		time.Sleep(time.Until(second))
		r.bringBack()
	case Gone:
		r.lose()
	case Cut:
		time.Sleep(time.Until(first))
		r.links(true)
		time.Sleep(time.Until(second))
		r.links(false)
	}
}

func (r *run) each(do func(e *engine.Server, region string)) {
	for _, line := range r.d.Document.Endpoints {
		if e, ok := r.w.Engines[line.Name]; ok {
			do(e, line.Region)
		}
	}
}

// slow slows the first engine of the busiest region.
func (r *run) slow() {
	done := false
	r.each(func(e *engine.Server, region string) {
		if !done && region == r.d.Spec.Regions[0].Name {
			e.SetFaults(engine.Faults{Slow: slowFactor})
			done = true
		}
	})
}

func (r *run) lose() {
	name := r.d.Spec.Regions[lostRegion].Name
	r.mu.Lock()
	r.lost = true
	r.mu.Unlock()
	r.each(func(e *engine.Server, region string) {
		if region == name {
			e.SetFaults(engine.Faults{Refuse: true, NoReports: true})
		}
	})
	for _, s := range r.d.Hosts {
		if s.Region == name {
			r.w.StopHost(s.Host, false)
		}
	}
}

func (r *run) bringBack() {
	name := r.d.Spec.Regions[lostRegion].Name
	r.each(func(e *engine.Server, region string) {
		if region == name {
			e.ClearCache()
			e.SetFaults(engine.Faults{})
		}
	})
	for _, s := range r.d.Hosts {
		if s.Region == name {
			_ = r.w.StartHost(s.Host)
		}
	}
	for _, s := range r.d.Hosts {
		for s.Region == name && r.w.Client.Get(r.w.Context(), s.Listen.Callers, "/readyz", nil) != nil {
			time.Sleep(20 * time.Millisecond)
		}
	}
	r.mu.Lock()
	r.lost = false
	r.mu.Unlock()
}

func (r *run) links(cut bool) {
	for _, a := range r.d.Spec.Regions {
		for _, b := range r.d.Spec.Regions {
			if a.Name != b.Name {
				r.w.Link.Cut(deployment.LinkName(a.Name, b.Name), cut)
			}
		}
	}
}
