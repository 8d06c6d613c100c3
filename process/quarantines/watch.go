package quarantines

import (
	"context"
	"sync"
	"time"

	"vetchtrail"
	"vetchtrail/request/quarantine"
)

const (
	// gather is how long after the first loss the others of the same end are waited for: all
	// connections of an endpoint that ends are reset together.
	gather = 60 * time.Millisecond
	// lookAgain is the pause between two looks: an endpoint that refuses twice has ended, one
	// that has taken too many connections refuses now and then.
	lookAgain = 100 * time.Millisecond
	// lookTime bounds a look: endpoints are in the same region, and one that is gone refuses
	// at once.
	lookTime = 300 * time.Millisecond
	// lookPause is the least time between the looks at one endpoint that did not refuse: one that
	// loses answers and lives is not connected to for each.
	lookPause = time.Second
	// lostWith is how long before its end a request may be lost and still count as lost with
	// the endpoint.
	lostWith = 2 * time.Second
	// waitForWord is how long a loss waits for the word of the platform's lists that its
	// endpoint has ended: three missed heartbeats and the way to this host.
	waitForWord = 10 * time.Second
	// mostLost bounds the losses remembered of one endpoint.
	mostLost = 256
	// begunLong is how long an answer must have been under way to show that its endpoint did
	// not end as it began the request: endpoints end within some tens of milliseconds of
	// beginning one that they can't bear.
	begunLong = 500 * time.Millisecond
)

// watch remembers attempts that were lost until it is known whether their endpoints ended.
type watch struct {
	mu     sync.Mutex
	places map[string]*place // by endpoint
}

// place is an endpoint at which requests were lost.
type place struct {
	endpoint vetchtrail.Endpoint
	lost     []loss // in the order of their times
	looking  bool
	next     time.Time // when it may be looked at again
}

type loss struct {
	quarantine.InFlight
	at time.Time
}

func newWatch() watch { return watch{places: map[string]*place{}} }

// Lost implements vetchtrail.Quarantine.
func (q *Quarantines) Lost(e vetchtrail.Endpoint, r *vetchtrail.Request, o vetchtrail.Outcome, t vetchtrail.Timing) {
	if q.cfg.Off || !mayHaveEnded(o) || t.Sent.IsZero() {
		return
	}
	now := q.cfg.Clock()
	l := loss{at: now, InFlight: quarantine.InFlight{ContentHash: r.Digest(), Streaming: !t.First.IsZero() && time.Since(t.First) > begunLong}}
	if from, due := q.watch.add(e, l, now); due {
		go q.look(e, from.Sub(now))
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.suspected.add(l.ContentHash, now)
}

// mayHaveEnded says whether an attempt ended as it does with its endpoint.
func mayHaveEnded(o vetchtrail.Outcome) bool {
	return o.Kind == vetchtrail.Unknown && (o.Reason == vetchtrail.ReasonLost || o.Reason == vetchtrail.ReasonBroken)
}

// add remembers a loss. It returns true, and from when, if the endpoint is to be looked at.
func (w *watch) add(e vetchtrail.Endpoint, l loss, now time.Time) (from time.Time, due bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tidy(now)
	p, ok := w.places[e.Name]
	if !ok {
		p = &place{}
		w.places[e.Name] = p
	}
	p.endpoint = e
	if p.lost = append(p.lost, l); len(p.lost) > mostLost {
		p.lost = p.lost[1:]
	}
	if p.looking {
		return time.Time{}, false
	}
	p.looking = true
	return vetchtrail.Later(now.Add(gather), p.next), true
}

// tidy forgets losses of which no word came. The caller holds the lock.
func (w *watch) tidy(now time.Time) {
	for name, p := range w.places {
		for len(p.lost) > 0 && now.Sub(p.lost[0].at) > waitForWord {
			p.lost = p.lost[1:]
		}
		if len(p.lost) == 0 && !p.looking {
			delete(w.places, name)
		}
	}
}

// look finds out after a time whether an endpoint has ended.
func (q *Quarantines) look(e vetchtrail.Endpoint, after time.Duration) {
	time.Sleep(after)
	refused := q.refuses(e)
	if refused {
		time.Sleep(lookAgain)
		refused = q.refuses(e)
	}
	if !refused || q.cfg.Leaving(e.Name) {
		q.watch.looked(e.Name, q.cfg.Clock().Add(lookPause))
		return
	}
	q.Ended(e.Name, "refuses connections")
}

func (q *Quarantines) refuses(e vetchtrail.Endpoint) bool {
	ctx, cancel := context.WithTimeout(context.Background(), lookTime)
	defer cancel()
	return q.cfg.Refuses(ctx, e)
}

func (w *watch) looked(name string, next time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p, ok := w.places[name]; ok {
		p.looking, p.next = false, next
	}
}

// Ended tells that an endpoint has ended, in a way that was not announced.
func (q *Quarantines) Ended(name, how string) {
	end, ok := q.watch.end(name)
	if !ok {
		return
	}
	countEnd()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.cfg.Log.Warn("endpoint ended", "endpoint", name, "how", how, "ran", len(end.InFlight), "digests", digestsOf(end.InFlight), "suspects", suspectsOf(q.suspects))
	q.ends = append(q.ends, end)
	q.stir()
}

// end returns the end of an endpoint with the requests that were lost with it; false: none was.
func (w *watch) end(name string) (quarantine.Crash, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p, ok := w.places[name]
	if !ok {
		return quarantine.Crash{}, false
	}
	delete(w.places, name) // also where all losses are forgotten: a place being looked at stays so
	if len(p.lost) == 0 {
		return quarantine.Crash{}, false
	}
	last := p.lost[len(p.lost)-1].at
	out := quarantine.Crash{Endpoint: name, StartedAt: p.endpoint.Born, At: last}
	for _, l := range p.lost {
		if last.Sub(l.at) > lostWith {
			continue
		}
		out.At = vetchtrail.Earlier(out.At, l.at)
		out.InFlight = append(out.InFlight, l.InFlight)
	}
	return out, true
}

// Listed takes what the platform lists: an endpoint that lost requests and is listed no longer,
// or with a later start, has ended.
func (q *Quarantines) Listed(l *vetchtrail.Listing) {
	for _, name := range q.watch.gone(l) {
		if !q.cfg.Leaving(name) {
			q.Ended(name, "listed no longer")
		}
	}
	q.hear(l.Holds)
}

// gone returns the endpoints that lost requests and live no longer by the lists.
func (w *watch) gone(l *vetchtrail.Listing) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.places) == 0 {
		return nil
	}
	born := make(map[string]time.Time, len(l.Endpoints))
	for _, e := range l.Endpoints {
		born[e.Name] = e.Born
	}
	var out []string
	for name, p := range w.places {
		at, listed := born[name]
		if !listed || at.After(p.endpoint.Born) && !p.endpoint.Born.IsZero() {
			out = append(out, name)
		}
	}
	return out
}
