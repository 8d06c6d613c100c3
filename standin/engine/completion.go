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

// streamRetention is how long after its start a stream can be resumed.
const streamRetention = time.Minute

// stream is a response that is being generated. Several connections may read it.
type stream struct {
	mu           sync.Mutex
	tokens       []string           // generated so far
	complete     bool               // the response has all its tokens
	ended        bool               // no token follows, whether complete or not
	changed      chan struct{}      // closed and replaced at each change
	cancel       context.CancelFunc // ends the generation
	readers      int
	resumeWindow time.Duration // how long the generation continues without a reader
}

// newStream returns an empty stream, and the context of its generation.
func newStream(resumeWindow time.Duration) (*stream, context.Context) {
	ctx, cancel := context.WithCancel(context.Background())
	return &stream{changed: make(chan struct{}), cancel: cancel, resumeWindow: resumeWindow}, ctx
}

// addToken appends a token and wakes the readers.
func (st *stream) addToken(token string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.tokens = append(st.tokens, token)
	st.notify()
}

// markComplete marks that the response has all its tokens. finish is called after it.
func (st *stream) markComplete() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.complete = true
}

// finish marks the end of the generation, complete or not.
func (st *stream) finish(context.Context) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.ended = true
	st.notify()
}

// notify wakes the readers. The caller holds the lock.
func (st *stream) notify() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// read waits for the token of index n and returns it. While it waits, it calls giveUp
// every few milliseconds. ok is false if the stream ended before that token, or if
// giveUp returned true. If ok is false, completed reports whether the response has
// all its tokens.
func (st *stream) read(n int, giveUp func() bool) (token string, ok, completed bool) {
	for {
		st.mu.Lock()
		if n < len(st.tokens) {
			defer st.mu.Unlock()
			return st.tokens[n], true, false
		}
		if st.ended {
			defer st.mu.Unlock()
			return "", false, st.complete
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

// addReader registers a reader.
func (st *stream) addReader() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.readers++
}

// removeReader unregisters a reader. If it was the last one, the generation is cancelled
// at the end of the resume window, unless the stream has a reader again by then.
func (st *stream) removeReader() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.readers--
	if st.readers == 0 && !st.ended {
		time.AfterFunc(st.resumeWindow, func() {
			st.mu.Lock()
			defer st.mu.Unlock()
			if st.readers == 0 {
				st.cancel()
			}
		})
	}
}

// handleCompletion serves a completion request. It rejects the request without
// starting it if a fault or an announcement requires that, or if the queue is full.
func (s *Server) handleCompletion(ctx *fasthttp.RequestCtx) {
	f := s.consumeFaults()
	if s.injectFault(ctx, f) {
		return
	}
	var req completionRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if seconds := s.rejectSeconds(); seconds != "" {
		reject(ctx, seconds)
		return
	}
	if f.Refuse || s.queueFull() {
		reject(ctx, "1")
		return
	}
	time.Sleep(f.Delay)
	s.executions.Record(&ctx.Request.Header)
	resumeWindow, _ := strconv.Atoi(string(ctx.Request.Header.Peek("Resume-Window")))
	st, generationCtx := newStream(time.Duration(resumeWindow) * time.Second)
	requestID := string(ctx.Request.Header.Peek("X-Request-Id"))
	s.storeStream(requestID, st)
	st.addReader()
	prompt := req.promptText()
	go s.generate(generationCtx, st, prompt, req.responseTokens(), s.crashIfPoison(prompt))
	if req.Stream {
		s.sendEvents(ctx, st, 0, f)
		return
	}
	s.sendWhole(ctx, st)
}

// consumeFaults returns the faults for one request and decrements Reset.
func (s *Server) consumeFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	if s.faults.Reset > 0 {
		s.faults.Reset--
	}
	return f
}

// injectFault handles a request that is subject to Reset, Silent or Nonsense. It
// returns false, and does nothing, if none of these faults is set.
func (s *Server) injectFault(ctx *fasthttp.RequestCtx, f Faults) bool {
	switch {
	case f.Reset > 0:
		_ = ctx.Conn().Close()
	case f.Silent:
		s.executions.Record(&ctx.Request.Header)
		for !probe.Closed(ctx.Conn()) {
			time.Sleep(20 * time.Millisecond)
		}
	case f.Nonsense:
		s.executions.Record(&ctx.Request.Header)
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _, _ = c.Write([]byte("what a lovely day\r\n\r\n")) })
	default:
		return false
	}
	return true
}

// storeStream stores a stream by its request id for streamRetention, so that callers can
// resume it.
func (s *Server) storeStream(requestID string, st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[requestID] = st
	time.AfterFunc(streamRetention, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.streams, requestID)
	})
}

// handleResume sends the rest of a stream after the event that the caller names in
// Last-Event-Id. It responds with status 410 if the stream is unknown.
func (s *Server) handleResume(ctx *fasthttp.RequestCtx, requestID string) {
	from, err := strconv.Atoi(string(ctx.Request.Header.Peek("Last-Event-Id")))
	s.mu.Lock()
	st, ok := s.streams[requestID]
	s.mu.Unlock()
	if !ok || err != nil {
		ctx.SetStatusCode(fasthttp.StatusGone)
		return
	}
	st.addReader()
	s.sendEvents(ctx, st, from, Faults{})
}

// sendEvents sends the tokens of index from and above, each as an event. It stops
// when the caller has closed the connection.
func (s *Server) sendEvents(ctx *fasthttp.RequestCtx, st *stream, from int, f Faults) {
	conn := ctx.Conn()
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer st.removeReader()
		for n := from; ; n++ {
			if f.CutAfter > 0 && n >= f.CutAfter {
				_ = conn.Close()
				return
			}
			if f.EndEarly > 0 && n >= f.EndEarly {
				return
			}
			token, ok, completed := st.read(n, func() bool { return probe.Closed(conn) })
			if !ok {
				finishEvents(w, conn, completed)
				return
			}
			chunk, _ := json.Marshal(newChunk(token))
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, chunk)
			if w.Flush() != nil {
				return
			}
		}
	})
}

// finishEvents ends a stream: with the last event [DONE] if the response is complete,
// otherwise by closing the connection.
func finishEvents(w *bufio.Writer, conn net.Conn, completed bool) {
	if !completed {
		_ = conn.Close()
		return
	}
	_, _ = w.WriteString("data: [DONE]\n\n")
	_ = w.Flush()
}

// Chunk is the data of an event, or a response that is not streamed.
type Chunk struct {
	Object  string   `json:"object"`
	Choices []Choice `json:"choices"`
}

// Choice is the only choice of a chunk.
type Choice struct {
	Delta   *Message `json:"delta,omitempty"`   // of an event
	Message *Message `json:"message,omitempty"` // of a response that is not streamed
}

// Message is a part of the response's text, or all of it.
type Message struct {
	Content string `json:"content"`
}

// newChunk returns the data of the event for a token.
func newChunk(token string) Chunk {
	return Chunk{Object: "chat.completion.chunk", Choices: []Choice{{Delta: &Message{Content: token}}}}
}

// sendWhole sends the response as one body once it is complete. It closes the
// connection if the generation ends before that.
func (s *Server) sendWhole(ctx *fasthttp.RequestCtx, st *stream) {
	defer st.removeReader()
	var b strings.Builder
	conn := ctx.Conn()
	for n := 0; ; n++ {
		token, ok, completed := st.read(n, func() bool { return probe.Closed(conn) })
		if !ok && !completed {
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
