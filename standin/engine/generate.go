package engine

import (
	"container/list"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	defaultTokens = 16
	maxTokens     = 4096
	bytesPerToken = 4
	blockTokens   = 16 // of the prefix cache
)

// question is the part of a completion request that the engine reads.
type question struct {
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  []struct {
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

func (q *question) text() string {
	if len(q.Messages) == 0 {
		return string(q.Prompt)
	}
	var b strings.Builder
	for _, m := range q.Messages {
		b.Write(m.Content)
	}
	return b.String()
}

func (q *question) tokens() int {
	if q.MaxTokens <= 0 {
		return defaultTokens
	}
	return min(q.MaxTokens, maxTokens)
}

// Token returns the n-th token of the answer to a prompt, where the prompt is
// the raw JSON of its contents one after the other.
func Token(prompt string, n int) string {
	return fmt.Sprintf("%08x-%d ", uint32(xxhash.Sum64String(prompt)), n)
}

// Answer returns the whole answer to a prompt.
func Answer(prompt string, tokens int) string {
	var b strings.Builder
	for n := range tokens {
		b.WriteString(Token(prompt, n))
	}
	return b.String()
}

// admit takes a slot, waiting in the engine's queue if there is room; false:
// there is none.
func (s *Server) admit(ctx context.Context) bool {
	s.mu.Lock()
	if s.running < s.cfg.Slots && len(s.waiting) == 0 {
		s.running++
		s.mu.Unlock()
		return true
	}
	turn := make(chan struct{})
	s.waiting = append(s.waiting, turn)
	s.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range s.waiting {
		if w == turn {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return false
		}
	}
	s.pass() // the turn came meanwhile
	return false
}

// full says whether the queue has no room.
func (s *Server) full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running >= s.cfg.Slots && len(s.waiting) >= s.cfg.Queue
}

// pass gives a slot to the next, or frees it. The caller holds the lock.
func (s *Server) pass() {
	if len(s.waiting) > 0 {
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
		return
	}
	s.running--
}

// generate fills a stream with the answer's tokens.
func (s *Server) generate(ctx context.Context, st *stream, prompt string, tokens int) {
	defer st.end(ctx)
	if !s.admit(ctx) {
		return
	}
	began := time.Now()
	defer func() {
		s.mu.Lock()
		s.stats.Busy += time.Since(began)
		if ctx.Err() != nil {
			s.stats.Cancelled++
		}
		s.pass()
		s.mu.Unlock()
	}()
	sleep(ctx, s.prefill(prompt))
	for n := range tokens {
		if ctx.Err() != nil {
			return
		}
		st.add(Token(prompt, n))
		s.mu.Lock()
		step := s.step()
		s.mu.Unlock()
		sleep(ctx, step)
	}
	if ctx.Err() == nil {
		st.whole()
	}
}

// prefill returns the time for the uncached part of a prompt and caches it.
func (s *Server) prefill(prompt string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := len(prompt)/bytesPerToken + 1
	cached := s.cache.use(prompt)
	s.stats.Started++
	s.stats.Prompt += all
	s.stats.Cached += min(cached, all)
	return time.Duration(float64(s.cfg.Prefill) * float64(max(all-cached, 1)) * s.slow())
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// prefixCache keeps the newest blocks of prompts.
type prefixCache struct {
	capacity int // tokens
	blocks   map[uint64]*list.Element
	order    list.List // newest first; values are the blocks' hashes
}

// use returns how many tokens of a prompt's beginning were cached, and caches
// the whole.
func (c *prefixCache) use(prompt string) int {
	if c.blocks == nil {
		c.blocks = map[uint64]*list.Element{}
	}
	hits, missed := 0, false
	const size = blockTokens * bytesPerToken
	for end := size; end <= len(prompt); end += size {
		h := xxhash.Sum64String(prompt[:end])
		if e, ok := c.blocks[h]; ok {
			c.order.MoveToFront(e)
			if !missed {
				hits++
			}
			continue
		}
		missed = true
		c.blocks[h] = c.order.PushFront(h)
	}
	for c.order.Len()*blockTokens > c.capacity && c.order.Len() > 0 {
		last := c.order.Back()
		delete(c.blocks, last.Value.(uint64))
		c.order.Remove(last)
	}
	return hits * blockTokens
}

// ClearCache forgets all prefixes, as a restart does.
func (s *Server) ClearCache() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache = prefixCache{capacity: s.cfg.Cache}
}
