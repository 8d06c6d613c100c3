package soak

import (
	"context"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail/standin/client"
	"vetchtrail/standin/deployment"
	"vetchtrail/standin/fleet"
	"vetchtrail/standin/ledger"
)

func small(t *testing.T) *deployment.Deployment {
	t.Helper()
	spec, err := deployment.Sized(250, 2, 2, 1)
	assert.NilError(t, err)
	d := deployment.Build(spec)
	return &d
}

// TestChecks: what of the things that callers and endpoints may see breaks a
// promise, and which.
func TestChecks(t *testing.T) {
	ask := client.Ask{Prompt: "p", Tokens: 3, Timeout: time.Second}
	want := ask.Want()
	began := time.Now()
	at := func(n int, outcome, text string) attempt {
		return attempt{began: began.Add(time.Duration(n) * time.Second), outcome: outcome, text: text}
	}
	cases := map[string]struct {
		sees func(c *checker)
		want string
	}{
		"a right answer": {func(c *checker) {
			c.asked(ask, "centre-1-1", began, client.Result{Status: 200, Whole: true, Text: want})
		}, ""},
		"a wrong answer": {func(c *checker) {
			c.asked(ask, "centre-1-1", began, client.Result{Status: 200, Whole: true, Text: "x"})
		}, "a whole answer is the right one"},
		"a short answer as if whole": {func(c *checker) {
			c.asked(ask, "centre-1-1", began, client.Result{Status: 200, Whole: true, Text: want[:2]})
		}, "a whole answer is the right one"},
		"a cut answer": {func(c *checker) {
			c.asked(ask, "centre-1-1", began, client.Result{Status: 200, Text: want[:2], Err: io.ErrUnexpectedEOF})
		}, ""},
		"one that ends in order": {func(c *checker) { c.asked(ask, "centre-1-1", began, client.Result{Status: 200, Text: want[:2]}) }, "an answer that ends early does not look whole"},
		"events out of order": {func(c *checker) {
			c.asked(ask, "centre-1-1", began, client.Result{Status: 200, Text: want[2:4], Err: io.ErrUnexpectedEOF})
		}, "a stream comes in order"},
		"held for long":              {func(c *checker) { c.asked(ask, "centre-1-1", began, client.Result{Took: time.Minute}) }, "a request ends in its time"},
		"once":                       {func(c *checker) { c.once("k", []attempt{at(0, "answered", "a")}, 1) }, ""},
		"twice":                      {func(c *checker) { c.once("k", []attempt{at(0, "answered", "a")}, 2) }, "a keyed request runs at most once"},
		"never, though answered":     {func(c *checker) { c.once("k", []attempt{at(0, "answered", "a")}, 0) }, "what was answered ran"},
		"another answer":             {func(c *checker) { c.once("k", []attempt{at(0, "answered", "a"), at(1, "answered", "b")}, 1) }, "repeats get the first answer"},
		"not run, and did not":       {func(c *checker) { c.once("k", []attempt{at(0, "not-run", "")}, 0) }, ""},
		"not run, and did":           {func(c *checker) { c.once("k", []attempt{at(0, "not-run", "")}, 1) }, "not run is true"},
		"not run, then run":          {func(c *checker) { c.once("k", []attempt{at(0, "not-run", ""), at(1, "answered", "a")}, 1) }, ""},
		"at home":                    {func(c *checker) { c.atHome("centre-1-engine-1", ledger.Execution{Workspace: "region-1-bound"}) }, ""},
		"away from home":             {func(c *checker) { c.atHome("centre-2-engine-1", ledger.Execution{Workspace: "region-1-bound"}) }, "a workspace's requests run in its region"},
		"newer":                      {func(c *checker) { c.told("h", process{}, 4); c.told("h", process{revision: 4}, 5) }, ""},
		"older":                      {func(c *checker) { c.told("h", process{}, 4); c.told("h", process{revision: 4}, 3) }, "a configuration is never replaced by an older one"},
		"older, in the next process": {func(c *checker) { c.told("h", process{}, 4); c.ended("h"); c.told("h", process{number: 1}, 0) }, ""},
		"asked before the end": {func(c *checker) {
			c.told("h", process{}, 4)
			c.ended("h")
			c.told("h", process{revision: 4}, 4)
			c.told("h", process{number: 1}, 0)
		}, ""},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			d := small(t)
			c := newChecker(&fleet.Fleet{}, d, nil)
			k.sees(c)
			got := ""
			if len(c.violations) > 0 {
				got = c.violations[0].Promise
			}
			assert.Equal(t, got, k.want, "%v", c.violations)
		})
	}
}

// TestSchedule: a seed gives the same faults; nothing is struck by two at a time,
// and in a long run each kind comes.
func TestSchedule(t *testing.T) {
	const seed, length, rate = 7, 30 * time.Minute, 1
	d := small(t)
	events := Schedule(seed, length, rate, d)
	assert.DeepEqual(t, events, Schedule(seed, length, rate, d))
	assert.Assert(t, len(events) > 500, "%d", len(events))
	kinds := map[Kind]bool{}
	last := map[string]time.Duration{}
	for _, e := range events {
		kinds[e.Kind] = true
		assert.Assert(t, e.At >= last[e.object()], "%v", e)
		last[e.object()] = e.End()
	}
	assert.Equal(t, len(kinds), len(weights))
}

// TestConfig: values that can't be run are named.
func TestConfig(t *testing.T) {
	spec := small(t).Spec
	cases := map[string]struct {
		config Config
		names  string
	}{
		"usual":     {Config{Length: time.Second, Rate: 1, Callers: 1, Spec: spec}, ""},
		"no length": {Config{Rate: 1, Callers: 1, Spec: spec}, "length"},
		"rate":      {Config{Length: time.Second, Rate: 99, Callers: 1, Spec: spec}, "faults a second"},
		"callers":   {Config{Length: time.Second, Rate: 1, Callers: 99, Spec: spec}, "callers"},
		"processes": {Config{Length: time.Second, Rate: 1, Callers: 1, Spec: deployment.Small(1, 40, 40)}, "processes"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Run(context.Background(), Config{})
			assert.ErrorContains(t, err, "length")
			if c.names == "" {
				assert.NilError(t, c.config.Check())
				return
			}
			assert.ErrorContains(t, c.config.Check(), c.names)
		})
	}
}
