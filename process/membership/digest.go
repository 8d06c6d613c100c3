package membership

import (
	"context"
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"vetchtrail"
	"vetchtrail/process/load"
	"vetchtrail/schema"
)

// RunDigestExchanges exchanges digests with remote data centres until ctx ends.
func (m *Membership) RunDigestExchanges(ctx context.Context, p Peers) {
	for {
		m.sendDigests(ctx, p)
		select {
		case <-ctx.Done():
			return
		case <-time.After(m.digestPause(time.Now())):
		}
	}
}

// digestPause returns the time until the next digest exchanges. It is discoveryInterval
// while this host has recently started and either has no listing yet or lacks the digest
// of a data centre on the listing.
func (m *Membership) digestPause(now time.Time) time.Duration {
	m.mu.Lock()
	listingAwaited := m.cfg.CallsWholeRegion && !m.haveListing
	recentlyStarted := now.Sub(m.startedAt) < discoveryTime
	m.mu.Unlock()
	if recentlyStarted && (listingAwaited || len(m.unknownDataCentres()) > 0) {
		return discoveryInterval
	}
	return DigestInterval
}

// discoveryInterval is the pause between digest exchanges while the digest of a listed
// data centre is missing: some round trips between regions. Requests that may run only
// in that data centre are refused until then.
const discoveryInterval = 250 * time.Millisecond

// discoveryTime is how long after its start a host exchanges digests every
// discoveryInterval. Data centres that it has not found by then are down or cut off.
const discoveryTime = 10 * time.Second

// unknownDataCentres returns the address of one listed host, at random, for each
// remote data centre without a digest, by data centre. A digest without services does
// not count: the hosts of its data centre had no configuration and listing yet.
func (m *Membership) unknownDataCentres() map[string]netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]netip.AddrPort{}
	found := map[string]int{}
	for _, h := range m.listedHosts {
		d, known := m.remotes[h.DataCentre]
		if (known && len(d.digest.GetServices()) > 0) || h.DataCentre == m.self.DataCentre || !h.PeerAddr.IsValid() {
			continue
		}
		found[h.DataCentre]++
		if m.rng.IntN(found[h.DataCentre]) == 0 { // each host is picked with the same probability
			out[h.DataCentre] = h.PeerAddr
		}
	}
	return out
}

// sendDigests exchanges digests once with each host of digestTargets. It does not wait
// for the replies.
func (m *Membership) sendDigests(ctx context.Context, p Peers) {
	now := time.Now()
	targets := m.digestTargets(now)
	if len(targets) == 0 {
		return // most hosts have no targets, and making the digest iterates over all endpoints
	}
	local := m.localDigest(now)
	for _, t := range targets {
		go func() {
			if err := m.exchangeDigests(ctx, p, t, local); err != nil {
				m.cfg.Log.Debug("digests not exchanged", "peer", t.addr, "error", err)
			}
		}()
	}
}

// exchangeDigests exchanges digests with one host. It sends the digest of this data centre
// without its members first, and with them if the other host then requests them.
func (m *Membership) exchangeDigests(ctx context.Context, p Peers, t digestTarget, local *schema.Digest) error {
	sent := time.Now()
	local = m.digestFor(m.regionOf(t.dataCentre), local)
	out := &schema.Digests{
		From: m.cfg.Self.Name, Digest: withoutMembers(local), HaveMembers: m.heldMembersHash(t.dataCentre),
		Leaves: m.leavingForRegion(m.regionOf(t.dataCentre), sent),
	}
	reply, err := p.ExchangeDigests(ctx, t.addr, out)
	if err != nil {
		return err
	}
	m.mergeDigestReply(reply, sent, time.Now())
	if reply.GetWantMembers() {
		out.Digest = local
		_, err = p.ExchangeDigests(ctx, t.addr, out)
	}
	return err
}

// regionOf returns a data centre's region by its digest; empty if there is no digest.
func (m *Membership) regionOf(dataCentre string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d, ok := m.remotes[dataCentre]; ok {
		return d.digest.GetRegion()
	}
	return ""
}

// leavingForRegion returns the leaving endpoints to send to a data centre of a region:
// those that this host recorded in the last leavingRelayTime. Only hosts of the
// endpoints' own region call them, so other regions are sent none.
func (m *Membership) leavingForRegion(region string, now time.Time) []*schema.EndpointLeaves {
	if region != m.cfg.Self.Region || !m.cfg.CallsWholeRegion {
		return nil
	}
	return m.leavingSince(now.Add(-leavingRelayTime), now)
}

// heldMembersHash returns the hash of the members that this host holds of a data
// centre, 0 if it has no digest of it.
func (m *Membership) heldMembersHash(dataCentre string) uint32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d, ok := m.remotes[dataCentre]; ok {
		return hashMembers(d.digest.GetMembers())
	}
	return 0
}

// withoutMembers returns a copy of a digest that has the hash of the members, but not the
// members.
func withoutMembers(d *schema.Digest) *schema.Digest {
	return &schema.Digest{
		DataCentre: d.GetDataCentre(), Region: d.GetRegion(), Sequence: d.GetSequence(), Revision: d.GetRevision(),
		Services: d.GetServices(), AgeMillis: d.GetAgeMillis(), MembersHash: d.GetMembersHash(),
		Newest: d.GetNewest(), NewestHost: d.GetNewestHost(),
	}
}

// digestTarget is a host to exchange digests with.
type digestTarget struct {
	dataCentre string // empty if it is not known: a seed or a listed host
	addr       netip.AddrPort
}

// digestTargets picks the hosts to exchange digests with: one of each data centre that this
// host is assigned to, and one of each data centre on the listing that has no digest yet.
// If there are none of the latter, it adds one unknown seed.
func (m *Membership) digestTargets(now time.Time) []digestTarget {
	m.mu.Lock()
	hosts := make(map[string]int, len(m.remotes)) // number of hosts assigned, by data centre
	for name, d := range m.remotes {
		hosts[name] = 1
		if now.Sub(d.digestTime) > standbyAfter {
			hosts[name] = 2
		}
	}
	m.mu.Unlock()
	var out []digestTarget
	for name, n := range hosts {
		if m.IsAssigned("digest "+name, n, now) {
			out = append(out, m.randomHostOf(name)...)
		}
	}
	unknown := m.unknownDataCentres()
	for _, addr := range unknown {
		out = append(out, digestTarget{addr: addr})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if seeds := m.unknownSeeds(); len(seeds) > 0 && len(unknown) == 0 {
		out = append(out, digestTarget{addr: seeds[m.rng.IntN(len(seeds))]})
	}
	return out
}

// randomHostOf returns one host of a data centre at random, or none if its members
// are not held.
func (m *Membership) randomHostOf(dataCentre string) []digestTarget {
	m.mu.Lock()
	defer m.mu.Unlock()
	entries := m.remotes[dataCentre].digest.GetMembers()
	if len(entries) == 0 {
		return nil
	}
	h := hostFromEntry(entries[m.rng.IntN(len(entries))])
	return []digestTarget{{dataCentre, h.PeerAddr}}
}

// localDigest makes the digest of this data centre, with its members.
func (m *Membership) localDigest(now time.Time) *schema.Digest {
	revision := m.cfg.Revision() // read before the summaries, which then include its effects
	sums := m.cfg.Load.Summaries(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	d := &schema.Digest{
		DataCentre: m.self.DataCentre, Region: m.self.Region,
		Sequence: uint64(now.UnixNano()), Revision: revision,
	}
	for _, h := range m.hosts(now) {
		if h.State > vetchtrail.HostLeaving {
			continue
		}
		d.Revision = min(d.Revision, h.Revision)
		if h.Revision > d.Newest || d.NewestHost == "" {
			d.Newest, d.NewestHost = h.Revision, h.Name
		}
		d.Members = append(d.Members, fullEntry(h, 0))
	}
	d.MembersHash = hashMembers(d.GetMembers())
	unreachableFrom := m.unreachableFrom(now)
	for _, s := range sums {
		summary := &schema.ServiceDigest{
			Service: s.Service, Free: uint32(s.Free), Slots: uint32(s.Slots), WaitMillis: millis(s.Wait),
			GapMillis: millis(s.EventInterval), UnreachableFrom: unreachableFrom[load.NameHash(s.Service)],
		}
		if m.cfg.Demands != nil {
			m.cfg.Demands.DigestDemand(s.Service, now, summary)
		}
		d.Services = append(d.Services, summary)
	}
	return d
}

// withoutDemands returns a copy of a digest for a data centre of another region, which has no
// use for the demand by class.
func withoutDemands(d *schema.Digest) *schema.Digest {
	out := withoutMembers(d)
	out.Members, out.Services = d.GetMembers(), nil
	for _, s := range d.GetServices() {
		out.Services = append(out.Services, &schema.ServiceDigest{
			Service: s.GetService(), Free: s.GetFree(), Slots: s.GetSlots(), WaitMillis: s.GetWaitMillis(), GapMillis: s.GetGapMillis(), Supply: s.GetSupply(), Asked: s.GetAsked(),
			UnreachableFrom: s.GetUnreachableFrom(),
		})
	}
	return out
}

// digestFor returns the digest of this data centre to send to one of a region; empty: not known.
func (m *Membership) digestFor(region string, local *schema.Digest) *schema.Digest {
	if m.cfg.Demands == nil || region == m.cfg.Self.Region {
		return local
	}
	return withoutDemands(local)
}

// recordDemands passes on the demand in the digest of another data centre, if hosts call the
// endpoints of their whole region and so share them. The caller holds the lock.
func (m *Membership) recordDemands(d *schema.Digest, at time.Time) {
	if m.cfg.Demands == nil || !m.cfg.CallsWholeRegion {
		return
	}
	for _, s := range d.GetServices() {
		m.cfg.Demands.RecordDigest(d.GetRegion(), d.GetDataCentre(), s, at)
	}
}

// HandleDigests handles the digest that a host of a remote data centre sent, and returns
// the digest of this data centre, without members if the sender already holds them.
func (m *Membership) HandleDigests(in *schema.Digests) *schema.Digests {
	now := time.Now()
	local := m.digestFor(in.GetDigest().GetRegion(), m.localDigest(now))
	if in.GetHaveMembers() == local.GetMembersHash() {
		local = withoutMembers(local)
	}
	m.recordLeaving(in.GetFrom(), in.GetLeaves())
	leaves := m.leavingForRegion(in.GetDigest().GetRegion(), now)
	m.mu.Lock()
	defer m.mu.Unlock()
	introduced := m.introductionsFor(in) // before the digest and its members replace those held
	complete := m.mergeDigest(in.GetDigest(), now, now)
	return &schema.Digests{From: m.cfg.Self.Name, Digest: local, WantMembers: !complete, Introduced: introduced, Leaves: leaves}
}

// mergeDigestReply merges the reply to the digest that was sent at the time sent. Half of
// the round trip is recorded as the delay to the other data centre.
func (m *Membership) mergeDigestReply(in *schema.Digests, sent, now time.Time) {
	m.recordLeaving(in.GetFrom(), in.GetLeaves())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mergeDigest(in.GetDigest(), now, now)
	m.recordIntroduced(in.GetIntroduced())
	if r, ok := m.remotes[in.GetDigest().GetDataCentre()]; ok {
		r.delay = now.Sub(sent) / 2
	}
}

// mergeDigest replaces the held digest of a data centre by d, which was made at
// digestTime, if d is newer. It returns false if the members of the newest digest are
// missing: d came without them, and those held differ. The caller holds the lock.
func (m *Membership) mergeDigest(d *schema.Digest, digestTime, now time.Time) bool {
	name := d.GetDataCentre()
	if name == m.self.DataCentre || name == "" {
		return true
	}
	r, ok := m.remotes[name]
	switch {
	case !ok:
		r = &remote{inFlight: map[string]int{}, warmUpShare: 1, delay: defaultDelay}
		m.remotes[name] = r
	case !digestTime.After(r.digestTime):
		return r.fillMembers(d, now)
	case now.Sub(r.digestTime) > reachableFor:
		r.warmUpShare = warmUpStart // it was cut off or down, and its caches are cold
	}
	if len(d.GetMembers()) == 0 && ok {
		d.Members = r.digest.GetMembers() // members seldom change from one digest to the next
	}
	r.digest, r.digestTime, r.relayCount = d, digestTime, 0
	m.recordDemands(d, digestTime)
	r.setComplete(hashMembers(d.GetMembers()) == d.GetMembersHash(), now)
	return r.complete
}

// fillMembers adds members to a held digest that came without them. It takes them from d,
// which is not newer, if the hashes show that both digests have the same members. It
// returns false if the members are still missing.
func (r *remote) fillMembers(d *schema.Digest, now time.Time) bool {
	held := r.digest
	if hashMembers(held.GetMembers()) != held.GetMembersHash() && d.GetMembersHash() == held.GetMembersHash() && len(d.GetMembers()) > 0 {
		held.Members = d.GetMembers()
	}
	r.setComplete(hashMembers(held.GetMembers()) == held.GetMembersHash(), now)
	return r.complete
}

// setComplete records whether the held members are those of the newest digest.
func (r *remote) setComplete(complete bool, now time.Time) {
	if r.complete && !complete || r.incompleteSince.IsZero() {
		r.incompleteSince = now
	}
	r.complete = complete
}

// defaultDelay is the assumed one-way delay to a data centre until one of its hosts has
// replied to a digest from this host.
const defaultDelay = 30 * time.Millisecond

// hashMembers hashes the name, incarnation and state of member entries. The revision is
// left out, as it changes often; the other fields change only with the incarnation.
func hashMembers(entries []*schema.Member) uint32 {
	var h xxhash.Digest
	h.Reset()
	for _, entry := range entries {
		_, _ = h.WriteString(entry.GetName())
		_, _ = h.WriteString(strconv.FormatUint(entry.GetIncarnation(), 16))
		_, _ = h.WriteString(strconv.FormatUint(uint64(entry.GetState()), 16))
	}
	return uint32(h.Sum64())
}
