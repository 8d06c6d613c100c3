package membership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"vetchtrail"
	"vetchtrail/schema"
)

// minDrawn is the minimum number of hosts that a caller is given, if there are as many:
// some may be lost before the caller requests hosts again.
const minDrawn = 4

// HostsForCaller returns hosts for a caller to use. It draws at least minDrawn of those of
// NearestReady, each with the probability of its capacity divided by the greatest capacity.
// Hosts of the same capacity are all returned.
//
// Callers pick at random among the hosts that they are given. Where a few hosts of a data
// centre have links many times as wide as the others', returning all hosts would send long
// prompts through narrow links. It would also spread the endpoints' load reports, which
// come with responses, over more hosts.
func (m *Membership) HostsForCaller(region, dataCentre string, homes []string, now time.Time) []vetchtrail.Host {
	serving := m.NearestReady(region, dataCentre, homes, now)
	m.mu.Lock()
	defer m.mu.Unlock()
	return drawHosts(serving, m.rng.Float64)
}

// drawHosts draws hosts by their capacities. random returns numbers from 0 to 1.
func drawHosts(hosts []vetchtrail.Host, random func() float64) []vetchtrail.Host {
	greatest := 1.0
	for _, h := range hosts {
		greatest = max(greatest, capacityOf(h))
	}
	type draw struct {
		host   vetchtrail.Host
		excess float64 // random number less the host's probability; drawn if it is 0 or less
	}
	all := make([]draw, 0, len(hosts))
	for _, h := range hosts {
		all = append(all, draw{h, random() - capacityOf(h)/greatest})
	}
	slices.SortStableFunc(all, func(a, b draw) int { return cmp.Compare(a.excess, b.excess) })
	var out []vetchtrail.Host
	for _, d := range all {
		if d.excess <= 0 || len(out) < minDrawn {
			out = append(out, d.host)
		}
	}
	return out
}

// capacityOf returns a host's capacity, 1 if the host reported none: such hosts weigh
// the same.
func capacityOf(h vetchtrail.Host) float64 { return float64(max(1, h.Capacity)) }

// drawMember returns one of the member entries, each with a probability in proportion to its
// capacity. random is a number from 0 to 1.
func drawMember(entries []*schema.Member, random float64) *schema.Member {
	return drawByCapacity(entries, func(entry *schema.Member) float64 { return float64(max(1, entry.GetCapacity())) }, random)
}

// drawByCapacity returns one of several hosts, each with a probability in proportion to its
// capacity. random is a number from 0 to 1.
func drawByCapacity[T any](hosts []T, capacity func(T) float64, random float64) T {
	sum := 0.0
	for _, h := range hosts {
		sum += capacity(h)
	}
	remaining := random * sum
	for _, h := range hosts {
		if remaining -= capacity(h); remaining < 0 {
			return h
		}
	}
	return hosts[len(hosts)-1]
}

// rankKey returns the number that hosts are sorted by for a task, the smallest first. The
// hash of the task and the host is turned into an exponentially distributed number whose
// rate is the host's capacity. A host then ranks first for a share of the tasks that equals
// its share of the capacity: weighted rendezvous hashing (Schindelhauer and Schomaker 2005).
// So tasks that make many other hosts send queries are seldom assigned to a host with a
// narrow link. An exponent above 1 shifts a task further to the hosts with much capacity; it
// makes no difference among hosts of the same capacity.
func rankKey(task string, h *vetchtrail.Host, exponent float64) float64 {
	u := (float64(hashPair(task, h.Name)>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / math.Pow(capacityOf(*h), exponent)
}

// heavyTaskExponent is the exponent of heavy tasks: a host with a tenth of another one's capacity
// ranks before it once in a thousand times, so that it does so seldom even where such hosts are
// twenty times as many.
const heavyTaskExponent = 3

// RankHosts sorts hosts by their rank for a heavy task, as all hosts rank each other. Simulations use it.
func RankHosts(task string, hosts []vetchtrail.Host) {
	slices.SortFunc(hosts, func(a, b vetchtrail.Host) int {
		return cmp.Compare(rankKey(task, &a, heavyTaskExponent), rankKey(task, &b, heavyTaskExponent))
	})
}
