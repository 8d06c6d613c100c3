package membership

import (
	"context"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"vetchtrail"
	"vetchtrail/process/load"
	"vetchtrail/schema"
)

// Peers calls other hosts at their peer addresses.
type Peers interface {
	// ExchangeHeartbeats sends a heartbeat and returns the other host's.
	ExchangeHeartbeats(ctx context.Context, addr netip.AddrPort, h *schema.Heartbeat) (*schema.Heartbeat, error)
	// ExchangeDigests sends the digest of this data centre and returns the digest of the other
	// host's data centre.
	ExchangeDigests(ctx context.Context, addr netip.AddrPort, d *schema.Digests) (*schema.Digests, error)
}

// RunHeartbeats sends heartbeats now and at each HeartbeatInterval until ctx ends.
func (m *Membership) RunHeartbeats(ctx context.Context, p Peers) {
	t := time.NewTicker(HeartbeatInterval)
	defer t.Stop()
	for {
		m.sendHeartbeats(ctx, p)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// sendHeartbeats exchanges heartbeats with some hosts of this data centre, and
// with one host that is dead or not known yet. It does not wait for the replies.
func (m *Membership) sendHeartbeats(ctx context.Context, p Peers) {
	for _, addr := range m.heartbeatTargets(time.Now()) {
		h := m.heartbeatTo(addr, time.Now())
		go func() {
			reply, err := p.ExchangeHeartbeats(ctx, addr, h)
			if err != nil {
				m.cfg.Log.Debug("heartbeat not exchanged", "peer", addr, "error", err)
				m.sendInFull(addr)
				return
			}
			m.mergeReply(reply, time.Now())
		}()
	}
}

// informedHeartbeats is how many heartbeats a host has sent when it has run for long enough to know the rate limits of
// the endpoints: each host that receives one reports it within two of them.
const informedHeartbeats = uint64(load.StartingTime / HeartbeatInterval)

// mergeReply applies the reply to a heartbeat. With the earlier ones it has all the rate limits that the other host knows.
func (m *Membership) mergeReply(reply *schema.Heartbeat, now time.Time) {
	m.merge(reply, now)
	m.mu.Lock()
	from, ok := m.members[reply.GetFrom()]
	informed := ok && from.counter >= informedHeartbeats
	m.mu.Unlock()
	if informed {
		m.cfg.Load.EndStarting(now)
	}
}

// sendInFull makes the next heartbeat to the host at addr a full one, and has that host send a full one too. After a failed
// exchange neither knows what the other has received.
func (m *Membership) sendInFull(addr netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, b := range m.members {
		if b.PeerAddr == addr {
			b.resetSent()
			b.wantFull = true
		}
	}
}

// heartbeatTargets picks the hosts to send heartbeats to: some gossip peers, and one
// address of a dead member, an unknown seed or an introduced host. It increments this
// host's heartbeat counter and removes members without a newer heartbeat for
// forgetAfter.
func (m *Membership) heartbeatTargets(now time.Time) []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counter++
	var probes []netip.AddrPort
	var live []*member
	for name, b := range m.members {
		switch {
		case now.Sub(b.LastSeen) > forgetAfter:
			delete(m.members, name)
			delete(m.namesByShortID, b.shortID)
		case b.state(now) == vetchtrail.HostDead:
			probes = append(probes, b.PeerAddr)
		default:
			live = append(live, b)
		}
	}
	m.liveHosts.Store(int64(1 + len(live)))
	m.regionHosts.Store(int64(1 + len(live) + m.remoteRegionHosts(now)))
	m.regionCount.Store(int64(m.countRegion()))
	out := m.drawGossipPeers(live)
	probes = append(probes, m.unknownSeeds()...)
	probes = append(probes, m.pendingIntroduced()...)
	if len(probes) > 0 {
		out = append(out, probes[m.rng.IntN(len(probes))])
	}
	return out
}

// unknownSeeds returns the seeds at whose addresses no host is known. The caller
// holds the lock.
func (m *Membership) unknownSeeds() []netip.AddrPort {
	unknown := make(map[netip.AddrPort]bool, len(m.seeds))
	for _, s := range m.seeds {
		unknown[s] = true
	}
	delete(unknown, m.self.PeerAddr)
	for _, b := range m.members {
		delete(unknown, b.PeerAddr)
	}
	for _, d := range m.remotes {
		hosts := d.allHosts()
		for i := range hosts {
			delete(unknown, hosts[i].PeerAddr)
		}
	}
	return slices.DeleteFunc(slices.Clone(m.seeds), func(s netip.AddrPort) bool { return !unknown[s] })
}

// heartbeatTo makes the heartbeat that starts an exchange with the host at an
// address.
func (m *Membership) heartbeatTo(to netip.AddrPort, now time.Time) *schema.Heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()

	for _, b := range m.members {
		if b.PeerAddr == to {
			h := m.newHeartbeat(b, now)
			// Set only here, not in replies: the other host sends the requested
			// members in its reply. After a request in a reply, they would arrive
			// only with the next exchange.
			h.Lacks = m.membersToRequest(now)
			return h
		}
	}
	return m.newHeartbeat(nil, now)
}

// newHeartbeat makes a heartbeat to a member. It has the entries of this host and of all
// members that are not dead, except the receiver: short ones where the receiver was sent the
// full entry before. All else in it is what the receiver was not sent before. For a host
// that is not known (nil), it has full entries and requests a full reply: an earlier one may
// have been lost. The caller holds the lock.
func (m *Membership) newHeartbeat(to *member, now time.Time) *schema.Heartbeat {
	h := &schema.Heartbeat{From: m.self.Name, DataCentre: m.self.DataCentre}
	if to != nil {
		to.sentState.startMessage()
	}
	m.updateUnreachable(now)
	self := m.selfAt(now)
	h.Members = make([]*schema.Member, 0, 1+len(m.members))
	h.Members = append(h.Members, entryFor(to, &self, m.selfShortID(), m.counter, m.unreachable))
	for _, b := range m.members {
		if b == to || b.state(now) == vetchtrail.HostDead {
			continue
		}
		h.Members = append(h.Members, entryFor(to, &b.Host, b.shortID, b.counter, b.unreachable))
	}
	if to == nil {
		h.WantFull = true
		return h
	}
	h.WantFull, to.wantFull = to.wantFull, false
	h.Loads = m.loadsFor(&to.sentState, now)
	h.Rates = m.rateLimitsFor(to, now)
	h.Leaves = m.leavingFor(&to.sentState, now)
	h.Digests = m.relaysFor(to, now)
	if m.cfg.Demands != nil {
		h.Demands = m.cfg.Demands.HeartbeatDemands(now)
	}
	return h
}

// entryFor returns a host's entry to send to a member: a short one, which identifies the
// host by its short ID, if the member was sent the full one before.
func entryFor(to *member, h *vetchtrail.Host, shortID uint32, counter uint64, unreachable []uint32) *schema.Member {
	if to != nil && to.sentState.shortIDs[shortID] {
		return &schema.Member{Short: shortID, Counter: counter, State: uint32(h.State), Revision: h.Revision, Unreachable: unreachable}
	}
	if to != nil {
		to.sentState.shortIDs[shortID] = true
	}
	entry := fullEntry(*h, counter)
	entry.Unreachable = unreachable
	return entry
}

// fullEntry returns a host's entry with all that is reported of it.
func fullEntry(h vetchtrail.Host, counter uint64) *schema.Member {
	return &schema.Member{
		Name: h.Name, Incarnation: h.Incarnation, Counter: counter, State: uint32(h.State),
		Revision: h.Revision, Callers: h.CallerAddr.String(), Peers: h.PeerAddr.String(), Capacity: h.Capacity,
	}
}

// shortIDOf returns the short ID of a host: a hash of its name and incarnation
// that replaces both in short entries. A collision within a data centre is
// unlikely, and the next full heartbeat corrects its effects.
func shortIDOf(name string, incarnation uint64) uint32 {
	return uint32(hashPair(name, strconv.FormatUint(incarnation, 16)))
}

// maxRelayedReportAge is the age up to which load reports are sent where hosts call
// the endpoints of their whole region. Streams run for some seconds and queues
// change sooner, so an older report is outdated.
const maxRelayedReportAge = 2 * time.Second

// loadsFor returns the load reports that this host has received since its last heartbeat
// to another host.
//
// Where hosts are assigned to poll the endpoints, it returns only the reports that this
// host received itself, and those of leaving endpoints. Where load reports come only with
// responses (Config.CallsWholeRegion), it also returns those that other hosts relayed: one
// of a hundred hosts in a region may get a response from an endpoint only once in ten
// seconds, and would decide by outdated reports.
//
// What was sent is recorded as one sequence number for each host. A record for each
// endpoint would take memory in proportion to hosts times endpoints.
func (m *Membership) loadsFor(to *sentState, now time.Time) []*schema.Load {
	var after time.Time
	if m.cfg.CallsWholeRegion {
		after = now.Add(-maxRelayedReportAge)
	}
	var reports []load.ReportEntry
	reports, to.loadsUpTo = m.cfg.Load.ReportsAfter(to.loadsUpTo, after, now)
	var out []*schema.Load
	for _, r := range reports {
		if !m.cfg.CallsWholeRegion && !r.ReceivedHere && !r.Report.Leaving {
			continue
		}
		out = append(out, &schema.Load{
			Endpoint: r.NameHash, Running: uint32(r.Report.Running), Queued: uint32(r.Report.Queued),
			AgeMillis: millis(now.Sub(r.Report.TakenAt)), Leaving: r.Report.Leaving, UpMillis: uptimeMillis(r, now),
			Slowdown: percent(r.Report.Slowdown), Speed: percent(r.Speed), SpeedCount: uint32(r.SpeedCount),
		})
	}
	return out
}

// percent returns a multiple in whole percent.
func percent(multiple float64) uint32 { return uint32(math.Round(100 * multiple)) }

// uptimeMillis returns how long an endpoint's process has run, or 0 to omit the field.
// The uptime is sent only for endpoints that have announced that they leave or pause, so
// that other hosts notice a restart, which ends the announcement. For all endpoints it
// would cost more bytes than the loads.
func uptimeMillis(r load.ReportEntry, now time.Time) uint32 {
	if !r.EverAnnounced || r.Report.StartedAt.IsZero() {
		return 0
	}
	return uint32(min(max(1, now.Sub(r.Report.StartedAt).Milliseconds()), math.MaxUint32))
}

// rateLimitsFor returns the rate limits of endpoints that a host was not sent yet: new,
// changed and lifted ones. A host that has sent such an endpoint no requests for a while
// then has the limit before it sends the next one.
func (m *Membership) rateLimitsFor(to *member, now time.Time) []*schema.EndpointRate {
	var out []*schema.EndpointRate
	for _, l := range m.cfg.Load.RateLimits() {
		sent, known := to.sentState.rateLimits[l.Endpoint]
		same := sent.Limit.Advertised == l.Limit.Advertised && sent.Limit.Rate == l.Limit.Rate && sent.StartedAt.Equal(l.StartedAt)
		if (known && same) || (!known && !l.Limit.Advertised) {
			continue
		}
		to.sentState.rateLimits[l.Endpoint] = l
		out = append(out, schema.FromRateLimit(l.Endpoint, l.StartedAt, l.Limit, now))
	}
	return out
}

// leavingRelayTime is how long a host relays that an endpoint is leaving, from when
// it recorded that. A host takes part in about four exchanges each HeartbeatInterval, so
// each of a hundred hosts is sent it by several others within this time. A full heartbeat
// has all leaving endpoints.
const leavingRelayTime = 3 * time.Second

// leavingFor returns the endpoints that announced that they are leaving, except those that
// were already sent to a host.
func (m *Membership) leavingFor(to *sentState, now time.Time) []*schema.EndpointLeaves {
	after := to.leavingUpTo
	if !after.IsZero() {
		after = vetchtrail.Later(after, now.Add(-leavingRelayTime))
	}
	to.leavingUpTo = now
	return m.leavingSince(after, now)
}

// leavingSince returns the leaving endpoints that this host recorded after a time.
func (m *Membership) leavingSince(after, now time.Time) []*schema.EndpointLeaves {
	var out []*schema.EndpointLeaves
	for _, l := range m.cfg.Load.LeavingAfter(after, now) {
		out = append(out, schema.FromLeaving(l.NameHash, l.StartedAt, l.FirstAnnouncedAt, now))
	}
	return out
}

// recordLeaving passes on the leaving endpoints that the host named from reported.
func (m *Membership) recordLeaving(from string, leaves []*schema.EndpointLeaves) {
	if m.cfg.LeavingEndpoints == nil {
		return
	}
	for _, l := range leaves {
		m.cfg.LeavingEndpoints.RecordFromPeer(from, l)
	}
}

// millis returns a duration in whole milliseconds, 0 for a negative one.
func millis(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

// HandleHeartbeat handles another host's heartbeat and returns this host's.
func (m *Membership) HandleHeartbeat(h *schema.Heartbeat) *schema.Heartbeat {
	now := time.Now()
	if h.GetDataCentre() != m.cfg.Self.DataCentre {
		// The sender has this host as a seed. Hosts of different data centres
		// find each other by digests.
		return &schema.Heartbeat{From: m.cfg.Self.Name, DataCentre: m.cfg.Self.DataCentre}
	}
	m.merge(h, now)
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newHeartbeat(m.members[h.GetFrom()], now)
}

// merge applies what is newer in a received heartbeat.
func (m *Membership) merge(h *schema.Heartbeat, now time.Time) {
	if h.GetDataCentre() != m.cfg.Self.DataCentre {
		return
	}
	m.mu.Lock()
	resolved := true
	for _, entry := range h.GetMembers() {
		resolved = m.mergeEntry(entry, now) && resolved
	}
	for _, d := range h.GetDigests() {
		m.mergeDigest(d, now.Add(-time.Duration(d.GetAgeMillis())*time.Millisecond), now)
	}
	if from, ok := m.members[h.GetFrom()]; ok {
		from.lacksMembersOf = h.GetLacks()
		from.wantFull = from.wantFull || !resolved
		if h.GetWantFull() {
			from.resetSent()
		}
	}
	m.mu.Unlock()
	for _, l := range h.GetLoads() {
		m.cfg.Load.RecordReportByHash(l.GetEndpoint(), loadReportOf(l, now), now.Add(leavingReportTTL))
		m.cfg.Load.RecordPeerSpeed(h.GetFrom(), l.GetEndpoint(), float64(l.GetSpeed())/100, int(l.GetSpeedCount()), now)
	}
	for _, r := range h.GetRates() {
		if m.cfg.RateLimits != nil {
			m.cfg.RateLimits.RecordFromPeer(r)
		}
	}
	m.recordLeaving(h.GetFrom(), h.GetLeaves())
	if m.cfg.Demands != nil && len(h.GetDemands()) > 0 {
		m.cfg.Demands.RecordHeartbeat(h.GetFrom(), h.GetDemands(), now)
	}
}

// loadReportOf decodes a load report that was received at the time now.
func loadReportOf(l *schema.Load, now time.Time) vetchtrail.LoadReport {
	r := vetchtrail.LoadReport{
		TakenAt: now.Add(-time.Duration(l.GetAgeMillis()) * time.Millisecond),
		Running: int(l.GetRunning()), Queued: int(l.GetQueued()), Leaving: l.GetLeaving(), Slowdown: float64(l.GetSlowdown()) / 100,
	}
	if up := l.GetUpMillis(); up > 0 {
		r.StartedAt = now.Add(-time.Duration(up) * time.Millisecond)
	}
	return r
}

// mergeEntry applies a host's entry if its incarnation or counter is newer. It returns
// false if the entry is short and its host is not known. The caller holds the lock.
func (m *Membership) mergeEntry(entry *schema.Member, now time.Time) bool {
	if entry.GetShort() != 0 {
		return m.mergeShortEntry(entry, now)
	}
	if entry.GetName() == m.self.Name {
		if entry.GetIncarnation() > m.self.Incarnation {
			m.cfg.Log.Error("another process has this host's name", "host", m.self.Name)
		}
		return true
	}
	b, ok := m.members[entry.GetName()]
	switch {
	case !ok || entry.GetIncarnation() > b.Incarnation:
		b = &member{relayed: map[string]relayState{}}
		m.members[entry.GetName()] = b
	case entry.GetIncarnation() < b.Incarnation || entry.GetCounter() <= b.counter:
		return true
	}
	b.Host = hostFromEntry(entry)
	b.Region, b.DataCentre = m.self.Region, m.self.DataCentre
	b.shortID = shortIDOf(b.Name, b.Incarnation)
	m.namesByShortID[b.shortID] = b.Name
	b.update(entry, now)
	return true
}

// mergeShortEntry applies a short entry if its counter is newer. It returns false if
// its host is not known. The caller holds the lock.
func (m *Membership) mergeShortEntry(entry *schema.Member, now time.Time) bool {
	if entry.GetShort() == m.selfShortID() {
		return true
	}
	b, ok := m.members[m.namesByShortID[entry.GetShort()]]
	if !ok || b.shortID != entry.GetShort() {
		return false
	}
	if entry.GetCounter() > b.counter {
		b.update(entry, now)
	}
	return true
}

// update applies the fields that short and full entries have in common. The caller has
// checked that the entry is newer than the last one.
func (b *member) update(entry *schema.Member, now time.Time) {
	b.LastSeen = now
	b.Revision = entry.GetRevision()
	b.counter = entry.GetCounter()
	b.reported = vetchtrail.HostState(entry.GetState())
	b.unreachable = entry.GetUnreachable()
}
