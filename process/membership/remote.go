package membership

import (
	"slices"
	"strings"
	"time"

	"vetchtrail"
	"vetchtrail/schema"
)

// remote is another data centre.
type remote struct {
	digest *schema.Digest
	hosts  []vetchtrail.Host // its members as last read
	read   []*schema.Member  // from which they were
	at     time.Time         // when the digest was made, by this host's clock
	whole  bool              // its members are those of the digest
	passed int               // to how many hosts it was passed on
	since  time.Time         // when it had not all the digest's members first
	asked  time.Time         // when a host was asked for them last
	delay  time.Duration
	own    map[string]int // this host's forwards in flight, by service
	warmth float64
}

// all returns the data centre's hosts. They are read from its digest once for each digest with other
// members, as most digests have the members of the one before.
func (d *remote) all() []vetchtrail.Host {
	lines := d.digest.GetMembers()
	if len(lines) == 0 {
		return nil
	}
	if len(d.read) != len(lines) || &d.read[0] != &lines[0] {
		d.hosts, d.read = make([]vetchtrail.Host, 0, len(lines)), lines
		for _, line := range lines {
			d.hosts = append(d.hosts, d.host(line))
		}
	}
	return d.hosts
}

// DataCentre is another data centre for operators and decisions.
type DataCentre struct {
	Name      string
	Region    string
	Revision  uint64 // lowest among its hosts
	Heard     time.Time
	Reachable bool
}

// DataCentres returns the other data centres by name.
func (m *Membership) DataCentres(now time.Time) []DataCentre {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]DataCentre, 0, len(m.remotes))
	for name, d := range m.remotes {
		out = append(out, DataCentre{
			Name: name, Region: d.digest.GetRegion(), Revision: d.digest.GetRevision(),
			Heard: d.at, Reachable: now.Sub(d.at) < reachableFor && len(d.digest.GetMembers()) > 0,
		})
	}
	slices.SortFunc(out, func(a, b DataCentre) int { return strings.Compare(a.Name, b.Name) })
	return out
}

const (
	coldRegion = 0.2 // share of a returned data centre's free slots used first
	warmRegion = 0.1 // gained by an answer
)

// Fill implements vetchtrail.Hosts.
func (m *Membership) Fill(v *vetchtrail.View, service string, place func(region string) (vetchtrail.RegionID, bool), now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, d := range m.remotes {
		region, ok := place(d.digest.GetRegion())
		line := d.service(service)
		if !ok || line == nil || (m.cfg.WholeRegion && d.digest.GetRegion() == m.self.Region) {
			continue
		}
		v.Remotes = append(v.Remotes, vetchtrail.RemoteView{
			DataCentre: name, Region: region, Delay: d.delay,
			Wait: float64(line.GetWaitMillis()) / 1e3, Free: int(line.GetFree()), Slots: int(line.GetSlots()), Own: d.own[service],
			Age: now.Sub(d.at), Reachable: now.Sub(d.at) < reachableFor && len(m.takers(d, now)) > 0, Warmth: d.warmth,
			Gap: float64(line.GetGapMillis()) / 1e3,
		})
	}
}

func (d *remote) service(name string) *schema.ServiceDigest {
	for _, line := range d.digest.GetServices() {
		if line.GetService() == name {
			return line
		}
	}
	return nil
}

// Pick returns a ready host of another data centre, each as often as its capacity is of all,
// and counts a forward to it.
func (m *Membership) Pick(dataCentre, service string, now time.Time) (vetchtrail.Host, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d, ok := m.remotes[dataCentre]
	if !ok {
		return vetchtrail.Host{}, false
	}
	ready := m.takers(d, now)
	if len(ready) == 0 {
		return vetchtrail.Host{}, false
	}
	d.own[service]++
	return d.host(drawMember(ready, m.rnd.Float64())), true
}

// takers returns the hosts of a data centre that may be passed requests: the ready
// ones but for those that this host lately failed to reach. The caller holds the lock.
func (m *Membership) takers(d *remote, now time.Time) []*schema.Member {
	return slices.DeleteFunc(readyOf(d.digest.GetMembers()), func(line *schema.Member) bool {
		return now.Before(m.avoid[line.GetName()])
	})
}

// Returned counts a forward's end and learns from it. Only the loss of the host that
// it was passed to says anything of the way there: an endpoint that is lost behind it
// must not take its whole data centre out of use.
func (m *Membership) Returned(dataCentre, service string, o vetchtrail.Outcome, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d, ok := m.remotes[dataCentre]
	if !ok {
		return
	}
	d.own[service]--
	switch {
	case o.Kind == vetchtrail.Answered:
		d.warmth = min(1, d.warmth+warmRegion)
	case o.HostLost:
		m.hostLost(d, o.Peer, now)
	}
}

// hostLost passes nothing to a host for a while. A data centre of which none is left
// comes back with a part of its load, as its endpoints may be as new. The caller
// holds the lock.
func (m *Membership) hostLost(d *remote, name string, now time.Time) {
	for old, until := range m.avoid {
		if !now.Before(until) {
			delete(m.avoid, old)
		}
	}
	m.avoid[name] = now.Add(unreachedTime)
	left := len(m.takers(d, now))
	if left == 0 {
		d.warmth = coldRegion
	}
	m.cfg.Log.Info("host not reached", "peer", name, "data_centre", d.digest.GetDataCentre(), "until", m.avoid[name], "hosts_left", left)
}
