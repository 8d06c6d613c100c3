package membership

import (
	"slices"
	"strings"
	"time"

	"vetchtrail"
	"vetchtrail/process/load"
	"vetchtrail/schema"
)

// remote is the state that this host holds of a remote data centre.
type remote struct {
	digest           *schema.Digest    // the newest, with the newest members that are held
	hosts            []vetchtrail.Host // cached by allHosts
	hostsFrom        []*schema.Member  // entries that hosts was decoded from
	digestTime       time.Time         // when the digest was made, by this host's clock
	complete         bool              // whether the held members are those of the newest digest
	relayCount       int               // number of hosts that the digest was relayed to
	incompleteSince  time.Time         // when complete last became false; initially, when the first digest was received
	membersRequested time.Time         // when this host last requested the members
	delay            time.Duration     // one way
	inFlight         map[string]int    // forwards in flight from this host, by service
	warmUpShare      float64           // share of the free slots that this host uses
}

// allHosts returns the data centre's hosts. It decodes the digest's entries only if the
// members were replaced, as successive digests mostly share them. The caller holds the
// lock and must not change the hosts.
func (d *remote) allHosts() []vetchtrail.Host {
	entries := d.digest.GetMembers()
	if len(entries) == 0 {
		return nil
	}
	if len(d.hostsFrom) != len(entries) || &d.hostsFrom[0] != &entries[0] {
		d.hosts, d.hostsFrom = make([]vetchtrail.Host, 0, len(entries)), entries
		for _, entry := range entries {
			d.hosts = append(d.hosts, d.hostOf(entry))
		}
	}
	return d.hosts
}

// DataCentre is the state of a remote data centre, as operators see it.
type DataCentre struct {
	Name       string
	Region     string
	Revision   uint64    // lowest among its hosts
	DigestTime time.Time // when its newest digest was made
	Reachable  bool      // whether the digest is new enough and some of its hosts are known
}

// DataCentres returns the remote data centres, sorted by name.
func (m *Membership) DataCentres(now time.Time) []DataCentre {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]DataCentre, 0, len(m.remotes))
	for name, d := range m.remotes {
		out = append(out, DataCentre{
			Name: name, Region: d.digest.GetRegion(), Revision: d.digest.GetRevision(),
			DigestTime: d.digestTime, Reachable: now.Sub(d.digestTime) < reachableFor && len(d.digest.GetMembers()) > 0,
		})
	}
	slices.SortFunc(out, func(a, b DataCentre) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// localDelay is the assumed one-way delay between two hosts of a data centre.
const localDelay = time.Millisecond

const (
	warmUpStart = 0.2 // warm-up share of a data centre that has just become reachable again
	warmUpStep  = 0.1 // added to the share for each answered forward
)

// AppendRemotes implements vetchtrail.HostTable. It leaves out data centres that do
// not run the service. Those whose hosts call the same endpoints as this host, its own among
// them, are only of use for endpoints that this host doesn't reach.
func (m *Membership) AppendRemotes(v *vetchtrail.View, service string, place func(region string) (vetchtrail.RegionID, bool), now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if region, ok := place(m.self.Region); ok && v.ViaPeers > 0 {
		v.Remotes = append(v.Remotes, vetchtrail.RemoteView{
			DataCentre: m.self.DataCentre, Region: region, Delay: localDelay, SharesEndpoints: true, Reachable: len(m.readyPeers(service, now)) > 0,
		})
	}
	for name, d := range m.remotes {
		region, ok := place(d.digest.GetRegion())
		if ok && m.cfg.CallsWholeRegion && d.digest.GetRegion() == m.self.Region {
			if v.ViaPeers > 0 {
				v.Remotes = append(v.Remotes, vetchtrail.RemoteView{
					DataCentre: name, Region: region, Delay: d.delay, SharesEndpoints: true,
					Reachable: now.Sub(d.digestTime) < reachableFor && len(m.forwardTargets(d, service, now)) > 0,
				})
			}
			continue
		}
		summary := d.service(service)
		if !ok || summary == nil {
			continue
		}
		v.Remotes = append(v.Remotes, vetchtrail.RemoteView{
			DataCentre: name, Region: region, Delay: d.delay,
			TimeToFirstToken: float64(summary.GetWaitMillis()) / 1e3, FreeSlots: int(summary.GetFree()), Slots: int(summary.GetSlots()), InFlight: d.inFlight[service],
			DigestAge: now.Sub(d.digestTime), Reachable: now.Sub(d.digestTime) < reachableFor && len(m.forwardTargets(d, service, now)) > 0, WarmUpShare: d.warmUpShare,
			EventInterval: float64(summary.GetGapMillis()) / 1e3,
		})
	}
}

// service returns the digest's summary of a service, or nil.
func (d *remote) service(name string) *schema.ServiceDigest {
	for _, summary := range d.digest.GetServices() {
		if summary.GetService() == name {
			return summary
		}
	}
	return nil
}

// Pick implements vetchtrail.HostTable. It draws the host among the data centre's
// ready ones, with probabilities in proportion to their capacities.
func (m *Membership) Pick(dataCentre, service string, now time.Time) (vetchtrail.Host, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if dataCentre == m.self.DataCentre {
		ready := m.readyPeers(service, now)
		if len(ready) == 0 {
			return vetchtrail.Host{}, false
		}
		return drawByCapacity(ready, capacityOf, m.rng.Float64()), true
	}
	d, ok := m.remotes[dataCentre]
	if !ok {
		return vetchtrail.Host{}, false
	}
	ready := m.forwardTargets(d, service, now)
	if len(ready) == 0 {
		return vetchtrail.Host{}, false
	}
	d.inFlight[service]++
	return d.hostOf(drawMember(ready, m.rng.Float64())), true
}

// readyPeers returns the other hosts of this data centre that requests for a service may be forwarded to: the ready
// ones that reach its endpoints, except those that this host is avoiding, sorted by name. The caller holds the lock.
func (m *Membership) readyPeers(service string, now time.Time) []vetchtrail.Host {
	hash := load.NameHash(service)
	var out []vetchtrail.Host
	for _, b := range m.members {
		if b.state(now) == vetchtrail.HostReady && !slices.Contains(b.unreachable, hash) && !m.avoids(b.Name, service, now) {
			out = append(out, b.Host)
		}
	}
	slices.SortFunc(out, func(a, b vetchtrail.Host) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// forwardTargets returns the hosts of a remote data centre that requests for a service may be forwarded to: the ready
// ones that reach its endpoints, except those that this host is avoiding. The caller holds the lock.
func (m *Membership) forwardTargets(d *remote, service string, now time.Time) []*schema.Member {
	unreachableFrom := d.service(service).GetUnreachableFrom()
	return slices.DeleteFunc(readyEntries(d.digest.GetMembers()), func(entry *schema.Member) bool {
		if m.avoids(entry.GetName(), service, now) {
			return true
		}
		return len(unreachableFrom) > 0 && slices.Contains(unreachableFrom, shortIDOf(entry.GetName(), entry.GetIncarnation()))
	})
}

// avoided is a host that nothing is forwarded to for a while, or nothing for one service.
type avoided struct{ host, service string } // service: empty for all

// avoids reports whether this host is avoiding another one for a service. The caller holds the lock.
func (m *Membership) avoids(host, service string, now time.Time) bool {
	return len(m.avoidUntil) > 0 && (now.Before(m.avoidUntil[avoided{host: host}]) || now.Before(m.avoidUntil[avoided{host, service}]))
}

// ForwardEnded implements vetchtrail.HostTable. Only the loss of the host that the
// request was forwarded to counts against the data centre: the loss of an endpoint that
// the host called must not stop all forwards to the data centre.
func (m *Membership) ForwardEnded(dataCentre, service string, o vetchtrail.Outcome, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o.Kind == vetchtrail.OutcomeNotRun && o.Step == vetchtrail.StepDecide && o.Reason == vetchtrail.ReasonUnreachable {
		m.avoid(avoided{o.Peer, service}, now.Add(avoidServiceTime), now)
	}
	if o.Kind == vetchtrail.OutcomeNotRun && o.Reason == vetchtrail.ReasonLeaving {
		m.avoid(avoided{host: o.Peer}, now.Add(avoidTime), now) // until its state is known from elsewhere
	}
	if dataCentre == m.self.DataCentre && o.HostLost {
		m.avoid(avoided{host: o.Peer}, now.Add(avoidTime), now)
		m.logLostHost(o.Peer, dataCentre, len(m.readyPeers(service, now)))
	}
	d, ok := m.remotes[dataCentre]
	if !ok {
		return
	}
	d.inFlight[service]--
	switch {
	case o.Kind == vetchtrail.OutcomeAnswered:
		d.warmUpShare = min(1, d.warmUpShare+warmUpStep)
	case o.HostLost:
		m.avoid(avoided{host: o.Peer}, now.Add(avoidTime), now)
		left := len(m.forwardTargets(d, service, now))
		if left == 0 {
			d.warmUpShare = warmUpStart // its endpoints may have restarted too
		}
		m.logLostHost(o.Peer, dataCentre, left)
	}
}

// logLostHost logs that a forward to a host was lost.
func (m *Membership) logLostHost(name, dataCentre string, left int) {
	m.cfg.Log.Info("host not reached", "peer", name, "data_centre", dataCentre, "until", m.avoidUntil[avoided{host: name}], "hosts_left", left)
}

// avoid makes Pick skip a host until a time, for all services or one. The caller holds the lock.
func (m *Membership) avoid(a avoided, until, now time.Time) {
	for other, end := range m.avoidUntil {
		if !now.Before(end) {
			delete(m.avoidUntil, other)
		}
	}
	m.avoidUntil[a] = until
}
