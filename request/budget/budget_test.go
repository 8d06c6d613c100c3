package budget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "vetchtrail/standin/seeded"
)

var start = time.Unix(1_800_000_000, 0)

// TestRetriesStayWithinShare checks that the retries stay within the share of the requests
// and the base when the caller wants three retries for each request, as in an outage.
// More would multiply the load. At least half of the share can be used, and without
// requests and base no retry is allowed.
func TestRetriesStayWithinShare(t *testing.T) {
	b := New(Config{Window: 10 * time.Second, Share: 0.1, Base: 5, Hosts: func() int { return 1 }})
	retries := 0
	for range 1000 {
		b.CountRequest(start)
		for range 3 {
			if b.TakeRetry(start) {
				retries++
			}
		}
	}
	assert.Assert(t, retries <= 1000/10+5, "%d", retries)
	assert.Assert(t, retries >= 1000/20, "%d", retries)
	assert.Assert(t, !b.TakeRetry(start))
	withoutRequests := New(Config{Window: 10 * time.Second, Share: 0.1, Hosts: func() int { return 1 }})
	assert.Assert(t, !withoutRequests.TakeRetry(start))
}

// TestRetriesOfAllHosts checks that the retries of all hosts together in any window stay
// within the share of their requests and the base. Hosts act in random order, and a host
// may count other hosts as live that have left. The test guards against a host that uses
// more than its part of the limit, so that all hosts together exceed it.
func TestRetriesOfAllHosts(t *testing.T) {
	const window, share, base = 10 * time.Second, 0.2, 54.0
	rapid.Check(t, func(t *rapid.T) {
		type event struct {
			at    time.Duration // since start
			retry bool          // false: a request of a caller
		}
		n := rapid.IntRange(1, 12).Draw(t, "hosts")
		budgets := make([]*Budget, n)
		hostCounts := make([]int, n) // number of live hosts that each host counts
		for i := range budgets {
			hostCounts[i] = n
			budgets[i] = New(Config{Window: window, Share: share, Base: base, Hosts: func() int { return hostCounts[i] }})
		}
		var events []event
		at := time.Duration(0)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			at += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
			i := rapid.IntRange(0, n-1).Draw(t, "host")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				budgets[i].CountRequest(start.Add(at))
				events = append(events, event{at: at})
			case 1: // the host counts up to three hosts that are dead or have left
				hostCounts[i] = n + rapid.IntRange(0, 3).Draw(t, "more")
			default:
				if budgets[i].TakeRetry(start.Add(at)) {
					events = append(events, event{at: at, retry: true})
				}
			}
		}
		for i, first := range events {
			retries, requests := 0, 0
			for _, e := range events {
				if e.retry && e.at >= first.at && e.at < first.at+window {
					retries++
				}
				if !e.retry && e.at >= first.at-window && e.at < first.at+window {
					requests++ // in the window or in the one before it, whose requests may still count
				}
			}
			if float64(retries) > share*float64(requests)+base {
				t.Fatalf("from event %d: %d retries for %d requests", i, retries, requests)
			}
		}
	})
}
