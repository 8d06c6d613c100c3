package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	moveHost      = "ficu95.example"
	movePath      = "/lohu930/2f"
	moveWorkers   = 30 // clients of a host
	moveDeadline  = 12 * time.Second
	moveFirst     = 6 * time.Second // of the moves after the start of traffic: later than ContactMs
	moveInterval  = 5 * time.Second
	moves         = 3
	moveLength    = 20 * time.Second
	minClientWait = 50 * time.Millisecond
)

// playRouteMove has clients send more than the servers of a route can take, so that some requests wait at the daemons, and
// moves the route to another service and back.
func playRouteMove(r *record, trouble bool) (verdict, error) {
	regions := []region{{"pl-south", 1}, {"pl-central", 1}, {"pl-north", 1}}
	w, err := newWorld(r, regions)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return verdict{}, err
	}
	services := []service{
		{Name: "quote-a", HealthPath: "/health", MaxConns: 620, Protocol: "h1"},
		{Name: "quote-b", HealthPath: "/health", MaxConns: 620, Protocol: "h1"},
	}
	for _, g := range regions {
		for _, s := range services {
			for n := range 2 {
				c := engineConfig{
					id: fmt.Sprintf("i-%s-%s-%d", g.name, s.Name, n+1), service: s.Name, region: g.name, slots: 6, queue: 2,
					work: 60 * time.Millisecond, events: 5, interval: 20 * time.Millisecond,
				}
				if err := w.addEngine(c); err != nil {
					return verdict{}, err
				}
			}
		}
	}
	configure := func(target string) {
		w.configure([]route{{
			Name: "r-x73d3zj", Host: moveHost, PathPrefix: "/lohu930/", Type: "stream", TimeoutMs: 12000, TargetLatencyMs: 1000, GapAimMs: 400,
			Priority: 1, Service: target, MaxAttempts: 1, HomeRegions: []string{},
		}}, services)
	}
	configure("quote-a")
	if err := w.start(); err != nil {
		return verdict{}, err
	}
	t := &tally{counts: map[int]int{}}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, h := range w.hosts {
		for range moveWorkers {
			clients.Go(func() { sendUntil(stop, w, h, t) })
		}
	}
	began := time.Now()
	for n := range moves {
		time.Sleep(time.Until(began.Add(moveFirst + time.Duration(n)*moveInterval)))
		if trouble {
			configure([]string{"quote-b", "quote-a"}[n%2])
		}
	}
	time.Sleep(time.Until(began.Add(moveLength)))
	close(stop)
	clients.Wait()
	return t.verdict(), nil
}

// tally counts the requests by the status of their answer.
type tally struct {
	mu     sync.Mutex
	counts map[int]int
	all    atomic.Int64
}

func (t *tally) add(status int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[status]++
	t.all.Add(1)
}

// verdict applies DENIED: at most 5 + one in 500 of all requests may end with such a status of the system's own.
func (t *tally) verdict() verdict {
	denied, all := 0, int(t.all.Load())
	for status, n := range t.counts {
		own := status >= http.StatusMultipleChoices && status < http.StatusInternalServerError
		if own && status != http.StatusRequestTimeout && status != http.StatusMisdirectedRequest && status != http.StatusTooManyRequests {
			denied += n
		}
	}
	allowed := 5 + all/500
	text := fmt.Sprintf("DENIED: %d of %d requests ended with a 3xx or 4xx of the system's own, %d are allowed; answers by status: %v", denied, all, allowed, t.counts)
	return verdict{broken: denied > allowed, text: text}
}

// sendUntil sends requests one after the other, and waits after a refusal as it is told.
func sendUntil(stop <-chan struct{}, w *world, h *host, t *tally) {
	c := newClient()
	for {
		select {
		case <-stop:
			return
		default:
		}
		q := request{id: newID(), host: moveHost, path: movePath, body: make([]byte, 2000), deadline: moveDeadline}
		w.record.write("client: %s sent to %s", q.id, h.name)
		a := c.send(h.callers, q)
		w.record.write("client: %s got %d, %d bytes, error %v: %.200q", q.id, a.status, len(a.body), a.err, a.body)
		t.add(a.status)
		if a.status != http.StatusOK {
			time.Sleep(max(a.retryAfter, minClientWait))
		}
	}
}
