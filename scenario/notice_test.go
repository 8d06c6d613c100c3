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

// leavingBound is how long after a host passed on an endpoint's word that it leaves requests may still be
// taken that reach that endpoint from it.
const leavingBound = 3 * time.Second

// TestLeavingWord: an endpoint said in each answer that it leaves, and went on getting as much as those
// beside it, for as long as no list said so: the platform's store was away, and what the endpoint wrote there
// did not get in. No host read what it said: it was handed on to callers as any other field, and that an endpoint
// leaves was known by lists and load reports alone, which said that it doesn't. The evidence: with a line
// when the word is read, and nothing decided by it, all three hosts of the region told of it within 57 ms of the first
// answer that said so, and then placed 564 to 630 requests each on the endpoint in 10 s, at the first attempt, decided
// and sent at once. So it came neither of a host that was not told, nor of words that come late, nor of requests that
// were placed before.
func TestLeavingWord(t *testing.T) {
	t.Parallel()
	x := newEngineRun(t)
	ctx, stop := context.WithCancel(x.ctx)
	all := x.callers(ctx, 24)
	defer all.Wait()
	defer stop()
	leaving := x.busiest()
	said := x.says(leaving, engine.Words{Leaving: "1"})
	time.Sleep(10 * time.Second)
	again := x.says(leaving, engine.Words{Anew: true})
	time.Sleep(3 * time.Second)
	stop()
	all.Wait()
	first := map[string]time.Time{} // when a host first passed on an answer that says so
	for _, p := range x.passed {
		if at, told := first[p.host]; p.engine == leaving && p.asked.After(said) && (!told || p.came.Before(at)) {
			first[p.host] = p.came
		}
	}
	late := 0
	for _, p := range x.passed {
		if at, told := first[p.host]; p.engine == leaving && told && p.asked.After(at.Add(leavingBound)) && p.came.Before(again) {
			late++
		}
	}
	moments := x.arrived(leaving)
	t.Logf("%d hosts passed the word on, %d requests later than the bound, %d arrived after it was said, %d after it started again, outcomes %v",
		len(first), late, between(moments, said, again), after(moments, again), x.outcomes)
	lines, placed := x.heard("endpoint says that it leaves", leaving)
	for host, at := range lines {
		t.Logf("%s told of it %s after it was said, and placed %d requests there since", host, at.Sub(said), placed[host])
	}
	assert.Assert(t, len(first) > 0, "nobody was told")
	assert.Equal(t, late, 0)
	assert.Assert(t, after(moments, again) > 0, "its next life is not used")
	assert.DeepEqual(t, x.outcomes, map[string]int{" ": len(x.passed)})
}

const (
	// awayFor is the time that an engine names with which it turns a host away, and awayKnown and awayMost the
	// bound: from so long after it did, no more than so many requests reach it from that host until the time is over.
	awayFor   = 12 * time.Second
	awayKnown = 500 * time.Millisecond
	awayMost  = 2
)

// TestTurnedAway: an endpoint that turned hosts away with 503 and named the time for which it wants nothing
// from them got more than two requests from a host within it. What it named was heeded for 5 s at the most, as any
// refusal is, and a later refusal that named less, or nothing, stood in its place. The evidence: with a line when the
// time is read, all three hosts told of it within 38 ms of its being said first, and the requests that came within
// the 12 s came 5 s and 10 s after that, of all hosts alike.
func TestTurnedAway(t *testing.T) {
	t.Parallel()
	x := newEngineRun(t)
	ctx, stop := context.WithCancel(x.ctx)
	all := x.callers(ctx, 24)
	defer all.Wait()
	defer stop()
	away := x.busiest()
	said := x.says(away, engine.Words{Away: strconv.FormatFloat(awayFor.Seconds(), 'g', -1, 64)})
	time.Sleep(awayFor)
	took := x.says(away, engine.Words{})
	time.Sleep(4 * time.Second)
	stop()
	all.Wait()
	lines, placed := x.heard("endpoint wants nothing for a time", away)
	for host, at := range lines {
		t.Logf("%s told of it %s after it was said, and placed %d requests there since", host, at.Sub(said), placed[host])
	}
	moments, last := x.arrived(away), time.Time{}
	for _, at := range lines {
		last = vetchtrail.Later(last, at)
	}
	got := between(moments, last.Add(awayKnown), took)
	again := after(moments, took.Add(time.Second))
	t.Logf("%d reached it from %s after all hosts were told until the time was over, %d later than a second after it, outcomes %v",
		got, awayKnown, again, x.outcomes)
	assert.Equal(t, len(lines), 3, "hosts that were turned away")
	assert.Assert(t, got <= awayMost*len(lines), "%d requests", got)
	assert.Assert(t, again > 0, "it was not used again")
	assert.DeepEqual(t, x.outcomes, map[string]int{" ": len(x.passed)})
}
