package lists

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail/process/membership"
)

// TestReads: which hosts read the platform's lists, by what they hold and whom they know.
func TestReads(t *testing.T) {
	const pace = 2 * time.Second
	settled := func(change func(*following)) following {
		f := following{held: true, since: time.Hour, pace: pace, took: -1, region: 1}
		if change != nil {
			change(&f)
		}
		return f
	}
	old := func(before int) time.Duration {
		return pace + takeoverSlack + time.Duration(before)*takeoverStep
	}
	cases := map[string]struct {
		f    following
		want bool
	}{
		"the first of its region":              {settled(func(f *following) { f.region = 0 }), true},
		"another":                              {settled(nil), false},
		"lists a little old":                   {settled(func(f *following) { f.age = old(0) }), false},
		"lists too old":                        {settled(func(f *following) { f.age = old(0) + 1 }), true},
		"the next one waits longer":            {settled(func(f *following) { f.age, f.dataCentre = old(0)+1, 1 }), false},
		"but not for ever":                     {settled(func(f *following) { f.age, f.dataCentre = old(1)+1, 1 }), true},
		"the first is turned away":             {settled(func(f *following) { f.cut = 1 }), true},
		"so some of the next read":             {settled(func(f *following) { f.cut, f.region = 1, cutFan }), true},
		"not all":                              {settled(func(f *following) { f.cut, f.region = 1, cutFan+1 }), false},
		"they are turned away too":             {settled(func(f *following) { f.cut, f.region = 2, cutFan+1 }), true},
		"young, the first is turned away":      {settled(func(f *following) { f.since, f.cut = settleTime/2, 1 }), false},
		"it took over and goes on":             {settled(func(f *following) { f.took = time.Second }), true},
		"it took over long ago":                {settled(func(f *following) { f.took = takeoverHeld }), false},
		"a seed starts":                        {following{seed: true, pace: pace, took: -1}, true},
		"another starts, seeds may lend":       {following{since: unlentAfter, pace: pace, took: -1}, false},
		"nobody lent":                          {following{since: unlentAfter + 1, pace: pace, took: -1}, true},
		"nobody lent, spread":                  {following{since: unlentAfter + 1, spread: 0.5, pace: pace, took: -1}, false},
		"young: knows nobody, is no seed":      {settled(func(f *following) { f.since, f.region = settleTime/2, 0 }), false},
		"young seed":                           {settled(func(f *following) { f.since, f.seed = settleTime/2, true }), true},
		"young, and its lists are very old":    {settled(func(f *following) { f.since, f.age = settleTime/2, old(1)+1 }), true},
		"young, lists old, others before it":   {settled(func(f *following) { f.since, f.age, f.spread = settleTime/2, old(1)+1, 1 }), false},
		"young, old, and it waited its turn":   {settled(func(f *following) { f.since, f.age, f.spread = settleTime/2, old(1+youngSteps)+1, 1 }), true},
		"settled: what seeds it had no matter": {settled(func(f *following) { f.seed = true }), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, c.f.reads(), c.want) })
	}
}

// TestOutage: while the platform answers nobody, few hosts of a data centre call it: one
// more each second, not all.
func TestOutage(t *testing.T) {
	const hosts = 50
	calling := func(age time.Duration) (n int) {
		for rank := range hosts {
			f := following{held: true, since: time.Hour, pace: 2 * time.Second, took: -1, region: rank, dataCentre: rank, age: age}
			if f.reads() {
				n++
			}
		}
		return n
	}
	assert.Equal(t, calling(0), 1)
	assert.Equal(t, calling(5*time.Second), 2)
	assert.Equal(t, calling(10*time.Second), 7)
}

// TestDocumented: the table of who asks the platform for what has the constants.
func TestDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/ARCHITECTURE.md")
	assert.NilError(t, err)
	for _, want := range []string{
		fmt.Sprintf("every %.1f of `known_within`", pacePart),
		fmt.Sprintf("asks, every %s", borrowEvery),
		fmt.Sprintf("`known_within` + %s, then another takes over, one more each %s", takeoverSlack, takeoverStep),
		fmt.Sprintf("none lent within %s to %s", unlentAfter, unlentAfter+unlentSpread),
		fmt.Sprintf("its seeds, all at once, every %s", askEvery),
		fmt.Sprintf("the next %d read at once", cutFan),
		fmt.Sprintf("waits for an answer for %s", lateAnswer),
		fmt.Sprintf("took over reads for %s", takeoverHeld),
		fmt.Sprintf("In a host's first %s", settleTime),
		fmt.Sprintf("heartbeats (%s) and digests (%s)", membership.Tick, membership.SwapTick),
	} {
		assert.Assert(t, strings.Contains(string(page), want), "the page lacks %q", want)
	}
}
