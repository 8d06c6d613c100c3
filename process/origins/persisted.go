package origins

import (
	"context"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"vetchtrail"
)

const (
	// persistingHosts is how many hosts of a region persist the versions of the services: the first one's listing may
	// be older, or it may be lost before it writes.
	persistingHosts = 2
	// persistDelay is how long after its start the first of them persists nothing: until it knows the other hosts, each
	// ranks first. The second waits twice as long, and then finds what the first one wrote.
	persistDelay = 5 * time.Second
	// persistInterval is the pause between two checks of what is to be persisted, unless a listing changes it.
	persistInterval = time.Second
	// storeTimeout bounds a call of the store, and loadTimeout how long a search waits for one.
	storeTimeout = 2 * time.Second
	loadTimeout  = 700 * time.Millisecond
	// loadInterval is the minimum time between two loads, of which the first failed.
	loadInterval = 2 * time.Second
)

// persistence is what this host knows of the persisted versions. The fields are guarded by Origins.mu.
type persistence struct {
	changed  chan struct{} // holds a value if a listing has changed the versions of a service
	loading  chan struct{} // closed when the load under way ends; nil: there is none
	loadedAt time.Time     // when the last load ended
	loaded   bool          // a load has succeeded
	compared bool          // what the store had at the start of this process has been compared with its listings
	dirty    bool          // a listing has changed the versions of a service since the last save
	// saved is what the store has for this host's region, by this host's last call.
	saved []vetchtrail.ServiceVersions
}

// Run persists the software versions of the services while this host is one of those that do so for its region, until
// ctx ends.
func (o *Origins) Run(ctx context.Context) {
	if o.cfg.Store == nil {
		return
	}
	started := time.Now()
	tick := time.NewTicker(persistInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.persistence.changed:
		case <-tick.C:
		}
		rank, ok := o.persistingRank()
		switch age := time.Since(started); {
		case ok && age >= persistDelay*time.Duration(rank+1):
			o.persist(ctx)
		case age > persistDelay*persistingHosts:
			o.setCompared() // by the hosts that ranked first
		}
	}
}

func (o *Origins) setCompared() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.persistence.compared = true
}

// persistingRank returns this host's rank among those that persist the versions for its region.
func (o *Origins) persistingRank() (rank int, ok bool) {
	rank = slices.IndexFunc(o.cfg.Hosts.FirstInRegion(o.cfg.Self.Region, "software versions", persistingHosts), func(h vetchtrail.Host) bool {
		return h.Name == o.cfg.Self.Name
	})
	return rank, rank >= 0
}

// persist saves the versions of the services unless the store has them.
func (o *Origins) persist(ctx context.Context) {
	o.mu.Lock()
	needed := len(o.services) > 0 && (o.persistence.dirty || !o.persistence.compared)
	o.mu.Unlock()
	if !needed || !o.restore(ctx) {
		return
	}
	o.mu.Lock()
	p, versions := &o.persistence, o.toPersist()
	unchanged := !p.dirty && slices.EqualFunc(versions, p.saved, sameVersions)
	p.compared = p.compared || unchanged
	if !unchanged {
		p.dirty = false
	}
	o.mu.Unlock()
	if unchanged {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := o.cfg.Store.SaveVersions(ctx, o.cfg.Self.Region, versions)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		p.dirty = true
		o.cfg.Log.Info("software versions not persisted", "services", len(versions), "error", err)
		return
	}
	p.saved, p.compared = versions, true
}

// toPersist returns the versions of all services: of those without a listed endpoint, what the store has. The caller
// holds the lock.
func (o *Origins) toPersist() []vetchtrail.ServiceVersions {
	var out []vetchtrail.ServiceVersions
	for service, h := range o.services {
		out = append(out, vetchtrail.ServiceVersions{Service: service, Versions: h.versions, Since: h.since})
	}
	for _, v := range o.persistence.saved {
		if _, listed := o.services[v.Service]; !listed {
			out = append(out, v)
		}
	}
	slices.SortFunc(out, func(a, b vetchtrail.ServiceVersions) int { return strings.Compare(a.Service, b.Service) })
	return out
}

// sameVersions reports whether two entries are of the same service and versions. Hosts see a change at different times.
func sameVersions(a, b vetchtrail.ServiceVersions) bool {
	return a.Service == b.Service && slices.Equal(a.Versions, b.Versions)
}

// restore loads the persisted versions once in the life of the process, and takes over since when services have had
// those of its listing. It returns false if they could not be loaded yet. Concurrent calls share a load.
func (o *Origins) restore(ctx context.Context) bool {
	o.mu.Lock()
	p := &o.persistence
	if !p.loaded && p.loading == nil && time.Since(p.loadedAt) >= loadInterval {
		p.loading = make(chan struct{})
		go o.load(p.loading)
	}
	loaded, loading := p.loaded, p.loading
	o.mu.Unlock()
	if loaded || loading == nil {
		return loaded
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-loading:
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return p.loaded
}

// load loads the persisted versions and closes done.
func (o *Origins) load(done chan struct{}) {
	defer close(done)
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	regions, err := o.cfg.Store.LoadVersions(ctx)
	first := len(regions) == 0 && o.allStartedLately(time.Now())
	o.mu.Lock()
	defer o.mu.Unlock()
	o.persistence.loading, o.persistence.loadedAt = nil, time.Now()
	if err != nil {
		o.cfg.Log.Info("persisted software versions not read", "error", err)
		return
	}
	o.persistence.loaded, o.persistence.saved = true, regions[o.cfg.Self.Region]
	configured := o.cfg.Regions()
	maps.DeleteFunc(regions, func(region string, _ []vetchtrail.ServiceVersions) bool { return !slices.Contains(configured, region) })
	for service, h := range o.services {
		if since, ok := singleSince(service, h, regions, first); ok && since.Before(h.since) {
			h.since = since
		}
	}
}

// allStartedLately reports whether no host is known that has run for as long as a stream lasts. Hosts of an older build
// persist nothing, but know what they have listed.
func (o *Origins) allStartedLately(now time.Time) bool {
	for _, region := range o.cfg.Regions() {
		for _, h := range o.cfg.Hosts.FirstInRegion(region, "", math.MaxInt) {
			if time.Unix(0, int64(h.Incarnation)).Before(now.Add(-maxStreamAge)) {
				return false
			}
		}
	}
	return true
}

// singleSince returns since when a service has had the single version of this process's listings, by what the hosts of
// all regions have persisted: those before this process, so that it is no later than the last change before their loss.
// It returns false if they persisted another version, or nothing of the service. The first hosts of a fleet find nothing,
// as there is no stream that another version began.
func singleSince(service string, h *versionHistory, regions map[string][]vetchtrail.ServiceVersions, first bool) (since time.Time, ok bool) {
	if h.changed || !h.single() {
		return time.Time{}, false
	}
	ok = first
	for _, versions := range regions {
		for _, v := range versions {
			if v.Service != service {
				continue
			}
			if !slices.Equal(v.Versions, h.versions) {
				return time.Time{}, false
			}
			ok = true
			if v.Since.After(since) {
				since = v.Since
			}
		}
	}
	return since, ok
}

// findPersisted returns the only version of a service by what is persisted, if this process is too young to know it by
// its listings.
func (o *Origins) findPersisted(ctx context.Context, service string, key uint64) (v vetchtrail.StreamVersion, only bool) {
	o.mu.Lock()
	h, ok := o.services[service]
	young := ok && h.single() && !h.changed && time.Since(h.since) <= maxStreamAge
	o.mu.Unlock()
	if o.cfg.Store == nil || !young || !o.restore(ctx) {
		return vetchtrail.StreamVersion{}, false
	}
	return o.known(service, key, time.Now())
}
