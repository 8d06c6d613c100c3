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
	defaultResponseTokens = 16   // of a request that sets no max_tokens
	maxResponseTokens     = 4096 // most tokens of any response
	bytesPerToken         = 4    // of a prompt
	tokensPerBlock        = 16   // of the prefix cache, which finds whole blocks only
)

// completionRequest holds the fields of a completion request that the engine reads.
type completionRequest struct {
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  []struct {
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

// promptText returns the prompt: the raw JSON of the messages' contents one after
// the other, or that of the field prompt if there are no messages.
func (r *completionRequest) promptText() string {
	if len(r.Messages) == 0 {
		return string(r.Prompt)
	}
	var b strings.Builder
	for _, m := range r.Messages {
		b.Write(m.Content)
	}
	return b.String()
}

// responseTokens returns the number of tokens of the response.
func (r *completionRequest) responseTokens() int {
	if r.MaxTokens <= 0 {
		return defaultResponseTokens
	}
	return min(r.MaxTokens, maxResponseTokens)
}

// Token returns the token of index n, from 0, of the response to a prompt. The
// prompt is the raw JSON of its contents one after the other.
func Token(prompt string, n int) string {
	return fmt.Sprintf("%08x-%d ", uint32(xxhash.Sum64String(prompt)), n)
}

// ResponseText returns the text of the complete response to a prompt.
func ResponseText(prompt string, tokens int) string {
	var b strings.Builder
	for n := range tokens {
		b.WriteString(Token(prompt, n))
	}
	return b.String()
}

// acquireSlot takes a slot. If none is free, it waits in the queue for one. It returns
// false, without a slot, if ctx ends first. It does not check the queue's limit:
// handleCompletion rejects requests by queueFull.
func (s *Server) acquireSlot(ctx context.Context) bool {
	s.mu.Lock()
	if s.running < s.cfg.Slots && len(s.waiting) == 0 {
		s.running++
		s.mu.Unlock()
		return true
	}
	granted := make(chan struct{})
	s.waiting = append(s.waiting, granted)
	s.mu.Unlock()
	select {
	case <-granted:
		return true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range s.waiting {
		if w == granted {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return false
		}
	}
	s.releaseSlot() // the request got its slot when ctx had just ended
	return false
}

// queueFull reports whether no slot is free and the queue is at its limit.
func (s *Server) queueFull() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running >= s.cfg.Slots && len(s.waiting) >= s.cfg.Queue
}

// releaseSlot gives a slot to the oldest queued request, or frees the slot if the queue
// is empty. The caller holds the lock.
func (s *Server) releaseSlot() {
	if len(s.waiting) > 0 {
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
		return
	}
	s.running--
}

// generate waits for a slot and fills a stream with the response's tokens at the
// engine's speed, until the response is complete or ctx ends. The response to a poison request
// is never complete: the engine crashes under it.
func (s *Server) generate(ctx context.Context, st *stream, prompt string, tokens int, poison bool) {
	defer st.finish(ctx)
	if !s.acquireSlot(ctx) {
		return
	}
	began := time.Now()
	defer func() {
		s.mu.Lock()
		s.stats.SlotTime += time.Since(began)
		if ctx.Err() != nil {
			s.stats.Cancelled++
		}
		s.releaseSlot()
		s.mu.Unlock()
	}()
	sleep(ctx, s.prefillTime(prompt))
	for n := range tokens {
		if ctx.Err() != nil {
			return
		}
		st.addToken(Token(prompt, n))
		s.mu.Lock()
		stepTime := s.stepTime()
		s.mu.Unlock()
		sleep(ctx, stepTime)
	}
	if poison {
		<-ctx.Done()
	}
	if ctx.Err() == nil {
		st.markComplete()
	}
}

// prefillTime returns the time to process the part of a prompt that is not cached,
// adds the prompt to the cache and counts its tokens.
func (s *Server) prefillTime(prompt string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	promptTokens := len(prompt)/bytesPerToken + 1
	cached := s.cache.lookUpAndAdd(prompt)
	s.stats.Started++
	s.stats.Prompt += promptTokens
	s.stats.Cached += min(cached, promptTokens)
	return time.Duration(float64(s.cfg.Prefill) * float64(max(promptTokens-cached, 1)) * s.slowFactor())
}

// sleep waits for a time or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// prefixCache holds the most recently used blocks of prompts. A block is identified
// by the hash of the prompt from its beginning to the end of the block.
type prefixCache struct {
	capacityTokens int
	blocks         map[uint64]*list.Element
	order          list.List // most recently used first; the values are the blocks' hashes
}

// lookUpAndAdd returns the number of tokens at a prompt's beginning that were cached, and
// caches all whole blocks of the prompt. If this exceeds the capacity, it evicts the
// least recently used blocks.
func (c *prefixCache) lookUpAndAdd(prompt string) int {
	if c.blocks == nil {
		c.blocks = map[uint64]*list.Element{}
	}
	hits, missed := 0, false
	const size = tokensPerBlock * bytesPerToken
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
	for c.order.Len()*tokensPerBlock > c.capacityTokens && c.order.Len() > 0 {
		last := c.order.Back()
		delete(c.blocks, last.Value.(uint64))
		c.order.Remove(last)
	}
	return hits * tokensPerBlock
}

// ClearCache empties the prefix cache, as a restart does.
func (s *Server) ClearCache() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache = prefixCache{capacityTokens: s.cfg.Cache}
}
