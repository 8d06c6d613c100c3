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

// leavingPropagation is the time for which a host may still send requests to an endpoint after it
// relayed a response in which the endpoint announced that it is leaving.
const leavingPropagation = 3 * time.Second

// TestLeavingAnnouncement guards against an endpoint that announces in each response that it is
// leaving, and still receives as many requests as the other endpoints. Hosts relayed this header
// field to callers but did not read it: they used only the platform's listing and the load reports
// to detect leaving endpoints. Both still showed the endpoint as not leaving, as the store was down
// and the endpoint could not write to it.
// Hosts that logged the field, but did not use it for decisions, showed that nothing else was the
// cause. All three hosts of the region logged the field within 57 ms of the first response with it.
// In the next 10 s each of them sent 564 to 630 requests to the endpoint, decided in that time and
// sent at once, at the first attempt. So each host received the announcement, received it early,
// and the requests were not older than the announcement.
func TestLeavingAnnouncement(t *testing.T) {
	t.Parallel()
	x := newEngineRun(t)
	ctx, stop := context.WithCancel(x.ctx)
	all := x.startCallers(ctx, 24)
	defer all.Wait()
	defer stop()
	leaving := x.busiest()
	announcedAt := x.announce(leaving, engine.Announcement{Leaving: "1"})
	time.Sleep(10 * time.Second)
	restartedAt := x.announce(leaving, engine.Announcement{NewInstance: true})
	time.Sleep(3 * time.Second)
	stop()
	all.Wait()
	first := map[string]time.Time{} // time of the first response with the announcement that each host relayed
	for _, p := range x.relayed {
		if at, known := first[p.host]; p.engine == leaving && p.sentAt.After(announcedAt) && (!known || p.receivedAt.Before(at)) {
			first[p.host] = p.receivedAt
		}
	}
	late := 0
	for _, p := range x.relayed {
		if at, known := first[p.host]; p.engine == leaving && known && p.sentAt.After(at.Add(leavingPropagation)) && p.receivedAt.Before(restartedAt) {
			late++
		}
	}
	arrivals := x.arrivalTimes(leaving)
	t.Logf("%d hosts relayed the announcement, %d requests later than the bound, %d arrived after the announcement, %d after the restart, outcomes %v",
		len(first), late, countBetween(arrivals, announcedAt, restartedAt), countAfter(arrivals, restartedAt), x.outcomes)
	loggedAt, decisionCounts := x.firstLogged("endpoint says that it leaves", leaving)
	for host, at := range loggedAt {
		t.Logf("%s logged it %s after the announcement and chose the endpoint for %d requests since", host, at.Sub(announcedAt), decisionCounts[host])
	}
	assert.Assert(t, len(first) > 0, "no host relayed the announcement")
	assert.Equal(t, late, 0)
	assert.Assert(t, countAfter(arrivals, restartedAt) > 0, "the endpoint got no requests after its restart")
	assert.DeepEqual(t, x.outcomes, map[string]int{" ": len(x.relayed)})
}

const (
	// pauseDuration is the Retry-After of an engine that rejects requests. pausePropagation is the
	// time in which requests may still arrive after the last host received this pause. From then
	// until the end of the pause, at most maxPausedRequests may arrive for each host.
	pauseDuration     = 12 * time.Second
	pausePropagation  = 500 * time.Millisecond
	maxPausedRequests = 2
)

// TestTurnedAway guards against a host that sends requests to an endpoint during a pause that the
// endpoint announced with status 503. Hosts observed the pause for at most 5 s, as after any
// rejection, and a later rejection with a shorter pause, or with none, replaced it. All three hosts
// logged the pause within 38 ms of its announcement. The requests in the 12 s of the pause arrived
// 5 s and 10 s after the announcement, and all hosts sent some.
func TestTurnedAway(t *testing.T) {
	t.Parallel()
	x := newEngineRun(t)
	ctx, stop := context.WithCancel(x.ctx)
	all := x.startCallers(ctx, 24)
	defer all.Wait()
	defer stop()
	pausing := x.busiest()
	announcedAt := x.announce(pausing, engine.Announcement{RejectSeconds: strconv.FormatFloat(pauseDuration.Seconds(), 'g', -1, 64)})
	time.Sleep(pauseDuration)
	resumedAt := x.announce(pausing, engine.Announcement{})
	time.Sleep(4 * time.Second)
	stop()
	all.Wait()
	loggedAt, decisionCounts := x.firstLogged("endpoint wants nothing for a time", pausing)
	for host, at := range loggedAt {
		t.Logf("%s logged it %s after the announcement and chose the endpoint for %d requests since", host, at.Sub(announcedAt), decisionCounts[host])
	}
	arrivals, allInformedAt := x.arrivalTimes(pausing), time.Time{}
	for _, at := range loggedAt {
		allInformedAt = vetchtrail.Later(allInformedAt, at)
	}
	got := countBetween(arrivals, allInformedAt.Add(pausePropagation), resumedAt)
	afterPause := countAfter(arrivals, resumedAt.Add(time.Second))
	t.Logf("%d requests from %s after all hosts had logged the pause until its end, %d later than a second after its end, outcomes %v",
		got, pausePropagation, afterPause, x.outcomes)
	assert.Equal(t, len(loggedAt), 3, "hosts that logged the pause")
	assert.Assert(t, got <= maxPausedRequests*len(loggedAt), "%d requests during the pause", got)
	assert.Assert(t, afterPause > 0, "the endpoint got no requests after the pause")
	assert.DeepEqual(t, x.outcomes, map[string]int{" ": len(x.relayed)})
}
