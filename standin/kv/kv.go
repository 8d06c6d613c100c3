// Package kv is a stand-in for the platform's key-value store. It implements the
// part of Consul's published KV interface that the system uses: GET with blocking
// queries, PUT with check-and-set, and DELETE. All data is in memory.
//
// PUT /faults with a JSON Faults injects faults, and GET /faults returns the
// Counts of calls.
package kv

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"vetchtrail/standin/listen"
)

// Faults are the faults that the store injects into its calls.
type Faults struct {
	Outage        bool          `json:"outage"`       // respond to every call with status 500
	Silent        bool          `json:"silent"`       // respond to every call only after a minute
	LoseResponses int           `json:"lose_answers"` // number of further writes that take effect, but whose connection is closed without a response
	Delay         time.Duration `json:"delay"`        // before each response, in nanoseconds
	Writes        int           `json:"writes"`       // limit per second; 0: no limit; negative: no write is allowed
	Reads         int           `json:"reads"`        // limit per second; 0: no limit; negative: no read is allowed
}

// Counts are the numbers of calls since the start.
type Counts struct {
	Writes  int `json:"writes"`  // calls other than GET, whether they took effect or not
	Reads   int `json:"reads"`   // GET calls
	Lost    int `json:"lost"`    // writes that took effect without a response
	Refused int `json:"refused"` // calls during Outage or Silent, and calls over a limit
}

// maxValueBytes bounds the size of a value; a larger one gets status 413.
const maxValueBytes = 1 << 20

// item is a stored value.
type item struct {
	value []byte
	index uint64 // of the change that wrote it, Consul's ModifyIndex
}

// Server is the key-value store.
type Server struct {
	mu      sync.Mutex
	items   map[string]item
	index   uint64        // of the newest change
	changed chan struct{} // closed and replaced at each change
	faults  Faults
	counts  Counts

	currentSecond  int64  // Unix time to which usedThisSecond applies
	usedThisSecond Counts // calls counted against the limits
}

// New returns an empty store.
func New() *Server {
	return &Server{items: map[string]item{}, index: 1, changed: make(chan struct{})}
}

// Serve handles the requests on a listener until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	return listen.Serve(ctx, l, s.handle)
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns the numbers of calls so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// handle serves a request by its path: a key, or /faults.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/faults":
		s.handleFaults(ctx)
	case strings.HasPrefix(path, "/v1/kv/"):
		s.handleKey(ctx, strings.TrimPrefix(path, "/v1/kv/"))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// handleFaults returns the counts of calls for a GET. Otherwise it replaces the faults by
// those in the body.
func (s *Server) handleFaults(ctx *fasthttp.RequestCtx) {
	if ctx.IsGet() {
		body, _ := json.Marshal(s.Counts())
		ctx.SetBody(body)
		return
	}
	var f Faults
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

// handleKey serves a call on a key. It first counts the call and applies the faults.
func (s *Server) handleKey(ctx *fasthttp.RequestCtx, key string) {
	f, ok := s.countCall(!ctx.IsGet())
	if f.Silent {
		time.Sleep(time.Minute)
	}
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	if f.Outage {
		ctx.Error("injected outage", fasthttp.StatusInternalServerError)
		return
	}
	if !ok {
		ctx.Error("rate limit", fasthttp.StatusTooManyRequests)
		return
	}
	if len(ctx.PostBody()) > maxValueBytes {
		ctx.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
		return
	}
	switch string(ctx.Method()) {
	case fasthttp.MethodGet:
		s.get(ctx, key)
	case fasthttp.MethodPut:
		s.put(ctx, key)
	case fasthttp.MethodDelete:
		s.remove(key)
		ctx.SetBodyString("true")
	default:
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
	}
}

// countCall counts a call. It returns the faults in force and whether the limits
// on reads and writes allow the call.
func (s *Server) countCall(write bool) (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now().Unix(); now != s.currentSecond {
		s.currentSecond, s.usedThisSecond = now, Counts{}
	}
	var ok bool
	if write {
		s.counts.Writes++
		s.usedThisSecond.Writes++
		ok = s.faults.Writes == 0 || s.usedThisSecond.Writes <= s.faults.Writes
	} else {
		s.counts.Reads++
		s.usedThisSecond.Reads++
		ok = s.faults.Reads == 0 || s.usedThisSecond.Reads <= s.faults.Reads
	}
	if !ok || s.faults.Outage || s.faults.Silent {
		s.counts.Refused++
	}
	return s.faults, ok
}

// get returns a key's value in Consul's JSON form. If the query sets an index and a wait
// time (a blocking query), it first waits for a change.
func (s *Server) get(ctx *fasthttp.RequestCtx, key string) {
	args := ctx.QueryArgs()
	index, _ := strconv.ParseUint(string(args.Peek("index")), 10, 64)
	wait, err := time.ParseDuration(string(args.Peek("wait")))
	if err != nil {
		wait = 0
	}
	found, ok, newest := s.waitForChange(key, index, time.Now().Add(wait))
	ctx.Response.Header.Set("X-Consul-Index", strconv.FormatUint(newest, 10))
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	body, _ := json.Marshal([]map[string]any{{"Key": key, "Value": found.value, "ModifyIndex": found.index}})
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// waitForChange returns a key's item, whether the key exists, and the index of the newest
// change. It waits until the item's index is higher than the given one, or until the
// deadline. It does not wait if the given index is 0.
func (s *Server) waitForChange(key string, index uint64, deadline time.Time) (item, bool, uint64) {
	for {
		s.mu.Lock()
		found, ok := s.items[key]
		changed, newest := s.changed, s.index
		s.mu.Unlock()
		if index == 0 || (ok && found.index > index) || !time.Now().Before(deadline) {
			return found, ok, newest
		}
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		}
	}
}

// put stores the body as a key's value. The query parameter cas makes the write
// conditional: the key's index must be its value; 0 means that the key must not exist.
func (s *Server) put(ctx *fasthttp.RequestCtx, key string) {
	args := ctx.QueryArgs()
	expect, _ := strconv.ParseUint(string(args.Peek("cas")), 10, 64)
	done, lost := s.write(key, append([]byte(nil), ctx.PostBody()...), args.Has("cas"), expect)
	if lost {
		_ = ctx.Conn().Close()
		return
	}
	ctx.SetBodyString(strconv.FormatBool(done))
}

// write stores a value. done is false if cas is set and the key's index is not
// the expected one. If lost is true, the caller must not respond to the write.
func (s *Server) write(key string, value []byte, cas bool, expect uint64) (done, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cas && s.items[key].index != expect {
		return false, false
	}
	s.recordChange()
	s.items[key] = item{value: value, index: s.index}
	if s.faults.LoseResponses > 0 {
		s.faults.LoseResponses--
		s.counts.Lost++
		return true, true
	}
	return true, false
}

// remove deletes a key. The index rises even if the key does not exist.
func (s *Server) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordChange()
	delete(s.items, key)
}

// recordChange raises the index and wakes the blocking queries. The caller holds
// the lock.
func (s *Server) recordChange() {
	s.index++
	close(s.changed)
	s.changed = make(chan struct{})
}
