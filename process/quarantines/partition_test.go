//go:build !race

package quarantines

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestReportsAfterPartition guards against a poison request that some host has not
// quarantined 30 seconds after a partition, although it crashed three endpoints. This happens if
// the partition began before the hosts of the region had discovered each other: each is then its own
// aggregator and counts only its own crashes, which are too few. The hosts have to report their
// crashes again when they discover other aggregators, as the caller may have stopped by then.
// Without that, with a caller that retries every second or two, 8 to 68 of a hundred runs failed.
// Lost exchanges aren't the cause: TestOneExchangeLost and TestAllExchangesLostBetween show that all
// hosts receive an existing entry within this time.
func TestReportsAfterPartition(t *testing.T) {
	cases := map[string]time.Duration{"every second": time.Second, "every 1.5 s": 1500 * time.Millisecond, "every 2 s": 2 * time.Second}
	for name, interval := range cases {
		t.Run(name, func(t *testing.T) {
			counted := 0
			for seed := range uint64(30) {
				without, crashes := poisonIsolatedHosts(t, seed, interval)
				if crashes < 3 {
					continue
				}
				counted++
				assert.Equal(t, len(without), 0, "seed %d: %v, %d crashes", seed, without, crashes)
			}
			assert.Assert(t, counted > 10, "%d runs with three crashes", counted)
		})
	}
}

// poisonIsolatedHosts sends the poison request to two hosts of a partitioned region that haven't
// discovered each other. They do when the partition ends. It returns the hosts that don't have the
// request quarantined in the end, and the number of crashes.
func poisonIsolatedHosts(t *testing.T, seed uint64, interval time.Duration) (without []string, crashes int) {
	t.Helper()
	withFleet(t, "no persistence", seed, func(_ *testing.T, f *fleet) {
		none := func(string, string) (bool, bool) { return false, false }
		f.locked(func() { f.losesExchange, f.partitioned[regionCount-1], f.isolated = none, true, true })
		inside := f.hosts[len(f.hosts)-hostsPerRegion:]
		stopped := inside[hostsPerRegion-1]
		stopped.kill()
		time.Sleep(hostTimeout + time.Second)
		for began := time.Now(); time.Since(began) < 6*time.Second; {
			inside[f.random(hostsPerRegion-1)].request(poisonRequest(), true)
			time.Sleep(interval)
		}
		f.locked(func() { f.partitioned[regionCount-1], f.isolated = false, false })
		time.Sleep(agreementTime)
		for _, h := range f.hosts {
			if _, quarantined := h.q.Quarantined(poisonRequest()); !quarantined && h != stopped {
				without = append(without, h.host.Name)
			}
		}
		crashes = len(f.crashes)
	})
	return without, crashes
}
