package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"vetchtrail/standin/engine"
	"vetchtrail/standin/ledger"
)

const (
	// leavingKnown is the time in which the hosts of an engine's region know that it says that it leaves.
	leavingKnown = 3 * time.Second
	// leavingShortest and leavingLongest bound how long one says so, and leavingPause is the time between two.
	leavingShortest = 6 * time.Second
	leavingLongest  = 12 * time.Second
	leavingPause    = 2 * time.Second
	// awaySeconds is the time for which an engine turns hosts away, in which they go elsewhere.
	awaySeconds = "3"
)

// sayWords has one engine after the other say that it leaves, and start again, or turn hosts away for a time, until
// ctx ends.
func (c *checker) sayWords(ctx context.Context, rnd *rand.Rand) {
	engines := c.engines()
	for ctx.Err() == nil {
		name := engines[rnd.IntN(len(engines))]
		length := leavingShortest + time.Duration(rnd.Float64()*float64(leavingLongest-leavingShortest))
		if rnd.IntN(3) == 0 {
			c.say(ctx, name, engine.Words{Away: awaySeconds})
		} else if c.say(ctx, name, engine.Words{Leaving: "1"}) {
			from := time.Now()
			sleep(ctx, length)
			c.leftAlone(context.WithoutCancel(ctx), name, from)
		}
		c.say(context.WithoutCancel(ctx), name, engine.Words{Anew: true})
		sleep(ctx, leavingPause)
	}
}

// engines returns the names of the model engines.
func (c *checker) engines() []string {
	var out []string
	for _, e := range c.d.Document.Endpoints {
		if e.Service == c.d.Spec.Model.Name {
			out = append(out, e.Name)
		}
	}
	return out
}

// say has an engine say something of itself; false: it could not be asked.
func (c *checker) say(ctx context.Context, name string, w engine.Words) bool {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	addr, err := c.fleet.EndpointAddr(name)
	if err == nil {
		err = c.fleet.Client.Put(ctx, addr, "/words", w)
	}
	if err != nil {
		c.note("engine not told what to say")
	}
	return err == nil
}

// leftAlone checks that an engine that has said since a moment that it leaves got nothing new once that was known.
func (c *checker) leftAlone(ctx context.Context, name string, from time.Time) {
	until := time.Now()
	if c.restless(named{engine: name, from: from, until: until}) {
		c.note("engine that leaves was struck")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	var words engine.Words
	var list []ledger.Execution
	addr, err := c.fleet.EndpointAddr(name)
	if err == nil {
		err = c.fleet.Client.Get(ctx, addr, "/words", &words)
	}
	if err == nil {
		err = c.fleet.Client.Get(ctx, addr, "/arrivals", &list)
	}
	if err != nil || words.Leaving == "" { // it ended under a request meanwhile, and began anew
		c.note("engine that leaves not asked what it got")
		return
	}
	got := 0
	for _, e := range list {
		if e.At.After(from.Add(leavingKnown)) && e.At.Before(until) {
			got++
		}
	}
	c.note("engine said that it leaves")
	if allowed := newHost * c.starts(from, until); got > allowed {
		c.violate("an endpoint that says that it leaves gets nothing new", "%s got %d later than %s after it said so; allowed %d", name, got, leavingKnown, allowed)
	}
}
