package membership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"vetchtrail"
	"vetchtrail/schema"
)

// namedLeast is how many hosts a caller is named at least, where there are so many: some may
// be lost before it asks again.
const namedLeast = 4

// Named returns hosts for a caller at a place to use: of the nearest that serve, each as
// often as its capacity is of the greatest, and so many that some are left when one is lost.
// Hosts of the same capacity are all named.
//
// Callers draw among the hosts that they were named. Where few of a data centre's hosts have many times the
// others' links, naming all alike would send long prompts through narrow links, and split what is known of
// endpoints' loads over more hosts.
func (m *Membership) Named(region, dataCentre string, homes []string, now time.Time) []vetchtrail.Host {
	serving := m.Serving(region, dataCentre, homes, now)
	m.mu.Lock()
	defer m.mu.Unlock()
	return named(serving, m.rnd.Float64)
}

// named draws hosts by their capacities; u returns numbers from 0 to 1.
func named(hosts []vetchtrail.Host, u func() float64) []vetchtrail.Host {
	most := 1.0
	for _, h := range hosts {
		most = max(most, capacityOf(h))
	}
	type drawn struct {
		host vetchtrail.Host
		over float64 // how far the number drawn lies above the host's chance; 0 and less: named
	}
	all := make([]drawn, 0, len(hosts))
	for _, h := range hosts {
		all = append(all, drawn{h, u() - capacityOf(h)/most})
	}
	slices.SortStableFunc(all, func(a, b drawn) int { return cmp.Compare(a.over, b.over) })
	var out []vetchtrail.Host
	for _, d := range all {
		if d.over <= 0 || len(out) < namedLeast {
			out = append(out, d.host)
		}
	}
	return out
}

// capacityOf is a host's capacity; hosts that told none count alike.
func capacityOf(h vetchtrail.Host) float64 { return float64(max(1, h.Capacity)) }

// drawMember returns one of some members, each as often as its capacity is of all of
// theirs; u is from 0 to 1.
func drawMember(lines []*schema.Member, u float64) *schema.Member {
	sum := 0.0
	for _, l := range lines {
		sum += float64(max(1, l.GetCapacity()))
	}
	at := u * sum
	for _, l := range lines {
		if at -= float64(max(1, l.GetCapacity())); at < 0 {
			return l
		}
	}
	return lines[len(lines)-1]
}

// lateness orders hosts for a duty, the least first: the time at which a host would come first if each
// came at a rate of its capacity. That is rendezvous hashing in which a host goes first as often as its
// capacity is of all (Schindelhauer and Schomaker 2005). Duties that many ask for are then not kept behind
// a narrow link.
func lateness(duty string, h *vetchtrail.Host) float64 {
	u := (float64(weigh(duty, h.Name)>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / capacityOf(*h)
}
