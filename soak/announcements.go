package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"vetchtrail/standin/engine"
	"vetchtrail/standin/ledger"
)

const (
	// leavingPropagation is how long hosts may continue to send requests to an engine after the
	// engine announced that it is leaving.
	leavingPropagation = 3 * time.Second
	// minLeavingDuration and maxLeavingDuration bound the time for which an engine announces
	// that it is leaving. announcementGap is the time until the next engine announces something.
	minLeavingDuration = 6 * time.Second
	maxLeavingDuration = 12 * time.Second
	announcementGap    = 2 * time.Second
	// pauseSeconds is the Retry-After of an engine that rejects requests. Hosts must send
	// requests to other engines for that time; the soak does not check this.
	pauseSeconds = "3"
)

// announceAvailability makes one engine at a time announce that it is leaving, or reject requests
// with a Retry-After, until ctx ends. After its announcement each engine reports the uptime of a
// process that has just started, and announces nothing. An engine that rejects requests does so only
// until the next call, which follows at once.
func (c *checker) announceAvailability(ctx context.Context, rnd *rand.Rand) {
	modelEngines := c.modelEngines()
	for ctx.Err() == nil {
		name := modelEngines[rnd.IntN(len(modelEngines))]
		length := minLeavingDuration + time.Duration(rnd.Float64()*float64(maxLeavingDuration-minLeavingDuration))
		if rnd.IntN(3) == 0 {
			c.announce(ctx, name, engine.Announcement{RejectSeconds: pauseSeconds})
		} else if c.announce(ctx, name, engine.Announcement{Leaving: "1"}) {
			from := time.Now()
			sleep(ctx, length)
			c.checkLeavingEngine(context.WithoutCancel(ctx), name, from)
		}
		c.announce(context.WithoutCancel(ctx), name, engine.Announcement{NewInstance: true})
		sleep(ctx, announcementGap)
	}
}

// modelEngines returns the names of the model engines.
func (c *checker) modelEngines() []string {
	var out []string
	for _, e := range c.d.Document.Endpoints {
		if e.Service == c.d.Spec.Model.Name {
			out = append(out, e.Name)
		}
	}
	return out
}

// announce makes an engine announce its availability in its responses from now on. It returns
// false if the engine could not be reached.
func (c *checker) announce(ctx context.Context, name string, announcement engine.Announcement) bool {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	addr, err := c.fleet.EndpointAddr(name)
	if err == nil {
		err = c.fleet.Client.Put(ctx, addr, "/words", announcement)
	}
	if err != nil {
		c.note("announcement not set: engine not reached")
	}
	return err == nil
}

// checkLeavingEngine checks that an engine that has announced since from that it is leaving gets
// no new requests once leavingPropagation has passed.
func (c *checker) checkLeavingEngine(ctx context.Context, name string, from time.Time) {
	until := time.Now()
	if c.engineInterrupted(advertisement{engine: name, from: from, until: until}) {
		c.note("leaving engine not checked: it was killed or frozen")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var announced engine.Announcement
	var list []ledger.Execution
	addr, err := c.fleet.EndpointAddr(name)
	if err == nil {
		err = c.fleet.Client.Get(ctx, addr, "/words", &announced)
	}
	if err == nil {
		err = c.fleet.Client.Get(ctx, addr, "/arrivals", &list)
	}
	if err != nil || announced.Leaving == "" { // the engine crashed under the poison request, and restarted without the announcement
		c.note("leaving engine not checked: it crashed or was not reached")
		return
	}
	c.checkArrivalsWhileLeaving(name, from, until, list)
}

// checkArrivalsWhileLeaving checks the requests that arrived at an engine while it announced that it is leaving.
func (c *checker) checkArrivalsWhileLeaving(name string, from, until time.Time, list []ledger.Execution) {
	from = c.undrainedAt(name, from)
	got := 0
	for _, e := range list {
		if e.At.After(from.Add(leavingPropagation)) && e.At.Before(until) {
			got++
		}
	}
	c.note("leaving engine checked")
	if allowed := newHostAllowance * c.hostStarts(from, until); got > allowed {
		c.recordViolation("a leaving endpoint gets no new requests", "%s got %d later than %s after it announced that it is leaving, or was undrained; allowed: %d", name, got, leavingPropagation, allowed)
	}
}

// drain is a span in which an engine was drained.
type drain struct {
	engine      string
	from, until time.Time
}

// recordDrain records that an engine was drained from a time until now.
func (c *checker) recordDrain(engine string, from time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drains = append(c.drains, drain{engine: engine, from: from, until: time.Now()})
}

// undrainedAt returns from when on responses of an engine can contain what it announced at a time: at once, or after the
// end of a drain that was in force then. A drained engine gets no requests.
func (c *checker) undrainedAt(engine string, at time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.drains {
		if d.engine == engine && d.from.Before(at) && d.until.After(at) {
			return d.until
		}
	}
	return at
}
