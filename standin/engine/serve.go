package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"vetchtrail/connection/probe"
)

// keptStreams is how long a stream stays after its end, to be resumed.
const keptStreams = time.Minute

// stream is an answer being made.
type stream struct {
	mu      sync.Mutex
	tokens  []string
	done    bool // came whole
	ended   bool
	changed chan struct{}
	cancel  context.CancelFunc
	readers int
	window  time.Duration // how long it goes on without a reader
}

func newStream(window time.Duration) (*stream, context.Context) {
	ctx, cancel := context.WithCancel(context.Background())
	return &stream{changed: make(chan struct{}), cancel: cancel, window: window}, ctx
}

func (st *stream) add(token string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.tokens = append(st.tokens, token)
	st.wake()
}

func (st *stream) whole() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.done = true
}

func (st *stream) end(context.Context) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.ended = true
	st.wake()
}

func (st *stream) wake() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// read returns the token at a place, waiting for it; ok: there is one.
func (st *stream) read(n int, giveUp func() bool) (token string, ok, whole bool) {
	for {
		st.mu.Lock()
		if n < len(st.tokens) {
			defer st.mu.Unlock()
			return st.tokens[n], true, false
		}
		if st.ended {
			defer st.mu.Unlock()
			return "", false, st.done
		}
		changed := st.changed
		st.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(20 * time.Millisecond):
			if giveUp() {
				return "", false, false
			}
		}
	}
}

// attach counts a reader; detach lets the stream go when the last is gone.
func (st *stream) attach() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.readers++
}

func (st *stream) detach() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.readers--
	if st.readers == 0 && !st.ended {
		time.AfterFunc(st.window, func() {
			st.mu.Lock()
			defer st.mu.Unlock()
			if st.readers == 0 {
				st.cancel()
			}
		})
	}
}

func (s *Server) handleCompletion(ctx *fasthttp.RequestCtx) {
	f := s.takeFaults()
	if s.broken(ctx, f) {
		return
	}
	var q question
	if err := json.Unmarshal(ctx.PostBody(), &q); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if seconds := s.away(); seconds != "" {
		turnAway(ctx, seconds)
		return
	}
	if f.Refuse || s.full() {
		turnAway(ctx, "1")
		return
	}
	time.Sleep(f.Delay)
	s.runs.Record(&ctx.Request.Header)
	window, _ := strconv.Atoi(string(ctx.Request.Header.Peek("Resume-Window")))
	st, run := newStream(time.Duration(window) * time.Second)
	name := string(ctx.Request.Header.Peek("X-Request-Id"))
	s.keep(name, st)
	st.attach()
	prompt := q.text()
	s.deadly(prompt)
	go s.generate(run, st, prompt, q.tokens())
	if q.Stream {
		s.sendEvents(ctx, st, 0, f)
		return
	}
	s.sendWhole(ctx, st)
}

// takeFaults returns the faults and uses up those that count requests.
func (s *Server) takeFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	if s.faults.Reset > 0 {
		s.faults.Reset--
	}
	return f
}

// broken does what a broken engine does; false: it is not.
func (s *Server) broken(ctx *fasthttp.RequestCtx, f Faults) bool {
	switch {
	case f.Reset > 0:
		_ = ctx.Conn().Close()
	case f.Silent:
		s.runs.Record(&ctx.Request.Header)
		for !probe.Closed(ctx.Conn()) {
			time.Sleep(20 * time.Millisecond)
		}
	case f.Nonsense:
		s.runs.Record(&ctx.Request.Header)
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _, _ = c.Write([]byte("what a lovely day\r\n\r\n")) })
	default:
		return false
	}
	return true
}

func (s *Server) keep(name string, st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[name] = st
	time.AfterFunc(keptStreams, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.streams, name)
	})
}

func (s *Server) handleResume(ctx *fasthttp.RequestCtx, name string) {
	from, err := strconv.Atoi(string(ctx.Request.Header.Peek("Last-Event-Id")))
	s.mu.Lock()
	st, ok := s.streams[name]
	s.mu.Unlock()
	if !ok || err != nil {
		ctx.SetStatusCode(fasthttp.StatusGone)
		return
	}
	st.attach()
	s.sendEvents(ctx, st, from, Faults{})
}

// sendEvents sends the tokens after a place as events.
func (s *Server) sendEvents(ctx *fasthttp.RequestCtx, st *stream, from int, f Faults) {
	conn := ctx.Conn()
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer st.detach()
		for n := from; ; n++ {
			if f.CutAfter > 0 && n >= f.CutAfter {
				_ = conn.Close()
				return
			}
			if f.EndEarly > 0 && n >= f.EndEarly {
				return
			}
			token, ok, whole := st.read(n, func() bool { return probe.Closed(conn) })
			if !ok {
				sendEnd(w, conn, whole)
				return
			}
			chunk, _ := json.Marshal(chunkOf(token))
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, chunk)
			if w.Flush() != nil {
				return
			}
		}
	})
}

// sendEnd ends a stream: with its last event if it came whole, else cut.
func sendEnd(w *bufio.Writer, conn net.Conn, whole bool) {
	if !whole {
		_ = conn.Close()
		return
	}
	_, _ = w.WriteString("data: [DONE]\n\n")
	_ = w.Flush()
}

// Chunk is the data of one event.
type Chunk struct {
	Object  string   `json:"object"`
	Choices []Choice `json:"choices"`
}

// Choice is a chunk's or an answer's only choice.
type Choice struct {
	Delta   *Message `json:"delta,omitempty"`
	Message *Message `json:"message,omitempty"`
}

// Message is a part of an answer.
type Message struct {
	Content string `json:"content"`
}

func chunkOf(token string) Chunk {
	return Chunk{Object: "chat.completion.chunk", Choices: []Choice{{Delta: &Message{Content: token}}}}
}

func (s *Server) sendWhole(ctx *fasthttp.RequestCtx, st *stream) {
	defer st.detach()
	var b strings.Builder
	conn := ctx.Conn()
	for n := 0; ; n++ {
		token, ok, whole := st.read(n, func() bool { return probe.Closed(conn) })
		if !ok && !whole {
			_ = conn.Close()
			return
		}
		if !ok {
			break
		}
		b.WriteString(token)
	}
	writeJSON(ctx, Chunk{Object: "chat.completion", Choices: []Choice{{Message: &Message{Content: b.String()}}}})
}
