package ratelimits

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"vetchtrail"
	"vetchtrail/process/quotas"
	"vetchtrail/schema"
)

// hostView is the network as one host sees it. It implements Peers and quotas.Hosts.
type hostView struct {
	f *fleet
	h *host
}

// reaches reports whether messages pass between two hosts. It must be called with f.mu locked.
func (f *fleet) reaches(a, b *host) bool { return a.partition == b.partition }

// RequestRateLimitLease implements Peers.
func (v hostView) RequestRateLimitLease(ctx context.Context, addr netip.AddrPort, m *schema.PermitRequest) (*schema.PermitReply, error) {
	v.f.mu.Lock()
	v.f.sent++
	at := slices.IndexFunc(v.f.hosts, func(h *host) bool { return h.PeerAddr == addr })
	to := v.f.hosts[at]
	lost := !v.f.reaches(v.h, to) || v.f.rnd.Float64() < 0.01
	transit, limits := v.f.delay(), to.limits
	v.f.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, errors.Wrap(ctx.Err(), "message lost")
	}
	time.Sleep(transit)
	reply := limits.HandleLeaseRequest(m)
	time.Sleep(transit)
	return reply, ctx.Err()
}

// delay returns a random transit time for a message within the region. It must be called with f.mu
// locked.
func (f *fleet) delay() time.Duration {
	if f.rnd.IntN(50) == 0 {
		return time.Duration(f.rnd.IntN(250)) * time.Millisecond
	}
	return time.Duration(1+f.rnd.IntN(8)) * time.Millisecond
}

// countsAsAlive reports whether host b counts as alive at host a, which lags behind changes. It must
// be called with f.mu locked.
func (f *fleet) countsAsAlive(a, b *host, now time.Time) bool {
	if a == b {
		return true
	}
	recentlyReached := a.previousPartition == b.previousPartition && now.Sub(b.changedAt) < livenessLag && now.Sub(a.changedAt) < livenessLag
	return f.reaches(a, b) || recentlyReached
}

// FirstInRegion implements quotas.Hosts.
func (v hostView) FirstInRegion(_, task string, n int, now time.Time) []vetchtrail.Host {
	v.f.mu.Lock()
	defer v.f.mu.Unlock()
	var out []vetchtrail.Host
	for _, h := range v.f.hosts {
		if v.f.countsAsAlive(v.h, h, now) && (v.f.disabled != guardSharedOwner || h == v.h) {
			out = append(out, h.Host)
		}
	}
	slices.SortFunc(out, func(a, b vetchtrail.Host) int {
		return compare(xxhash.Sum64String(task+a.Name), xxhash.Sum64String(task+b.Name))
	})
	return out[:min(n, len(out))]
}

// compare orders two different hashes.
func compare(a, b uint64) int {
	if a < b {
		return -1
	}
	return 1
}

// Count implements quotas.Hosts.
func (v hostView) Count() int { return len(v.f.hosts) }

// SeenShare implements quotas.Hosts.
func (v hostView) SeenShare(now time.Time) float64 {
	v.f.mu.Lock()
	defer v.f.mu.Unlock()
	if v.f.disabled == guardSharedOwner || v.f.disabled == guardSeenShare {
		return 1
	}
	seen := 0
	for _, h := range v.f.hosts {
		if v.f.countsAsAlive(v.h, h, now) {
			seen++
		}
	}
	return float64(seen) / float64(len(v.f.hosts))
}

var _ quotas.Hosts = hostView{}
