package scenario

import (
	"context"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/standin/engine"
)

// leavingPropagation is how long a host may continue to send requests to an endpoint after the host
// relayed a response in which the endpoint announced that it is leaving.
const leavingPropagation = 3 * time.Second

// TestLeavingAnnouncement guards against hosts that ignore the response header field by which an
// endpoint announces that it is leaving: the endpoint then receives as many requests as the others.
// Hosts relayed the field to callers and detected leaving endpoints only by the platform's listing
// and the load reports. Neither showed that the endpoint was leaving: its load reports did not,
// and its entry in the listing was out of date, as the endpoint could not write to the store, which
// was down.
// A delayed announcement was not the cause: with hosts that logged the field but did not act on it,
// all three hosts of the region logged it within 57 ms of the first response with it. In the next
// 10 s each of them chose the endpoint for 564 to 630 requests, and sent these at once, at the first
// attempt, so that the requests had not been assigned before the announcement.
func TestLeavingAnnouncement(t *testing.T) {
	t.Parallel()
	x := newEngineRun(t)
	ctx, stop := context.WithCancel(x.ctx)
	callers := x.startCallers(ctx, 24)
	defer callers.Wait()
	defer stop()
	leaving := x.busiestEngine()
	announcedAt := x.announce(leaving, engine.Announcement{Leaving: "1"})
	time.Sleep(10 * time.Second)
	restartedAt := x.announce(leaving, engine.Announcement{NewInstance: true})
	time.Sleep(3 * time.Second)
	stop()
	callers.Wait()
	firstRelayedAt := map[string]time.Time{} // by host: time of the first response with the announcement
	for _, r := range x.relayed {
		if at, ok := firstRelayedAt[r.host]; r.engine == leaving && r.sentAt.After(announcedAt) && (!ok || r.receivedAt.Before(at)) {
			firstRelayedAt[r.host] = r.receivedAt
		}
	}
	late := 0 // requests that a host sent to the endpoint after the bound
	for _, r := range x.relayed {
		if at, ok := firstRelayedAt[r.host]; r.engine == leaving && ok && r.sentAt.After(at.Add(leavingPropagation)) && r.receivedAt.Before(restartedAt) {
			late++
		}
	}
	arrivals := x.arrivalTimes(leaving)
	t.Logf("%d hosts relayed the announcement, %d requests later than the bound, %d arrived after the announcement, %d after the restart, outcomes %v",
		len(firstRelayedAt), late, countBetween(arrivals, announcedAt, restartedAt), countAfter(arrivals, restartedAt), x.outcomes)
	loggedAt, decisionCounts := x.firstLogged("endpoint says that it leaves", leaving)
	for host, at := range loggedAt {
		t.Logf("%s logged it %s after the announcement and chose the endpoint for %d requests since", host, at.Sub(announcedAt), decisionCounts[host])
	}
	assert.Assert(t, len(firstRelayedAt) > 0, "no host relayed the announcement")
	assert.Equal(t, late, 0)
	assert.Assert(t, countAfter(arrivals, restartedAt) > 0, "the endpoint got no requests after its restart")
	assert.DeepEqual(t, x.outcomes, map[string]int{" ": len(x.relayed)})
}

const (
	// pauseDuration is the Retry-After of an engine that rejects requests.
	pauseDuration = 12 * time.Second
	// pausePropagation is how long requests may continue to arrive after the last host received the
	// pause. From then until the end of the pause, at most maxRequestsInPause may arrive for each
	// host.
	pausePropagation   = 500 * time.Millisecond
	maxRequestsInPause = 2
)

// TestTurnedAway guards against a host that sends requests to an endpoint during a pause that the
// endpoint announced by Retry-After with status 503. Hosts observed the pause for at most 5 s, as
// after any rejection, and a later rejection with a shorter pause, or without one, replaced it. All
// three hosts logged the pause within 38 ms of its announcement. In the 12 s of the pause, requests
// from all of them still arrived, 5 s and 10 s after the announcement.
func TestTurnedAway(t *testing.T) {
	t.Parallel()
	x := newEngineRun(t)
	ctx, stop := context.WithCancel(x.ctx)
	callers := x.startCallers(ctx, 24)
	defer callers.Wait()
	defer stop()
	pausing := x.busiestEngine()
	announcedAt := x.announce(pausing, engine.Announcement{RejectSeconds: strconv.FormatFloat(pauseDuration.Seconds(), 'g', -1, 64)})
	time.Sleep(pauseDuration)
	resumedAt := x.announce(pausing, engine.Announcement{})
	time.Sleep(4 * time.Second)
	stop()
	callers.Wait()
	loggedAt, decisionCounts := x.firstLogged("endpoint wants nothing for a time", pausing)
	for host, at := range loggedAt {
		t.Logf("%s logged it %s after the announcement and chose the endpoint for %d requests since", host, at.Sub(announcedAt), decisionCounts[host])
	}
	arrivals, allLoggedAt := x.arrivalTimes(pausing), time.Time{}
	for _, at := range loggedAt {
		allLoggedAt = vetchtrail.Later(allLoggedAt, at)
	}
	duringPause := countBetween(arrivals, allLoggedAt.Add(pausePropagation), resumedAt)
	afterPause := countAfter(arrivals, resumedAt.Add(time.Second))
	t.Logf("%d requests from %s after all hosts had logged the pause until its end, %d later than a second after its end, outcomes %v",
		duringPause, pausePropagation, afterPause, x.outcomes)
	assert.Equal(t, len(loggedAt), 3, "hosts that logged the pause")
	assert.Assert(t, duringPause <= maxRequestsInPause*len(loggedAt), "%d requests during the pause", duringPause)
	assert.Assert(t, afterPause > 0, "the endpoint got no requests after the pause")
	assert.DeepEqual(t, x.outcomes, map[string]int{" ": len(x.relayed)})
}
