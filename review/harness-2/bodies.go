package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	bodiesHost     = "ficu95.example"
	bodiesUploads  = 72                      // clients that send a large body at the same time
	largeBody      = 4194304                 // bytes: MaxBodyBytes of the configuration
	smallBody      = 12000                   // bytes: what the sheet says of routing-quote
	uploadTime     = 2500 * time.Millisecond // of a large body
	uploadParts    = 64
	bodiesStreams  = 20                     // clients with a stream
	streamStagger  = 120 * time.Millisecond // between the first streams of two clients
	bodiesDeadline = 12 * time.Second
	bodiesBegin    = 9 * time.Second // of the uploads, after the start of traffic: later than ContactMs
	bodiesLength   = 18 * time.Second
	memoryCheck    = 10 * time.Millisecond
	mebibyte       = 1 << 20
)

// playBodies has clients send bodies of the largest size that the configuration allows, all at the same time, to a daemon
// that also serves streams. The platform kills a process that goes over its memory.
func playBodies(r *record, trouble bool) (verdict, error) {
	regions := []region{{"pl-south", 1}, {"pl-central", 1}, {"pl-north", 1}}
	w, err := newWorld(r, regions)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return verdict{}, err
	}
	services := []service{{Name: "quote-model", HealthPath: "/health", MaxConns: 620, Protocol: "h1"}}
	for _, g := range regions {
		for n := range 2 {
			c := engineConfig{
				id: fmt.Sprintf("i-%s-%d", g.name, n+1), service: "quote-model", region: g.name, slots: 128, queue: 384,
				work: 100 * time.Millisecond, events: 55, interval: 100 * time.Millisecond,
			}
			if err := w.addEngine(c); err != nil {
				return verdict{}, err
			}
		}
	}
	w.configure([]route{{
		Name: "r-x73d3zj", Host: bodiesHost, PathPrefix: "/lohu930/", Type: "stream", TimeoutMs: 12000, TargetLatencyMs: 1000, GapAimMs: 400,
		Priority: 1, Service: "quote-model", MaxAttempts: 1, HomeRegions: []string{},
	}}, services)
	if err := w.start(); err != nil {
		return verdict{}, err
	}
	h, t := w.hosts[0], &lossTally{world: w}
	ended := make(chan struct{})
	go w.limitMemory(h, t, ended)
	began := time.Now()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for range bodiesStreams {
		time.Sleep(streamStagger)
		clients.Go(func() { streamUntil(stop, w, h, t) })
	}
	time.Sleep(time.Until(began.Add(bodiesBegin)))
	size := smallBody
	if trouble {
		size = largeBody
	}
	for n := range bodiesUploads {
		clients.Go(func() { upload(w, h, t, size, n%2 == 1) })
	}
	time.Sleep(time.Until(began.Add(bodiesLength)))
	close(stop)
	clients.Wait()
	close(ended)
	return t.verdict(), nil
}

// lossTally counts the requests of kept channels that an engine ran and whose channel ended without a whole answer.
type lossTally struct {
	world *world

	mu           sync.Mutex
	whole, other int
	lost         int
	killed       bool
	peak         int // MB
}

// add counts an answer. kept is whether the request was sent on a channel that had carried another one.
func (t *lossTally) add(q request, a answer, kept bool) {
	t.world.record.write("client: %s got %d, %d bytes, error %v", q.id, a.status, len(a.body), a.err)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case a.status == http.StatusOK && a.err == nil:
		t.whole++
	case kept && a.err != nil && t.world.ran(q.id) > 0:
		t.lost++
	default:
		t.other++
	}
}

// verdict applies LOST: a machine may close the channel of a request that it has passed on without an answer three times.
func (t *lossTally) verdict() verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	text := fmt.Sprintf("LOST: %d requests of kept channels that an engine ran ended with their channel and no whole answer, 3 are allowed; %d whole, %d others; most memory %d MB of %d, killed for it: %t",
		t.lost, t.whole, t.other, t.peak, memoryMB, t.killed)
	return verdict{broken: t.lost > 3, text: text}
}

// limitMemory kills a daemon once it uses more than its memory, as the platform does.
func (w *world) limitMemory(h *host, t *lossTally, ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-h.ended:
			return
		case <-time.After(memoryCheck):
		}
		used := residentMB(h.cmd.Process.Pid)
		t.mu.Lock()
		t.peak = max(t.peak, used)
		t.killed = used > memoryMB
		t.mu.Unlock()
		if used > memoryMB {
			w.record.write("%s: uses %d MB, killed", h.name, used)
			w.signal(h, syscall.SIGKILL)
			return
		}
	}
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) int {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() / mebibyte
}

// streamUntil sends requests for streams one after the other.
func streamUntil(stop <-chan struct{}, w *world, h *host, t *lossTally) {
	c := newClient()
	for kept := false; ; kept = true {
		select {
		case <-stop:
			return
		case <-h.ended:
			return
		default:
		}
		q := request{id: newID(), host: bodiesHost, path: "/lohu930/2f", body: make([]byte, smallBody), deadline: bodiesDeadline}
		w.record.write("client: %s sent to %s", q.id, h.name)
		a := c.send(h.callers, q)
		t.add(q, a, kept)
		if a.status != http.StatusOK {
			time.Sleep(max(a.retryAfter, minClientWait))
		}
	}
}

// upload sends a request with a body of a size, with a length or in chunks, over uploadTime.
func upload(w *world, h *host, t *lossTally, size int, chunked bool) {
	ctx, cancel := context.WithTimeout(context.Background(), bodiesDeadline)
	defer cancel()
	q := request{id: newID()}
	body := &pacedBody{left: size, part: max(1, size/uploadParts), pause: uploadTime / uploadParts}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.callers.String()+"/lohu930/2f", body)
	if err != nil {
		return
	}
	req.Host = bodiesHost
	if !chunked {
		req.ContentLength = int64(size)
	}
	req.Header.Set("X-Attempt-Id", q.id)
	req.Header.Set("X-Request-Deadline", strconv.FormatInt(bodiesDeadline.Milliseconds(), 10))
	w.record.write("client: %s begins a body of %d bytes to %s, in chunks: %t", q.id, size, h.name, chunked)
	resp, err := newClient().http.Do(req)
	if err != nil {
		t.add(q, answer{err: err}, false)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	a := answer{status: resp.StatusCode}
	a.body, a.err = io.ReadAll(resp.Body)
	t.add(q, a, false)
}

// pacedBody is a body that is sent in parts with a pause before each.
type pacedBody struct {
	left, part int
	pause      time.Duration
}

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	n := min(len(p), b.part, b.left)
	copy(p, bytes.Repeat([]byte("x"), n))
	b.left -= n
	return n, nil
}
