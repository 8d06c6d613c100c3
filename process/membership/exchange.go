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

// Peers is how a membership reaches other hosts.
type Peers interface {
	Exchange(ctx context.Context, addr netip.AddrPort, h *schema.Heartbeat) (*schema.Heartbeat, error)
	Swap(ctx context.Context, addr netip.AddrPort, d *schema.Digests) (*schema.Digests, error)
}

// Beat sends heartbeats until ctx ends.
func (m *Membership) Beat(ctx context.Context, p Peers) {
	t := time.NewTicker(Tick)
	defer t.Stop()
	for {
		m.BeatOnce(ctx, p)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// BeatOnce exchanges heartbeats with some hosts of this data centre.
func (m *Membership) BeatOnce(ctx context.Context, p Peers) {
	for _, addr := range m.targets(time.Now()) {
		h := m.heartbeat(addr, time.Now())
		go func() {
			reply, err := p.Exchange(ctx, addr, h)
			if err != nil {
				m.cfg.Log.Debug("heartbeat failed", "peer", addr, "error", err)
				m.notTold(addr)
				return
			}
			m.merge(reply, time.Now())
		}()
	}
}

// notTold makes the next heartbeat to a host a full one.
func (m *Membership) notTold(addr netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, b := range m.members {
		if b.Peers == addr {
			b.forgetTold()
		}
	}
}

// targets picks live members at random, and a seed while some are missing.
func (m *Membership) targets(now time.Time) []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counter++
	var silent []netip.AddrPort
	var live []*member
	for name, b := range m.members {
		switch {
		case now.Sub(b.Heard) > forgetAfter:
			delete(m.members, name)
			delete(m.shorts, b.short)
		case b.state(now) == vetchtrail.HostDead:
			silent = append(silent, b.Peers)
		default:
			live = append(live, b)
		}
	}
	out := m.drawNear(live)
	silent = append(silent, m.unknownSeeds()...)
	silent = append(silent, m.toMeet()...)
	if len(silent) > 0 {
		out = append(out, silent[m.rnd.IntN(len(silent))])
	}
	return out
}

func (m *Membership) unknownSeeds() []netip.AddrPort {
	unknown := make(map[netip.AddrPort]bool, len(m.seeds))
	for _, s := range m.seeds {
		unknown[s] = true
	}
	delete(unknown, m.self.Peers)
	for _, b := range m.members {
		delete(unknown, b.Peers)
	}
	for _, d := range m.remotes {
		hosts := d.all()
		for i := range hosts {
			delete(unknown, hosts[i].Peers)
		}
	}
	return slices.DeleteFunc(slices.Clone(m.seeds), func(s netip.AddrPort) bool { return !unknown[s] })
}

// heartbeat makes the message for a host.
func (m *Membership) heartbeat(to netip.AddrPort, now time.Time) *schema.Heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()

	for _, b := range m.members {
		if b.Peers == to {
			h := m.message(b, now)
			h.Lacks = m.lacksNow(now) // answered at once; in an answer it would be at the next meeting
			return h
		}
	}
	return m.message(nil, now)
}

// message makes a heartbeat. A member is only sent what it wasn't before.
func (m *Membership) message(to *member, now time.Time) *schema.Heartbeat {
	h := &schema.Heartbeat{From: m.self.Name, DataCentre: m.self.DataCentre}
	if to != nil {
		to.told.next()
	}
	self := m.selfNow()
	h.Members = make([]*schema.Member, 0, 1+len(m.members))
	h.Members = append(h.Members, lineFor(to, &self, m.selfShort(), m.counter))
	for _, b := range m.members {
		if b == to || b.state(now) == vetchtrail.HostDead {
			continue
		}
		h.Members = append(h.Members, lineFor(to, &b.Host, b.short, b.counter))
	}
	if to == nil {
		return h
	}
	h.WantFull, to.missing = to.missing, false
	h.Loads = m.loadsFor(&to.told, now)
	h.Rates = m.ratesFor(to, now)
	h.Leaves = m.leavesFor(&to.told, now)
	h.Digests = m.digestsFor(to, now)
	return h
}

// lineFor is short if the member was told of the host in full before.
func lineFor(to *member, h *vetchtrail.Host, short uint32, counter uint64) *schema.Member {
	if to == nil {
		return lineOf(*h, counter)
	}
	if to.told.hosts[short] {
		return &schema.Member{Short: short, Counter: counter, State: uint32(h.State), Revision: h.Revision}
	}
	to.told.hosts[short] = true
	return lineOf(*h, counter)
}

func lineOf(h vetchtrail.Host, counter uint64) *schema.Member {
	return &schema.Member{
		Name: h.Name, Incarnation: h.Incarnation, Counter: counter, State: uint32(h.State),
		Revision: h.Revision, Callers: h.Callers.String(), Peers: h.Peers.String(), Capacity: h.Capacity,
	}
}

// shortOf is the short form of a host's incarnation. Within a data centre two
// of the same are unlikely; a wrong one is mended by the next full message.
func shortOf(name string, incarnation uint64) uint32 {
	return uint32(weigh(name, strconv.FormatUint(incarnation, 16)))
}

// relayedFor is the age up to which hosts that call their whole region's endpoints pass on
// what others told of them: streams run for some seconds, and what waits changes sooner.
const relayedFor = 2 * time.Second

// loadsFor are the reports that this host took since it last told a host of them: those that it
// fetched itself where each endpoint has hosts whose duty that is. Where answers alone tell of loads,
// those of others too: a host of a hundred in its region hears of an endpoint from its own answers once
// in ten seconds, and would decide by old words. What was told is one number a host: remembered for each
// endpoint it would grow as hosts times endpoints.
func (m *Membership) loadsFor(to *told, now time.Time) []*schema.Load {
	var after time.Time
	if m.cfg.WholeRegion {
		after = now.Add(-relayedFor)
	}
	var reports []load.Heard
	reports, to.loads = m.cfg.Load.HeardAfter(to.loads, after)
	var out []*schema.Load
	for _, f := range reports {
		if !m.cfg.WholeRegion && !f.Fetched && !f.Report.Leaving {
			continue
		}
		out = append(out, &schema.Load{
			Endpoint: f.Short, Running: uint32(f.Report.Running), Queued: uint32(f.Report.Queued),
			AgeMillis: millis(now.Sub(f.Report.At)), Leaving: f.Report.Leaving, UpMillis: upMillis(f, now),
		})
	}
	return out
}

// upMillis is how long ago the process of an endpoint started that said something that ends with its life: only of
// those, as all others' would cost more than their loads.
func upMillis(f load.Heard, now time.Time) uint32 {
	if !f.Said || f.Report.Started.IsZero() {
		return 0
	}
	return uint32(min(max(1, now.Sub(f.Report.Started).Milliseconds()), math.MaxUint32))
}

// ratesFor are the rates that endpoints name, and those that were lifted, which a host was not sent
// yet: one that calls none of these endpoints for a while hears of them before it does.
func (m *Membership) ratesFor(to *member, now time.Time) []*schema.EndpointRate {
	var out []*schema.EndpointRate
	for _, l := range m.cfg.Load.Limits() {
		sent, ever := to.told.rates[l.Endpoint]
		same := sent.Limit.Named == l.Limit.Named && sent.Limit.Rate == l.Limit.Rate && sent.Born.Equal(l.Born)
		if (ever && same) || (!ever && !l.Limit.Named) {
			continue
		}
		to.told.rates[l.Endpoint] = l
		out = append(out, schema.FromRateLimit(l.Endpoint, l.Born, l.Limit, now))
	}
	return out
}

// leavesFresh is how long after a host learned that an endpoint leaves it passes that on: with four
// exchanges a tick, each of a hundred hosts has it by then from several others. A host that was told of nothing
// yet, or lost a message, is told of all.
const leavesFresh = 3 * time.Second

// leavesFor are the endpoints whose answers said that they leave, of which a host was not told yet.
func (m *Membership) leavesFor(to *told, now time.Time) []*schema.EndpointLeaves {
	after := to.leaves
	if !after.IsZero() {
		after = vetchtrail.Later(after, now.Add(-leavesFresh))
	}
	to.leaves = now
	return m.leavesAfter(after, now)
}

func (m *Membership) leavesAfter(after, now time.Time) []*schema.EndpointLeaves {
	var out []*schema.EndpointLeaves
	for _, l := range m.cfg.Load.Leavers(after, now) {
		out = append(out, schema.FromLeaves(l.Short, l.Born, l.Said, now))
	}
	return out
}

// learnLeaves takes what another host tells of endpoints that leave.
func (m *Membership) learnLeaves(from string, leaves []*schema.EndpointLeaves) {
	if m.cfg.Notices == nil {
		return
	}
	for _, l := range leaves {
		m.cfg.Notices.Learn(from, l)
	}
}

func millis(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

// Exchanged takes a host's heartbeat and returns ours.
func (m *Membership) Exchanged(h *schema.Heartbeat) *schema.Heartbeat {
	now := time.Now()
	if h.GetDataCentre() != m.cfg.Self.DataCentre {
		// A seed of another data centre: it learns of us by digests.
		return &schema.Heartbeat{From: m.cfg.Self.Name, DataCentre: m.cfg.Self.DataCentre}
	}
	m.merge(h, now)
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.message(m.members[h.GetFrom()], now)
}

// merge takes what is newer in a heartbeat.
func (m *Membership) merge(h *schema.Heartbeat, now time.Time) {
	if h.GetDataCentre() != m.cfg.Self.DataCentre {
		return
	}
	m.mu.Lock()
	whole := true
	for _, line := range h.GetMembers() {
		whole = m.mergeMember(line, now) && whole
	}
	for _, d := range h.GetDigests() {
		m.mergeDigest(d, now.Add(-time.Duration(d.GetAgeMillis())*time.Millisecond), now)
	}
	if from, ok := m.members[h.GetFrom()]; ok {
		from.lacks = h.GetLacks()
		from.missing = from.missing || !whole
		if h.GetWantFull() {
			from.forgetTold()
		}
	}
	m.mu.Unlock()
	for _, l := range h.GetLoads() {
		m.cfg.Load.ReportShort(l.GetEndpoint(), reportOf(l, now), now.Add(leavingFor))
	}
	for _, r := range h.GetRates() {
		if m.cfg.Rates != nil {
			m.cfg.Rates.Learn(r)
		}
	}
	m.learnLeaves(h.GetFrom(), h.GetLeaves())
}

func reportOf(l *schema.Load, now time.Time) vetchtrail.LoadReport {
	r := vetchtrail.LoadReport{
		At:      now.Add(-time.Duration(l.GetAgeMillis()) * time.Millisecond),
		Running: int(l.GetRunning()), Queued: int(l.GetQueued()), Leaving: l.GetLeaving(),
	}
	if up := l.GetUpMillis(); up > 0 {
		r.Started = now.Add(-time.Duration(up) * time.Millisecond)
	}
	return r
}

// mergeMember takes a line if its incarnation or counter is newer. It returns
// false if the line is short and its host not known. The caller holds the lock.
func (m *Membership) mergeMember(line *schema.Member, now time.Time) bool {
	if line.GetShort() != 0 {
		return m.mergeShort(line, now)
	}
	if line.GetName() == m.self.Name {
		if line.GetIncarnation() > m.self.Incarnation {
			m.cfg.Log.Error("another process has this host's name", "host", m.self.Name)
		}
		return true
	}
	b, ok := m.members[line.GetName()]
	switch {
	case !ok || line.GetIncarnation() > b.Incarnation:
		b = &member{digests: map[string]relayed{}}
		m.members[line.GetName()] = b
	case line.GetIncarnation() < b.Incarnation || line.GetCounter() <= b.counter:
		return true
	}
	b.Host = hostOf(line)
	b.Region, b.DataCentre = m.self.Region, m.self.DataCentre
	b.short = shortOf(b.Name, b.Incarnation)
	m.shorts[b.short] = b.Name
	b.hear(line, now)
	return true
}

// mergeShort takes a short line of a host that is known.
func (m *Membership) mergeShort(line *schema.Member, now time.Time) bool {
	if line.GetShort() == m.selfShort() {
		return true
	}
	b, ok := m.members[m.shorts[line.GetShort()]]
	if !ok || b.short != line.GetShort() {
		return false
	}
	if line.GetCounter() > b.counter {
		b.hear(line, now)
	}
	return true
}

func (b *member) hear(line *schema.Member, now time.Time) {
	b.Heard = now
	b.Revision = line.GetRevision()
	b.counter = line.GetCounter()
	b.said = vetchtrail.HostState(line.GetState())
}
