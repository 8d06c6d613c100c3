package dispatch

import (
	"context"
	"slices"
	"time"

	"vetchtrail"
)

// unknownOriginRetryDelay is when the caller of a stream of unknown origin may try again. It gives hosts
// that have just started, or lost each other, time to meet.
const unknownOriginRetryDelay = time.Second

// versionIndex holds the software versions of the listed endpoints.
type versionIndex struct {
	endpoints []*vetchtrail.Endpoint    // of the listing
	ready     map[servicePlace][]string // versions that take requests in a data centre
}

// servicePlace is a service in a data centre.
type servicePlace struct{ service, dataCentre string }

// newVersionIndex returns the index of a listing's endpoints.
func newVersionIndex(endpoints []*vetchtrail.Endpoint) *versionIndex {
	x := &versionIndex{endpoints: endpoints, ready: map[servicePlace][]string{}}
	for _, e := range endpoints {
		if place := (servicePlace{e.Service, e.DataCentre}); !e.Draining {
			x.ready[place] = appendNew(x.ready[place], e.SoftwareVersion)
		}
	}
	return x
}

// appendNew appends a version unless it is among the versions already.
func appendNew(versions []string, version string) []string {
	if slices.Contains(versions, version) {
		return versions
	}
	return append(versions, version)
}

// listedVersions returns the index of the newest listing; nil: there is no listing.
func (d *Dispatcher) listedVersions() *versionIndex {
	l := d.currentListing()
	if l == nil {
		return nil
	}
	x := d.versions.Load()
	if x == nil || !sameEndpoints(x.endpoints, l.Endpoints) {
		x = newVersionIndex(l.Endpoints)
		d.versions.Store(x)
	}
	return x
}

// sameEndpoints reports whether two listings share their endpoints, as those do that differ in their
// age only.
func sameEndpoints(a, b []*vetchtrail.Endpoint) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// markOtherVersions marks the remote data centres of a view that have no endpoint of the software
// version that began the request's stream.
func (d *Dispatcher) markOtherVersions(v *vetchtrail.View, r *vetchtrail.Request) {
	if !r.StreamVersion.Known || len(v.Remotes) == 0 {
		return
	}
	x := d.listedVersions()
	if x == nil {
		return
	}
	for i := range v.Remotes {
		m := &v.Remotes[i]
		m.OtherVersion = !m.SharesEndpoints && !slices.Contains(x.ready[servicePlace{r.Service, m.DataCentre}], r.StreamVersion.Version)
	}
}

// knowsVersion reports whether the software version is known that began a stream whose first event
// this host has passed on. An older host that ran the request did not report it; then it is set to the
// only version that began streams of the service, if there is one.
func (d *Dispatcher) knowsVersion(r *vetchtrail.Request) bool {
	if r.StreamVersion.Known || r.Route == "" || d.cfg.Origins == nil {
		return true
	}
	r.StreamVersion = d.cfg.Origins.Only(r.Service)
	return r.StreamVersion.Known
}

// findOrigin sets the software version that began the stream that a caller resumes. It returns false with
// the refusal if nobody knows it: an endpoint of another version would write a stream that doesn't fit, and
// one that starts anew would repeat events.
func (d *Dispatcher) findOrigin(ctx context.Context, r *vetchtrail.Request) (vetchtrail.Outcome, bool) {
	if d.cfg.Origins == nil || r.Route == "" || !r.Stream || r.Hops > 0 || r.LastEventID == "" {
		return vetchtrail.Outcome{}, true
	}
	r.StreamVersion = d.cfg.Origins.Find(ctx, r.Service, r.Resumes)
	if r.StreamVersion.Known {
		return vetchtrail.Outcome{}, true
	}
	return d.refusal(vetchtrail.StepDecide, vetchtrail.ReasonUnknownOrigin, time.Now().Add(unknownOriginRetryDelay)), false
}
