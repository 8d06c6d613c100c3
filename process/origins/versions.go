package origins

import (
	"slices"
	"time"

	"vetchtrail"
)

// versionHistory is which software versions this host's listings have shown for a service.
type versionHistory struct {
	versions []string  // of the newest listing
	since    time.Time // since when all listings have shown these versions; zero: since the first one of any host
	changed  bool      // earlier listings of this process have shown others
}

// single reports whether the newest listing shows a single version.
func (h *versionHistory) single() bool { return len(h.versions) == 1 }

// Listed updates the versions of the services by a listing. The origins of streams that began while a service had a
// single version are replicated once it has several.
func (o *Origins) Listed(l *vetchtrail.Listing) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.listed) == len(l.Endpoints) && len(o.listed) > 0 && &o.listed[0] == &l.Endpoints[0] {
		return // listings share the endpoints that did not change
	}
	first := len(o.listed) == 0
	o.listed = l.Endpoints
	for service, versions := range versionsOf(l.Endpoints) {
		h, ok := o.services[service]
		if !ok {
			o.services[service] = &versionHistory{versions: versions, since: now}
			o.persistence.dirty = o.persistence.dirty || !first
			o.signalChange()
			continue
		}
		if slices.Equal(h.versions, versions) {
			continue
		}
		wasSingle := h.single()
		h.versions, h.since, h.changed = versions, now, true
		o.persistence.dirty = true
		o.signalChange()
		if wasSingle {
			go o.replicateAll(service, now)
		}
	}
}

// signalChange has Run persist the versions of the services.
func (o *Origins) signalChange() {
	select {
	case o.persistence.changed <- struct{}{}:
	default:
	}
}

// versionsOf returns the software versions of the endpoints of each service, sorted.
func versionsOf(endpoints []*vetchtrail.Endpoint) map[string][]string {
	out := map[string][]string{}
	for _, e := range endpoints {
		versions := out[e.Service]
		if at, found := slices.BinarySearch(versions, e.SoftwareVersion); !found {
			out[e.Service] = slices.Insert(versions, at, e.SoftwareVersion)
		}
	}
	return out
}

// onlyVersion returns the software version that began each stream of a service that can be resumed, if there has been
// no other for so long. It returns false if the listing may lack endpoints that other hosts know. The caller holds the
// lock.
func (o *Origins) onlyVersion(service string, now time.Time) (string, bool) {
	h, ok := o.services[service]
	if !ok || !h.single() || now.Sub(h.since) <= maxStreamAge {
		return "", false
	}
	l := o.cfg.Listing()
	if l == nil || now.Sub(l.ReadAt) >= o.cfg.KnownWithin {
		return "", false
	}
	return h.versions[0], true
}

// listedSeveral reports whether this host's listings have shown several versions of a service for as long as a stream lasts.
func (o *Origins) listedSeveral(service string, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	h, ok := o.services[service]
	return ok && (!h.single() || h.changed && now.Sub(h.since) <= maxStreamAge)
}

// Only implements vetchtrail.StreamOrigins.
func (o *Origins) Only(service string) vetchtrail.StreamVersion {
	o.mu.Lock()
	defer o.mu.Unlock()
	version, ok := o.onlyVersion(service, time.Now())
	return vetchtrail.StreamVersion{Known: ok, Version: version}
}

// agrees reports whether this host's listings have shown no other version of a service than the one that is said to be
// its only one.
func (o *Origins) agrees(service string, single vetchtrail.StreamVersion) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	h, ok := o.services[service]
	if !ok {
		return true
	}
	return h.single() && h.versions[0] == single.Version && (!h.changed || time.Since(h.since) > maxStreamAge)
}
