package membership

import (
	"slices"
	"strings"
	"time"

	"vetchtrail"
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

const (
	warmUpStart = 0.2 // warm-up share of a data centre that has just become reachable again
	warmUpStep  = 0.1 // added to the share for each answered forward
)

// AppendRemotes implements vetchtrail.HostTable. It leaves out data centres that do
// not run the service, and those of this host's region if hosts call its endpoints
// directly.
func (m *Membership) AppendRemotes(v *vetchtrail.View, service string, place func(region string) (vetchtrail.RegionID, bool), now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, d := range m.remotes {
		region, ok := place(d.digest.GetRegion())
		summary := d.service(service)
		if !ok || summary == nil || (m.cfg.CallsWholeRegion && d.digest.GetRegion() == m.self.Region) {
			continue
		}
		v.Remotes = append(v.Remotes, vetchtrail.RemoteView{
			DataCentre: name, Region: region, Delay: d.delay,
			TimeToFirstToken: float64(summary.GetWaitMillis()) / 1e3, FreeSlots: int(summary.GetFree()), Slots: int(summary.GetSlots()), InFlight: d.inFlight[service],
			DigestAge: now.Sub(d.digestTime), Reachable: now.Sub(d.digestTime) < reachableFor && len(m.forwardTargets(d, now)) > 0, WarmUpShare: d.warmUpShare,
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
	d, ok := m.remotes[dataCentre]
	if !ok {
		return vetchtrail.Host{}, false
	}
	ready := m.forwardTargets(d, now)
	if len(ready) == 0 {
		return vetchtrail.Host{}, false
	}
	d.inFlight[service]++
	return d.hostOf(drawMember(ready, m.rng.Float64())), true
}

// forwardTargets returns the hosts of a data centre that requests may be forwarded to:
// the ready ones, except those that this host is avoiding. The caller holds the lock.
func (m *Membership) forwardTargets(d *remote, now time.Time) []*schema.Member {
	return slices.DeleteFunc(readyEntries(d.digest.GetMembers()), func(entry *schema.Member) bool {
		return now.Before(m.avoidUntil[entry.GetName()])
	})
}

// ForwardEnded implements vetchtrail.HostTable. Only the loss of the host that the
// request was forwarded to counts against the data centre: the loss of an endpoint that
// the host called must not stop all forwards to the data centre.
func (m *Membership) ForwardEnded(dataCentre, service string, o vetchtrail.Outcome, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d, ok := m.remotes[dataCentre]
	if !ok {
		return
	}
	d.inFlight[service]--
	switch {
	case o.Kind == vetchtrail.OutcomeAnswered:
		d.warmUpShare = min(1, d.warmUpShare+warmUpStep)
	case o.HostLost:
		m.avoidHost(d, o.Peer, now)
	}
}

// avoidHost makes Pick skip a host for avoidTime. If no host of the data centre is left to
// forward to, its warm-up share is reset, as its endpoints may have restarted too. The
// caller holds the lock.
func (m *Membership) avoidHost(d *remote, name string, now time.Time) {
	for avoided, until := range m.avoidUntil {
		if !now.Before(until) {
			delete(m.avoidUntil, avoided)
		}
	}
	m.avoidUntil[name] = now.Add(avoidTime)
	left := len(m.forwardTargets(d, now))
	if left == 0 {
		d.warmUpShare = warmUpStart
	}
	m.cfg.Log.Info("host not reached", "peer", name, "data_centre", d.digest.GetDataCentre(), "until", m.avoidUntil[name], "hosts_left", left)
}
