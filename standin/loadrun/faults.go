package loadrun

import (
	"net/netip"
	"time"

	"vetchtrail/standin/deployment"
	"vetchtrail/standin/engine"
)

// hostAddr is the address on which a host accepts callers.
type hostAddr = netip.AddrPort

// lostRegionIndex is the index of the region that is lost in RegionLostTemporarily and
// RegionLostPermanently: the second busiest.
const lostRegionIndex = 1

// injectFaults injects the faults of the run's case. The faults of RegionLostTemporarily
// and LinksCut last for the middle third of the run, those of the other cases for the
// whole run.
func (r *run) injectFaults(began time.Time) {
	faultStart := began.Add(r.cfg.Length / 3)
	faultEnd := began.Add(2 * r.cfg.Length / 3)
	switch r.cfg.Case {
	case OneEngineSlow:
		r.slowOneEngine()
	case NoReports:
		r.eachEngine(func(e *engine.Server, _ string) { e.SetFaults(engine.Faults{NoReports: true}) })
	case RegionLostTemporarily:
		time.Sleep(time.Until(faultStart))
		r.loseRegion()
		time.Sleep(time.Until(faultEnd))
		r.restoreRegion()
	case RegionLostPermanently:
		r.loseRegion()
	case LinksCut:
		time.Sleep(time.Until(faultStart))
		r.cutLinks(true)
		time.Sleep(time.Until(faultEnd))
		r.cutLinks(false)
	}
}

// eachEngine calls do for each engine, with its region, in the order of the
// configuration.
func (r *run) eachEngine(do func(e *engine.Server, region string)) {
	for _, endpoint := range r.d.Document.Endpoints {
		if e, ok := r.w.Engines[endpoint.Name]; ok {
			do(e, endpoint.Region)
		}
	}
}

// slowOneEngine slows down the first engine of the busiest region.
func (r *run) slowOneEngine() {
	done := false
	r.eachEngine(func(e *engine.Server, region string) {
		if !done && region == r.d.Spec.Regions[0].Name {
			e.SetFaults(engine.Faults{Slow: slowFactor})
			done = true
		}
	})
}

// loseRegion ends the hosts of the lost region at once, makes its engines refuse
// requests and return no load reports, and makes its callers use the hosts of the next
// region.
func (r *run) loseRegion() {
	name := r.d.Spec.Regions[lostRegionIndex].Name
	r.mu.Lock()
	r.regionLost = true
	r.mu.Unlock()
	r.eachEngine(func(e *engine.Server, region string) {
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

// restoreRegion clears the caches and the faults of the lost region's engines, so that
// they accept requests again, and starts the region's hosts. Once all of these hosts are
// ready, the region's callers use them again.
func (r *run) restoreRegion() {
	name := r.d.Spec.Regions[lostRegionIndex].Name
	r.eachEngine(func(e *engine.Server, region string) {
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
	r.regionLost = false
	r.mu.Unlock()
}

// cutLinks cuts or restores all links between regions.
func (r *run) cutLinks(cut bool) {
	for _, a := range r.d.Spec.Regions {
		for _, b := range r.d.Spec.Regions {
			if a.Name != b.Name {
				r.w.Link.Cut(deployment.LinkName(a.Name, b.Name), cut)
			}
		}
	}
}
