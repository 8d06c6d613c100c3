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

// SwapDigests swaps digests with other data centres until ctx ends.
func (m *Membership) SwapDigests(ctx context.Context, p Peers) {
	for {
		m.SwapOnce(ctx, p)
		select {
		case <-ctx.Done():
			return
		case <-time.After(m.swapPause(time.Now())):
		}
	}
}

// swapPause is short while this host is young and a data centre is to be found, or
// the platform's lists are still to come.
func (m *Membership) swapPause(now time.Time) time.Duration {
	m.mu.Lock()
	awaited := m.cfg.WholeRegion && !m.lists
	young := now.Sub(m.born) < findFor
	m.mu.Unlock()
	if young && (awaited || len(m.unknownCentres()) > 0) {
		return findTick
	}
	return SwapTick
}

// findTick is the pause between swaps while a data centre that the platform lists is
// not known: some round trips between regions. What may only run there is refused
// meanwhile.
const findTick = 250 * time.Millisecond

// findFor is for how long after its start a host looks for data centres so often:
// those that it has not found then are gone or cut off.
const findFor = 10 * time.Second

// unknownCentres returns a listed host of each other data centre that this host has
// no digest of, or one of the time before its hosts held a configuration and lists,
// by data centre.
func (m *Membership) unknownCentres() map[string]netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]netip.AddrPort{}
	found := map[string]int{}
	for _, h := range m.listed {
		d, known := m.remotes[h.DataCentre]
		if (known && len(d.digest.GetServices()) > 0) || h.DataCentre == m.self.DataCentre || !h.Peers.IsValid() {
			continue
		}
		found[h.DataCentre]++
		if m.rnd.IntN(found[h.DataCentre]) == 0 { // each with the same chance
			out[h.DataCentre] = h.Peers
		}
	}
	return out
}

// SwapOnce swaps digests with a host of each data centre that is this host's
// duty, and with a seed of those not known yet.
func (m *Membership) SwapOnce(ctx context.Context, p Peers) {
	now := time.Now()
	targets := m.swapTargets(now)
	if len(targets) == 0 {
		return // the digest sums up all endpoints, and few hosts have the duty
	}
	own := m.ownDigest(now)
	for _, t := range targets {
		go func() {
			if err := m.swapWith(ctx, p, t, own); err != nil {
				m.cfg.Log.Debug("digest not swapped", "peer", t.addr, "error", err)
			}
		}()
	}
}

// swapWith swaps with one host, again with our members if it lacks them.
func (m *Membership) swapWith(ctx context.Context, p Peers, t target, own *schema.Digest) error {
	sent := time.Now()
	out := &schema.Digests{
		From: m.cfg.Self.Name, Digest: withoutMembers(own), HaveMembers: m.membersHash(t.dataCentre),
		Leaves: m.leavesWithin(m.regionOf(t.dataCentre), sent),
	}
	reply, err := p.Swap(ctx, t.addr, out)
	if err != nil {
		return err
	}
	m.swapped(reply, sent, time.Now())
	if reply.GetWantMembers() {
		out.Digest = own
		_, err = p.Swap(ctx, t.addr, out)
	}
	return err
}

// regionOf is a data centre's region as its digest tells; empty: not known.
func (m *Membership) regionOf(dataCentre string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d, ok := m.remotes[dataCentre]; ok {
		return d.digest.GetRegion()
	}
	return ""
}

// leavesWithin are the endpoints that leave of which a data centre of a region is told: of those that this
// host learned of in the last swaps. Other regions call none of them.
func (m *Membership) leavesWithin(region string, now time.Time) []*schema.EndpointLeaves {
	if region != m.cfg.Self.Region || !m.cfg.WholeRegion {
		return nil
	}
	return m.leavesAfter(now.Add(-leavesFresh), now)
}

func (m *Membership) membersHash(dataCentre string) uint32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d, ok := m.remotes[dataCentre]; ok {
		return hashOf(d.digest.GetMembers())
	}
	return 0
}

func withoutMembers(d *schema.Digest) *schema.Digest {
	return &schema.Digest{
		DataCentre: d.GetDataCentre(), Region: d.GetRegion(), Sequence: d.GetSequence(), Revision: d.GetRevision(),
		Services: d.GetServices(), AgeMillis: d.GetAgeMillis(), MembersHash: d.GetMembersHash(),
		Newest: d.GetNewest(), NewestHost: d.GetNewestHost(),
	}
}

// target is a host to swap digests with.
type target struct {
	dataCentre string // empty: a seed, not known yet
	addr       netip.AddrPort
}

func (m *Membership) swapTargets(now time.Time) []target {
	m.mu.Lock()
	hosts := make(map[string]int, len(m.remotes)) // on whom the duty falls, by data centre
	for name, d := range m.remotes {
		hosts[name] = 1
		if now.Sub(d.at) > standby {
			hosts[name] = 2
		}
	}
	m.mu.Unlock()
	var out []target
	for name, n := range hosts {
		if m.OnDuty("digest "+name, n, now) {
			out = append(out, m.anyOf(name)...)
		}
	}
	centres := m.unknownCentres()
	for _, addr := range centres {
		out = append(out, target{addr: addr})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if seeds := m.unknownSeeds(); len(seeds) > 0 && len(centres) == 0 {
		out = append(out, target{addr: seeds[m.rnd.IntN(len(seeds))]})
	}
	return out
}

// anyOf returns one host of a data centre.
func (m *Membership) anyOf(dataCentre string) []target {
	m.mu.Lock()
	defer m.mu.Unlock()
	lines := m.remotes[dataCentre].digest.GetMembers()
	if len(lines) == 0 {
		return nil
	}
	h := hostOf(lines[m.rnd.IntN(len(lines))])
	return []target{{dataCentre, h.Peers}}
}

// ownDigest is what this data centre tells the others.
func (m *Membership) ownDigest(now time.Time) *schema.Digest {
	revision := m.cfg.Revision() // before what it brought about
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
		d.Members = append(d.Members, lineOf(h, 0))
	}
	d.MembersHash = hashOf(d.GetMembers())
	for _, s := range sums {
		d.Services = append(d.Services, &schema.ServiceDigest{
			Service: s.Service, Free: uint32(s.Free), Slots: uint32(s.Slots), WaitMillis: millis(s.Wait),
			GapMillis: millis(s.Gap),
		})
	}
	return d
}

// Swapped takes the digest of a host elsewhere and returns ours.
func (m *Membership) Swapped(in *schema.Digests) *schema.Digests {
	now := time.Now()
	own := m.ownDigest(now)
	if in.GetHaveMembers() == own.GetMembersHash() {
		own = withoutMembers(own)
	}
	m.learnLeaves(in.GetFrom(), in.GetLeaves())
	leaves := m.leavesWithin(in.GetDigest().GetRegion(), now)
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.introduce(in)
	whole := m.mergeDigest(in.GetDigest(), now, now)
	return &schema.Digests{From: m.cfg.Self.Name, Digest: own, WantMembers: !whole, Introduced: known, Leaves: leaves}
}

// swapped takes the answer to a swap that was sent at a moment.
func (m *Membership) swapped(in *schema.Digests, sent, now time.Time) {
	m.learnLeaves(in.GetFrom(), in.GetLeaves())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mergeDigest(in.GetDigest(), now, now)
	m.meet(in.GetIntroduced())
	if r, ok := m.remotes[in.GetDigest().GetDataCentre()]; ok {
		r.delay = now.Sub(sent) / 2
	}
}

// mergeDigest takes a digest if it is newer. It returns false if the digest
// came without its members and they are not held. The caller holds the lock.
func (m *Membership) mergeDigest(d *schema.Digest, at, now time.Time) bool {
	name := d.GetDataCentre()
	if name == m.self.DataCentre || name == "" {
		return true
	}
	r, ok := m.remotes[name]
	switch {
	case !ok:
		r = &remote{own: map[string]int{}, warmth: 1, delay: defaultDelay}
		m.remotes[name] = r
	case !at.After(r.at):
		return r.fillMembers(d, now)
	case now.Sub(r.at) > reachableFor:
		r.warmth = coldRegion // it was cut off or down: its caches are cold
	}
	if len(d.GetMembers()) == 0 && ok {
		d.Members = r.digest.GetMembers() // those told before
	}
	r.digest, r.at, r.passed = d, at, 0
	r.setWhole(hashOf(d.GetMembers()) == d.GetMembersHash(), now)
	return r.whole
}

// fillMembers takes the members of an older digest if they are those that the held
// one came without. It returns false if they are still missing.
func (r *remote) fillMembers(d *schema.Digest, now time.Time) bool {
	held := r.digest
	if hashOf(held.GetMembers()) != held.GetMembersHash() && d.GetMembersHash() == held.GetMembersHash() && len(d.GetMembers()) > 0 {
		held.Members = d.GetMembers()
	}
	r.setWhole(hashOf(held.GetMembers()) == held.GetMembersHash(), now)
	return r.whole
}

// setWhole notes whether the members of the newest digest are held.
func (r *remote) setWhole(whole bool, now time.Time) {
	if r.whole && !whole || r.since.IsZero() {
		r.since = now
	}
	r.whole = whole
}

// defaultDelay is taken for a link over which nothing was answered yet.
const defaultDelay = 30 * time.Millisecond

// hashOf is a hash of what seldom changes of members.
func hashOf(lines []*schema.Member) uint32 {
	var h xxhash.Digest
	h.Reset()
	for _, l := range lines {
		_, _ = h.WriteString(l.GetName())
		_, _ = h.WriteString(strconv.FormatUint(l.GetIncarnation(), 16))
		_, _ = h.WriteString(strconv.FormatUint(uint64(l.GetState()), 16))
	}
	return uint32(h.Sum64())
}
