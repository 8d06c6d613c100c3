package membership

import (
	"context"
	"net/netip"
	"time"

	"vetchtrail"
	"vetchtrail/schema"
)

// SwapDigests swaps digests with other data centres until ctx ends.
func (m *Membership) SwapDigests(ctx context.Context, p Peers) {
	t := time.NewTicker(SwapTick)
	defer t.Stop()
	for {
		m.SwapOnce(ctx, p)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// SwapOnce swaps digests with a host of each data centre that is this host's
// duty, and with a seed of those not known yet.
func (m *Membership) SwapOnce(ctx context.Context, p Peers) {
	now := time.Now()
	for _, addr := range m.swapTargets(now) {
		out := &schema.Digests{From: m.cfg.Self.Name, Digests: []*schema.Digest{m.ownDigest(now)}}
		go func() {
			sent := time.Now()
			reply, err := p.Swap(ctx, addr, out)
			if err != nil {
				m.cfg.Log.Debug("digest not swapped", "peer", addr, "error", err)
				return
			}
			m.swapped(reply, sent, time.Now())
		}()
	}
}

func (m *Membership) swapTargets(now time.Time) []netip.AddrPort {
	m.mu.Lock()
	names := make([]string, 0, len(m.remotes))
	for name := range m.remotes {
		names = append(names, name)
	}
	m.mu.Unlock()
	var out []netip.AddrPort
	for _, name := range names {
		if m.OnDuty("digest "+name, Owners, now) {
			out = append(out, m.anyOf(name)...)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if seeds := m.unknownSeeds(); len(seeds) > 0 {
		out = append(out, seeds[m.rnd.IntN(len(seeds))])
	}
	return out
}

// anyOf returns the address of one host of a data centre.
func (m *Membership) anyOf(dataCentre string) []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	lines := m.remotes[dataCentre].digest.GetMembers()
	if len(lines) == 0 {
		return nil
	}
	h := hostOf(lines[m.rnd.IntN(len(lines))])
	return []netip.AddrPort{h.Peers}
}

// ownDigest is what this data centre tells the others.
func (m *Membership) ownDigest(now time.Time) *schema.Digest {
	sums := m.cfg.Load.Summaries(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	d := &schema.Digest{
		DataCentre: m.self.DataCentre, Region: m.self.Region,
		Sequence: uint64(now.UnixNano()), Revision: m.cfg.Revision(),
	}
	for _, h := range m.hosts(now) {
		if h.State > vetchtrail.HostLeaving {
			continue
		}
		d.Revision = min(d.Revision, h.Revision)
		d.Members = append(d.Members, lineOf(h, 0))
	}
	for _, s := range sums {
		d.Services = append(d.Services, &schema.ServiceDigest{
			Service: s.Service, Free: uint32(s.Free), Slots: uint32(s.Slots), WaitMillis: millis(s.Wait),
		})
	}
	return d
}

// Swapped takes the digests of a host elsewhere and returns ours.
func (m *Membership) Swapped(in *schema.Digests) *schema.Digests {
	now := time.Now()
	m.mu.Lock()
	for _, d := range in.GetDigests() {
		m.mergeDigest(d, now, now)
	}
	m.mu.Unlock()
	return &schema.Digests{From: m.cfg.Self.Name, Digests: []*schema.Digest{m.ownDigest(now)}}
}

// swapped takes the answer to a swap that was sent at a moment.
func (m *Membership) swapped(in *schema.Digests, sent, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, d := range in.GetDigests() {
		m.mergeDigest(d, now, now)
		if r, ok := m.remotes[d.GetDataCentre()]; ok {
			r.direct = now
			r.delay = now.Sub(sent) / 2
		}
	}
}

// mergeDigest takes a digest if it is newer. The caller holds the lock.
func (m *Membership) mergeDigest(d *schema.Digest, at, now time.Time) {
	name := d.GetDataCentre()
	if name == m.self.DataCentre || name == "" {
		return
	}
	r, ok := m.remotes[name]
	switch {
	case !ok:
		r = &remote{own: map[string]int{}, warmth: 1, delay: defaultDelay}
		m.remotes[name] = r
	case !at.After(r.at):
		return
	case now.Sub(r.at) > reachableFor:
		r.warmth = coldRegion // it was cut off or down: its caches are cold
	}
	r.digest, r.at = d, at
}

// defaultDelay is taken for a link until it was measured.
const defaultDelay = 30 * time.Millisecond

func withAge(d *schema.Digest, age uint32) *schema.Digest {
	return &schema.Digest{
		DataCentre: d.GetDataCentre(), Region: d.GetRegion(), Sequence: d.GetSequence(),
		Revision: d.GetRevision(), Members: d.GetMembers(), Services: d.GetServices(), AgeMillis: age,
	}
}
