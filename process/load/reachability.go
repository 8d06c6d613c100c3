package load

import (
	"cmp"
	"log/slog"
	"slices"
	"strings"
	"time"

	"vetchtrail"
)

const (
	// minPathFailures is the number of a service's endpoints that have to be unreachable, while none is reached, for
	// the path to them to count as lost. With fewer endpoints, all have to be.
	minPathFailures = 8
	// pathLostFor is how long a path counts as lost without a further failure: several probes.
	pathLostFor = 3 * time.Second
	// suspectFailures is the number of unreachable endpoints from which the others are probed. A single one may have
	// failed by itself.
	suspectFailures = 2
	// reachedFor is how long an endpoint counts as reached after this host last reached it.
	reachedFor = time.Second
	// maxProbes bounds the probes of a service that are started at once.
	maxProbes = 8
	// lostProbeInterval is the interval between two probes of a service of which this host reaches no endpoint.
	lostProbeInterval = 500 * time.Millisecond
	// probeLead is how long before the end of its back-off an endpoint is probed: the longest time that a connection
	// takes to fail. Otherwise a request would be the next to find out.
	probeLead = 800 * time.Millisecond
	// maxOthersReportAge is the age up to which another host's load report shows that it reaches the endpoint. Reports
	// are relayed each half second while the endpoint is in use.
	maxOthersReportAge = 3 * time.Second
	// suspectProbeInterval is the least interval between two probes of an endpoint that went silent or lost responses.
	suspectProbeInterval = time.Second
)

// path is what this host's connections show of the network between it and the endpoints of a service. While it counts
// as lost, none of them is used from here; other hosts may reach them.
type path struct {
	lostSince time.Time // when it last began to count as lost
	lostUntil time.Time // until when it counts as lost
	probedAt  time.Time // when an endpoint was last probed as the path was lost
	next      int       // index of the endpoint to probe next
}

// lost reports whether the path counts as lost.
func (p *path) lost(now time.Time) bool { return now.Before(p.lostUntil) }

// reachability is what this host's connections show of one endpoint.
type reachability struct {
	reachedAt        time.Time // when a connection last succeeded, or a response last began
	connectFailedAt  time.Time // when a connection last failed
	unreachableSince time.Time // when a connection first failed since the endpoint was last reached; zero: none did
	warmUpBefore     float64   // warm-up share before the first failure
	ejectedAt        time.Time // when it was last ejected
	suspectedAt      time.Time // when it was last silent or lost a response; zero: since the last probe it did neither
	probedAt         time.Time // when the last probe began
	probing          bool
	probeNow         bool // it is to be probed at once
}

// SetLog sets the logger of what changes in the endpoints' reachability. Without it, nothing is logged.
func (t *Table) SetLog(log *slog.Logger) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.log = log
}

// Evidence by which an endpoint counts as reachable again.
const (
	byConnection = "connection"
	byResponse   = "response"
	byOwnReport  = "load report"
)

// RecordConnectFailure records that a connection of this host to an endpoint failed.
func (t *Table) RecordConnectFailure(e vetchtrail.Endpoint, now time.Time, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.instance(e.Name, e.Born); ok {
		s.reach.probing = false
		t.recordConnectFailure(s, now, err)
	}
}

// RecordConnected records that this host opened a connection to an endpoint.
func (t *Table) RecordConnected(e vetchtrail.Endpoint, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.instance(e.Name, e.Born)
	if !ok {
		return
	}
	s.reach.probing, s.reach.suspectedAt, s.reach.reachedAt = false, time.Time{}, now
	t.recordReached(s, byConnection, now, now)
}

// recordReached records that this host opened a connection to an endpoint, or sent it a request that was answered, at a
// time. The caller holds the lock.
func (t *Table) recordReached(s *endpointState, by string, at, now time.Time) {
	if at.Before(s.reach.connectFailedAt) {
		return // on a connection from before
	}
	t.recordReachable(s, by, now)
	if p := &t.serviceStats[s.Service].path; p.lost(now) {
		p.lostUntil = time.Time{}
		t.restorePath(s.Service, now)
	}
}

// recordConnectFailure takes an endpoint out of use because a connection to it failed, for a time that doubles with
// each failure in a row. The caller holds the lock.
func (t *Table) recordConnectFailure(s *endpointState, now time.Time, err error) {
	until := now.Add(min(minConnectBackOff<<min(s.connectFailuresInRow, maxConnectBackOffDoublings), maxConnectBackOff))
	s.connectFailuresInRow++
	t.recordUnreachable(s, until, now, err)
}

// recordUnreachable takes an endpoint out of use because a connection to it failed. The caller holds the lock.
func (t *Table) recordUnreachable(s *endpointState, until, now time.Time, err error) {
	if s.reach.unreachableSince.IsZero() {
		s.reach.unreachableSince, s.reach.warmUpBefore = now, s.warmUp
	}
	s.reach.connectFailedAt = now
	s.backOff(vetchtrail.ReasonUnreachable, until)
	s.warmUp = initialWarmUp
	t.toProbe[s.Service] = true
	countConnectFailure(s.Service)
	t.log.Info("endpoint unreachable", "endpoint", s.Name, "service", s.Service, "failures", s.connectFailuresInRow,
		"since", s.reach.unreachableSince, "until", until, "error", err)
	t.recordPathFailure(s, now)
}

// recordPathFailure finds out whether the path to the service's endpoints is lost, after a connection failed. The caller
// holds the lock.
func (t *Table) recordPathFailure(s *endpointState, now time.Time) {
	p := &t.serviceStats[s.Service].path
	unreachable, reached, all := t.countReached(s.Service, now)
	if reached > 0 || unreachable < max(1, min(minPathFailures, all)) {
		return
	}
	if !p.lost(now) {
		p.lostSince = now
		t.log.Warn("no endpoint reachable", "service", s.Service, "unreachable", unreachable)
		t.wake(s.Service)
	}
	p.lostUntil = now.Add(pathLostFor)
}

// countReached returns how many endpoints of a service are unreachable, how many others this host reached lately, and
// how many there are, without those that are leaving. The caller holds the lock.
func (t *Table) countReached(service string, now time.Time) (unreachable, reached, all int) {
	for _, s := range t.services[service] {
		switch {
		case s.isLeaving(now):
			continue
		case !s.reach.unreachableSince.IsZero():
			unreachable++
		case now.Sub(s.reach.reachedAt) < reachedFor:
			reached++
		}
		all++
	}
	return unreachable, reached, all
}

// recordReachable ends that an endpoint counts as unreachable. If another host reached it meanwhile, it did not
// restart and needs no warm-up. The caller holds the lock.
func (t *Table) recordReachable(s *endpointState, by string, now time.Time) {
	if s.reach.unreachableSince.IsZero() {
		return
	}
	countReachableAgain(s.Service, by)
	t.log.Info("endpoint reachable again", "endpoint", s.Name, "service", s.Service, "by", by, "after", now.Sub(s.reach.unreachableSince))
	if s.reachedByOthers(now) {
		s.warmUp = s.reach.warmUpBefore
	}
	s.reach.unreachableSince, s.connectFailuresInRow = time.Time{}, 0
	if s.backOffReason == vetchtrail.ReasonUnreachable {
		s.backOffUntil = time.Time{}
	}
	t.wake(s.Service)
}

// restorePath undoes what the loss of the path did to the endpoints of a service, now that one of them is reachable
// again: those that failed are probed at once, and failures that led to ejections were not theirs. The caller holds the
// lock.
func (t *Table) restorePath(service string, now time.Time) {
	p := &t.serviceStats[service].path
	t.log.Info("endpoints reachable again", "service", service, "after", now.Sub(p.lostSince))
	for _, s := range t.services[service] {
		s.reach.probeNow = !s.reach.unreachableSince.IsZero()
		if s.reach.ejectedAt.After(p.lostSince.Add(-pathLostFor)) {
			s.ejectedUntil, s.ejections, s.reach.warmUpBefore = time.Time{}, 0, 1
		}
		s.failuresInRow = 0
	}
	t.wake(service)
}

// reachedByOthers reports whether another host received a load report from the endpoint lately, since this host's
// connections to it fail.
func (s *endpointState) reachedByOthers(now time.Time) bool {
	since := s.reach.unreachableSince
	return !since.IsZero() && s.hasReport && !s.receivedHere && s.report.TakenAt.After(since) && now.Sub(s.report.TakenAt) < maxOthersReportAge
}

// suspect has an endpoint probed that went silent or lost a response. The caller holds the lock.
func (t *Table) suspect(s *endpointState, now time.Time) {
	s.reach.suspectedAt = now
	t.toProbe[s.Service] = true
}

// EndpointsToProbe returns the endpoints to which a connection should be tried now, and marks them as being probed
// until RecordConnected or RecordConnectFailure is called.
func (t *Table) EndpointsToProbe(now time.Time) []vetchtrail.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []vetchtrail.Endpoint
	for service := range t.toProbe {
		svc, ok := t.serviceStats[service]
		if !ok || len(t.services[service]) == 0 {
			delete(t.toProbe, service)
			continue
		}
		if svc.path.lost(now) {
			out = t.appendLostProbe(out, service, now)
			continue
		}
		out = t.appendProbes(out, service, now)
	}
	return out
}

// appendLostProbe appends the next endpoint of a service of which this host reaches none. The caller holds the lock.
func (t *Table) appendLostProbe(out []vetchtrail.Endpoint, service string, now time.Time) []vetchtrail.Endpoint {
	p, states := &t.serviceStats[service].path, t.services[service]
	if now.Sub(p.probedAt) < lostProbeInterval {
		return out
	}
	p.probedAt = now
	for range states {
		s := states[p.next%len(states)]
		p.next++
		if !s.reach.probing && !s.isLeaving(now) {
			return append(out, s.beginProbe(now))
		}
	}
	return out
}

// appendProbes appends the endpoints of a service whose probe is due, and others if connections to several failed.
// Without any left to probe, the service is no longer looked at. The caller holds the lock.
func (t *Table) appendProbes(out []vetchtrail.Endpoint, service string, now time.Time) []vetchtrail.Endpoint {
	p, states := &t.serviceStats[service].path, t.services[service]
	unreachable, reached, _ := t.countReached(service, now)
	probeOthers := unreachable >= suspectFailures && unreachable >= reached
	pending, left := probeOthers, maxProbes
	p.next++ // begins with other endpoints each time
	for i := range states {
		s := states[(i+p.next)%len(states)]
		pending = pending || !s.reach.unreachableSince.IsZero() || !s.reach.suspectedAt.IsZero()
		if left == 0 || s.reach.probing || s.isLeaving(now) {
			continue
		}
		if s.probeDue(now) || probeOthers && s.reach.unreachableSince.IsZero() && now.Sub(s.reach.reachedAt) >= reachedFor {
			out = append(out, s.beginProbe(now))
			left--
		}
	}
	if !pending {
		delete(t.toProbe, service)
	}
	return out
}

// probeDue reports whether an endpoint that counts as unreachable, or that is suspected, should be probed.
func (s *endpointState) probeDue(now time.Time) bool {
	if s.reach.unreachableSince.IsZero() {
		return !s.reach.suspectedAt.IsZero() && now.Sub(s.reach.probedAt) >= suspectProbeInterval
	}
	return s.reach.probeNow || !now.Before(s.backOffUntil.Add(-probeLead)) || s.reachedByOthers(now) && now.Sub(s.reach.connectFailedAt) >= minConnectBackOff
}

func (s *endpointState) beginProbe(now time.Time) vetchtrail.Endpoint {
	s.reach.probing, s.reach.probeNow, s.reach.probedAt, s.reach.suspectedAt = true, false, now, time.Time{}
	return s.Endpoint
}

// UnreachableServices returns the hashes of the names (NameHash) of the services of which this host reaches no
// endpoint, in ascending order.
func (t *Table) UnreachableServices(now time.Time) []uint32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []uint32
	for service := range t.toProbe {
		if svc, ok := t.serviceStats[service]; ok && svc.path.lost(now) {
			out = append(out, NameHash(service))
		}
	}
	slices.Sort(out)
	return out
}

// ReachesNothing reports whether this host has lost its path to a service for the given time, and reached no endpoint of
// any service in it.
func (t *Table) ReachesNothing(now time.Time, lostFor time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	lost := false
	for service := range t.toProbe {
		svc, ok := t.serviceStats[service]
		lost = lost || ok && svc.path.lost(now) && now.Sub(svc.path.lostSince) >= lostFor
	}
	if !lost {
		return false
	}
	for _, s := range t.endpoints {
		if now.Sub(s.reach.reachedAt) < lostFor {
			return false
		}
	}
	return true
}

// OtherEndpoints returns up to n endpoints other than the named one, of any service, the last reached first.
func (t *Table) OtherEndpoints(name string, n int, now time.Time) []vetchtrail.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	others := make([]*endpointState, 0, len(t.endpoints))
	for _, s := range t.endpoints {
		if s.Name != name && !s.isLeaving(now) {
			others = append(others, s)
		}
	}
	slices.SortFunc(others, func(a, b *endpointState) int {
		return cmp.Or(b.reach.reachedAt.Compare(a.reach.reachedAt), strings.Compare(a.Name, b.Name))
	})
	var out []vetchtrail.Endpoint
	for _, s := range others[:min(n, len(others))] {
		out = append(out, s.Endpoint)
	}
	return out
}
