package membership

import (
	"context"
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"vetchtrail"
	"vetchtrail/schema"
)

// RunDigestSwaps swaps digests with remote data centres until ctx ends.
func (m *Membership) RunDigestSwaps(ctx context.Context, p Peers) {
	for {
		m.swapOnce(ctx, p)
		select {
		case <-ctx.Done():
			return
		case <-time.After(m.swapDelay(time.Now())):
		}
	}
}

// swapDelay returns the time until the next swaps. It is discoveryInterval while the
// host has recently started and either has no listing yet or lacks the digest of a
// data centre on it.
func (m *Membership) swapDelay(now time.Time) time.Duration {
	m.mu.Lock()
	listingAwaited := m.cfg.CallsWholeRegion && !m.haveListing
	recentlyStarted := now.Sub(m.startedAt) < discoveryTime
	m.mu.Unlock()
	if recentlyStarted && (listingAwaited || len(m.unknownDataCentres()) > 0) {
		return discoveryInterval
	}
	return SwapInterval
}

// discoveryInterval is the pause between swaps while a data centre on the platform's
// listing is not known: some round trips between regions. Requests that may run only
// in that data centre are refused until it is known.
const discoveryInterval = 250 * time.Millisecond

// discoveryTime is how long after its start a host swaps every discoveryInterval. Data
// centres that it has not found by then are gone or cut off.
const discoveryTime = 10 * time.Second

// unknownDataCentres returns the address of one listed host, at random, for each
// remote data centre without a digest, by data centre. A digest without services does
// not count: its hosts had no configuration and listing yet.
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

// swapOnce swaps digests once with each host of swapTargets. It does not wait for
// the replies.
func (m *Membership) swapOnce(ctx context.Context, p Peers) {
	now := time.Now()
	targets := m.swapTargets(now)
	if len(targets) == 0 {
		return // making the digest goes through all endpoints, and most hosts have no targets
	}
	local := m.localDigest(now)
	for _, t := range targets {
		go func() {
			if err := m.swapWith(ctx, p, t, local); err != nil {
				m.cfg.Log.Debug("digests not swapped", "peer", t.addr, "error", err)
			}
		}()
	}
}

// swapWith swaps digests with one host: first without this data centre's members,
// then with them if the other host requests them.
func (m *Membership) swapWith(ctx context.Context, p Peers, t swapTarget, local *schema.Digest) error {
	sent := time.Now()
	out := &schema.Digests{
		From: m.cfg.Self.Name, Digest: withoutMembers(local), HaveMembers: m.heldMembersHash(t.dataCentre),
		Leaves: m.leavingForRegion(m.regionOf(t.dataCentre), sent),
	}
	reply, err := p.Swap(ctx, t.addr, out)
	if err != nil {
		return err
	}
	m.mergeSwapReply(reply, sent, time.Now())
	if reply.GetWantMembers() {
		out.Digest = local
		_, err = p.Swap(ctx, t.addr, out)
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
// those that this host learned of in the last leavingRelayTime. Only hosts of the same
// region call these endpoints, so other regions are sent none.
func (m *Membership) leavingForRegion(region string, now time.Time) []*schema.EndpointLeaves {
	if region != m.cfg.Self.Region || !m.cfg.CallsWholeRegion {
		return nil
	}
	return m.leavingSince(now.Add(-leavingRelayTime), now)
}

// heldMembersHash returns the hash of the members that this host holds of a data
// centre, 0 if it does not know the data centre.
func (m *Membership) heldMembersHash(dataCentre string) uint32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d, ok := m.remotes[dataCentre]; ok {
		return hashMembers(d.digest.GetMembers())
	}
	return 0
}

// withoutMembers returns a digest with the hash of its members in place of them.
func withoutMembers(d *schema.Digest) *schema.Digest {
	return &schema.Digest{
		DataCentre: d.GetDataCentre(), Region: d.GetRegion(), Sequence: d.GetSequence(), Revision: d.GetRevision(),
		Services: d.GetServices(), AgeMillis: d.GetAgeMillis(), MembersHash: d.GetMembersHash(),
		Newest: d.GetNewest(), NewestHost: d.GetNewestHost(),
	}
}

// swapTarget is a host to swap digests with.
type swapTarget struct {
	dataCentre string // empty if it is not known: a seed or a listed host
	addr       netip.AddrPort
}

// swapTargets picks the hosts to swap digests with: one of each data centre that this
// host is assigned to swap with, one of each unknown data centre on the listing, and one
// unknown seed if no listed data centre is unknown.
func (m *Membership) swapTargets(now time.Time) []swapTarget {
	m.mu.Lock()
	hosts := make(map[string]int, len(m.remotes)) // number of hosts assigned, by data centre
	for name, d := range m.remotes {
		hosts[name] = 1
		if now.Sub(d.digestTime) > standbyAfter {
			hosts[name] = 2
		}
	}
	m.mu.Unlock()
	var out []swapTarget
	for name, n := range hosts {
		if m.IsAssigned("digest "+name, n, now) {
			out = append(out, m.randomHostOf(name)...)
		}
	}
	unknown := m.unknownDataCentres()
	for _, addr := range unknown {
		out = append(out, swapTarget{addr: addr})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if seeds := m.unknownSeeds(); len(seeds) > 0 && len(unknown) == 0 {
		out = append(out, swapTarget{addr: seeds[m.rng.IntN(len(seeds))]})
	}
	return out
}

// randomHostOf returns one host of a data centre at random, or none if its members
// are not held.
func (m *Membership) randomHostOf(dataCentre string) []swapTarget {
	m.mu.Lock()
	defer m.mu.Unlock()
	entries := m.remotes[dataCentre].digest.GetMembers()
	if len(entries) == 0 {
		return nil
	}
	h := hostFromEntry(entries[m.rng.IntN(len(entries))])
	return []swapTarget{{dataCentre, h.PeerAddr}}
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
	for _, s := range sums {
		d.Services = append(d.Services, &schema.ServiceDigest{
			Service: s.Service, Free: uint32(s.Free), Slots: uint32(s.Slots), WaitMillis: millis(s.Wait),
			GapMillis: millis(s.EventInterval),
		})
	}
	return d
}

// HandleDigests handles the digest that a host of a remote data centre sent, and returns
// this data centre's: without members if the sender holds them.
func (m *Membership) HandleDigests(in *schema.Digests) *schema.Digests {
	now := time.Now()
	local := m.localDigest(now)
	if in.GetHaveMembers() == local.GetMembersHash() {
		local = withoutMembers(local)
	}
	m.learnLeaving(in.GetFrom(), in.GetLeaves())
	leaves := m.leavingForRegion(in.GetDigest().GetRegion(), now)
	m.mu.Lock()
	defer m.mu.Unlock()
	introduced := m.introductionsFor(in) // before the digest and its members replace those held
	complete := m.mergeDigest(in.GetDigest(), now, now)
	return &schema.Digests{From: m.cfg.Self.Name, Digest: local, WantMembers: !complete, Introduced: introduced, Leaves: leaves}
}

// mergeSwapReply takes the reply to a swap. Half the time since it was sent is the
// delay to the data centre.
func (m *Membership) mergeSwapReply(in *schema.Digests, sent, now time.Time) {
	m.learnLeaving(in.GetFrom(), in.GetLeaves())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mergeDigest(in.GetDigest(), now, now)
	m.noteIntroduced(in.GetIntroduced())
	if r, ok := m.remotes[in.GetDigest().GetDataCentre()]; ok {
		r.delay = now.Sub(sent) / 2
	}
}

// mergeDigest takes a digest that was made at digestTime, if it is newer than the one
// held. It returns false if the digest came without its members and they are not
// held. The caller holds the lock.
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
		d.Members = r.digest.GetMembers() // of the digest before: most have the same
	}
	r.digest, r.digestTime, r.relayCount = d, digestTime, 0
	r.setComplete(hashMembers(d.GetMembers()) == d.GetMembersHash(), now)
	return r.complete
}

// fillMembers takes the members of a digest that is not newer, if they are those that
// the held digest came without. It returns false if they are still missing.
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

// defaultDelay is assumed to a data centre until one of its hosts replied to a swap
// of this host.
const defaultDelay = 30 * time.Millisecond

// hashMembers hashes the fields of member entries that seldom change: name,
// incarnation and state.
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
