package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// lateRequests are requests, none of which may run twice, that callers send until a host has stopped.
type lateRequests struct {
	mu       sync.Mutex
	runs     map[string]int // at the endpoint, by id
	statuses map[string]int // that callers got in a whole response, by id; 0: none
	sent     map[string]time.Time
}

// handle is the endpoint: most requests take 10 ms, some a fifth of a second, and few longer than the grace time.
func (l *lateRequests) handle(ctx *fasthttp.RequestCtx) {
	id := string(ctx.QueryArgs().Peek("id"))
	l.mu.Lock()
	l.runs[id]++
	l.mu.Unlock()
	delay, _ := time.ParseDuration(string(ctx.QueryArgs().Peek("delay")))
	time.Sleep(delay)
	ctx.SetBodyString("done")
}

// send sends requests one after the other, of which the number first decides which take long, on one connection while it is open, until the host can't be reached.
func (l *lateRequests) send(h *stoppingHost, first int) {
	var conn net.Conn
	var in *bufio.Reader
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	for n := 0; ; n++ {
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", h.cfg.Listen.Callers.String()); err != nil {
				return
			}
			_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
			in = bufio.NewReader(conn)
		}
		id, delay := fmt.Sprintf("%d-%d", first, n), 10*time.Millisecond
		switch {
		case (n+first)%16 == 13:
			delay = 2 * testGrace
		case n%6 == 3:
			delay = 200 * time.Millisecond
		}
		sent := time.Now()
		_, _ = io.WriteString(conn, lateRequest(id, delay))
		status, open := l.receive(in, id, sent)
		if !open {
			_ = conn.Close()
			conn = nil
		}
		if status != http.StatusOK {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// lateRequest returns a request that the endpoint runs for some time.
func lateRequest(id string, delay time.Duration) string {
	return fmt.Sprintf("POST /p/x?id=%s&delay=%s HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody", id, delay)
}

// receive reads and records the response to a request.
func (l *lateRequests) receive(in *bufio.Reader, id string, sent time.Time) (status int, open bool) {
	status, open = readWhole(in)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statuses[id], l.sent[id] = status, sent
	return status, open
}

// sendOnce opens a connection, sends the first bytes of a request at once and the rest at a time.
func (l *lateRequests) sendOnce(h *stoppingHost, id string, first int, at time.Time) {
	conn, err := net.Dial("tcp", h.cfg.Listen.Callers.String())
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	request := lateRequest(id, 200*time.Millisecond)
	_, _ = io.WriteString(conn, request[:first])
	time.Sleep(time.Until(at))
	sent := time.Now()
	_, _ = io.WriteString(conn, request[first:])
	l.receive(bufio.NewReader(conn), id, sent)
}

// readWhole reads a response. It returns status 0 if there is none or if it is cut, and whether the connection stays open.
func readWhole(in *bufio.Reader) (status int, open bool) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, false
	}
	return resp.StatusCode, !resp.Close
}

// TestLateRequestsAreAnsweredOrNotRun guards against requests that run late in the grace time and are cut without a response.
func TestLateRequestsAreAnsweredOrNotRun(t *testing.T) {
	for _, bounded := range []bool{false, true} {
		t.Run(fmt.Sprint("bounded buffers ", bounded), func(t *testing.T) {
			l := &lateRequests{runs: map[string]int{}, statuses: map[string]int{}, sent: map[string]time.Time{}}
			h := startStoppingHost(t, 256, l.handle, bounded)
			var callers sync.WaitGroup
			for i := range 24 {
				callers.Go(func() { l.send(h, i) })
			}
			signalled := time.Now().Add(200 * time.Millisecond)
			for i := range 40 {
				at := signalled.Add(time.Duration(i) * testGrace / 40)
				callers.Go(func() { l.sendOnce(h, fmt.Sprint("idle", i), 0, at) })
				callers.Go(func() { l.sendOnce(h, fmt.Sprint("begun", i), 20, at) })
			}
			time.Sleep(time.Until(signalled))
			signalled = time.Now()
			h.Leave()
			h.awaitEnd(t, signalled)
			callers.Wait()
			l.mu.Lock()
			defer l.mu.Unlock()
			count := map[int]int{}
			for id, status := range l.statuses {
				count[status]++
				assert.Assert(t, l.runs[id] <= 1, "%s ran %d times", id, l.runs[id])
				ran := l.runs[id] > 0
				assert.Assert(t, !ran || l.sent[id].Before(h.stopPlan.TakeUntil), "%s was taken %s after the signal", id, l.sent[id].Sub(signalled))
				switch status {
				case 0, http.StatusServiceUnavailable:
					assert.Assert(t, !ran, "%s: status %d, but it ran", id, status)
				case http.StatusOK, http.StatusBadGateway:
					assert.Assert(t, ran, "%s: status %d, but it did not run", id, status)
				default:
					t.Errorf("%s: status %d", id, status)
				}
			}
			assert.Assert(t, count[http.StatusOK] > 0 && count[http.StatusServiceUnavailable] > 0 && count[http.StatusBadGateway] > 0, "by status: %v", count)
			t.Logf("by status: %v", count)
		})
	}
}
