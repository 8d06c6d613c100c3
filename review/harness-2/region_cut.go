package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	cutHost        = "ficu95.example"
	cutClients     = 40
	cutDeadline    = 15 * time.Second
	clientInterval = 150 * time.Millisecond // between the first requests of two clients
	cutBegin       = 10 * time.Second       // after the start of traffic: later than ContactMs
	cutTime        = 6 * time.Second        // for_s of region_cut
	cutLength      = 24 * time.Second
	cutEngines     = 3 // of a region
	streamEvents   = 55
	eventInterval  = 150 * time.Millisecond
	// allowedOverlap is how long two engines may work on a request.
	allowedOverlap = 400 * time.Millisecond
)

// playRegionCut has clients of a region whose route has its homes in two others send streams that may be resumed, so that
// the daemons forward them, and cuts the region off from one of the two.
func playRegionCut(r *record, trouble bool) (verdict, error) {
	regions := []region{{"fi-south", 2}, {"fi-west", 2}, {"fi-north", 2}}
	w, err := newWorld(r, regions)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return verdict{}, err
	}
	links, err := w.linkRegions()
	if err != nil {
		return verdict{}, err
	}
	services := []service{{
		Name: "plan-writer", HealthPath: "/health", MaxConns: 360, Protocol: "h1",
		Engine: &engineFigures{Slots: 64, Stride: 7, KvCapacityTokens: 390931, KvTokenBytes: 18432, LinkMbps: 370000},
	}}
	for _, g := range regions[:2] {
		for n := range cutEngines {
			c := engineConfig{
				id: fmt.Sprintf("i-%s-%d", g.name, n+1), service: "plan-writer", region: g.name, slots: 64, queue: 192,
				work: 100 * time.Millisecond, events: streamEvents, interval: eventInterval,
			}
			if err := w.addEngine(c); err != nil {
				return verdict{}, err
			}
		}
	}
	w.configure([]route{{
		Name: "r-zji9n73", Host: cutHost, PathPrefix: "/lohu930/", Type: "stream", TimeoutMs: 15000, TargetLatencyMs: 1200, GapAimMs: 600,
		Priority: 2, Service: "plan-writer", MaxAttempts: 2, Sticky: true, Resumable: true, HomeRegions: []string{"fi-south", "fi-west"},
	}}, services)
	if err := w.start(); err != nil {
		return verdict{}, err
	}
	began := time.Now()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range cutClients {
		time.Sleep(clientInterval)
		clients.Go(func() { sendStreams(stop, w, w.hosts[4+n%2]) })
	}
	time.Sleep(time.Until(began.Add(cutBegin)))
	if trouble {
		r.write("fi-north and fi-west are cut off from each other for %s", cutTime)
		var cuts sync.WaitGroup
		for _, way := range [][2]string{{"fi-north", "fi-west"}, {"fi-west", "fi-north"}} {
			cuts.Go(func() { links[way].cutFor(cutTime) })
		}
		cuts.Wait()
		r.write("the cut has ended")
	}
	time.Sleep(time.Until(began.Add(cutLength)))
	close(stop)
	clients.Wait()
	return w.overlapVerdict(), nil
}

// sendStreams sends requests for streams one after the other.
func sendStreams(stop <-chan struct{}, w *world, h *host) {
	c := newClient()
	for {
		select {
		case <-stop:
			return
		default:
		}
		q := request{id: newID(), host: cutHost, path: "/lohu930/2f", body: make([]byte, 600), deadline: cutDeadline}
		w.record.write("client: %s sent to %s", q.id, h.name)
		a := c.send(h.callers, q)
		w.record.write("client: %s got %d, %d bytes, error %v", q.id, a.status, len(a.body), a.err)
		if a.status != http.StatusOK {
			time.Sleep(max(a.retryAfter, minClientWait))
		}
	}
}

// overlapVerdict applies TWICE: 400 ms after a request was continued at another engine, the former one must not work on it
// any more. What the other one has left by then doesn't count.
func (w *world) overlapVerdict() verdict {
	continued, overlaps, worst := 0, 0, time.Duration(0)
	for id, list := range w.allStints() {
		for i := 1; i < len(list); i++ {
			continued++
			former, later := list[i-1], list[i]
			overlap := min(former.end.Sub(later.begin), later.end.Sub(later.begin))
			worst = max(worst, overlap)
			if overlap > allowedOverlap {
				overlaps++
				w.record.write("overlap: %s at %s and %s for %s", id, former.engine, later.engine, overlap)
			}
		}
	}
	text := fmt.Sprintf("TWICE: %d of %d requests that were continued at another engine were worked on at the former one over %s later, 0 are allowed; the longest for %s",
		overlaps, continued, allowedOverlap, worst)
	return verdict{broken: overlaps > 0, text: text}
}
