//go:build !race

package quarantines

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// agreementTime is how long after the end of a partition all hosts must have the entries of the
// partitioned region.
const agreementTime = 30 * time.Second

// partitionAndHeal sends the poison request in a partitioned region, where all hosts must then have
// quarantined it, and ends the partition. From then on, losesExchange decides which exchanges of
// entries are lost. Nothing is persisted. partitionAndHeal returns the hosts that haven't
// quarantined the request in the end.
func partitionAndHeal(t *testing.T, seed uint64, losesExchange func(from, to string) (message, reply bool)) (without []string) {
	t.Helper()
	withFleet(t, "no persistence", seed, func(t *testing.T, f *fleet) {
		healed := false
		f.locked(func() {
			f.losesExchange = func(from, to string) (bool, bool) {
				if !healed {
					return false, false
				}
				return losesExchange(from, to)
			}
			f.partitioned[regionCount-1] = true
		})
		time.Sleep(healthyAfter)
		inside := f.hosts[len(f.hosts)-hostsPerRegion:]
		for range 60 {
			inside[f.random(hostsPerRegion)].request(poisonRequest(), true)
			time.Sleep(100 * time.Millisecond)
		}
		for _, h := range inside {
			_, quarantined := h.q.Quarantined(poisonRequest())
			assert.Assert(t, quarantined, "%s hasn't quarantined it", h.host.Name)
		}
		f.locked(func() { f.partitioned[regionCount-1], healed = false, true })
		time.Sleep(agreementTime)
		for _, h := range f.hosts {
			if _, quarantined := h.q.Quarantined(poisonRequest()); !quarantined {
				without = append(without, h.host.Name)
			}
		}
	})
	return without
}

// TestOneExchangeLost guards against an entry that some host never receives because one exchange was
// lost. It loses each single exchange after a partition in turn, either its message or its reply.
func TestOneExchangeLost(t *testing.T) {
	exchanges := 0
	count := func(string, string) (bool, bool) { exchanges++; return false, false }
	assert.Equal(t, len(partitionAndHeal(t, 1, count)), 0)
	t.Logf("%d exchanges in %s", exchanges, agreementTime)
	for lost := range exchanges {
		for _, reply := range []bool{false, true} {
			n := 0
			without := partitionAndHeal(t, 1, func(string, string) (bool, bool) {
				n++
				return n-1 == lost && !reply, n-1 == lost && reply
			})
			assert.Equal(t, len(without), 0, "exchange %d lost, only its reply: %t: %v", lost, reply, without)
		}
	}
}

// TestAllExchangesLostBetween guards against an entry that some host receives over one path only. For
// each pair of hosts, it loses all exchanges that one starts with the other; and for each host, all
// that it starts.
func TestAllExchangesLostBetween(t *testing.T) {
	var names []string
	for r := range regionCount {
		for n := range hostsPerRegion {
			names = append(names, fmt.Sprintf("h-%d-%d", r, n))
		}
	}
	for _, a := range names {
		for _, b := range append(names, "") {
			if a == b {
				continue
			}
			without := partitionAndHeal(t, 1, func(from, to string) (bool, bool) { return from == a && (b == "" || to == b), false })
			assert.Equal(t, len(without), 0, "%s never reaches %q: %v", a, b, without)
		}
	}
}
