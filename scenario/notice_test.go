package scenario

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail/standin/engine"
)

// leavingBound is how long after a host passed on an endpoint's word that it leaves requests may still be
// taken that reach that endpoint from it.
const leavingBound = 3 * time.Second

// TestLeavingWord: an endpoint said in each answer that it leaves, and went on getting as much as those
// beside it, for as long as no list said so: the platform's store was away, and what the endpoint wrote there
// did not get in.
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
		if at, told := first[p.host]; p.engine == leaving && told && p.asked.After(at.Add(leavingBound)) {
			late++
		}
	}
	moments := x.arrived(leaving)
	t.Logf("%d hosts passed the word on, %d requests later than the bound, %d arrived after it was said, outcomes %v",
		len(first), late, after(moments, said), x.outcomes)
	if len(moments) > 0 {
		t.Logf("the last arrived %s after it was said", moments[len(moments)-1].Sub(said))
	}
	lines, placed := x.heard("endpoint says that it leaves", leaving)
	for host, at := range lines {
		t.Logf("%s told of it %s after it was said, and placed %d requests there since", host, at.Sub(said), placed[host])
	}
	assert.Assert(t, len(first) > 0, "nobody was told")
	assert.Equal(t, late, 0)
	assert.DeepEqual(t, x.outcomes, map[string]int{" ": len(x.passed)})
}
