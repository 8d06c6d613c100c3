package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// stalled is a reader of the log that takes nothing until it is let.
type stalled struct {
	let chan struct{}
	mu  sync.Mutex
	got bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.let
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

// TestStalledReader: a reader that takes nothing holds nobody up; what did not
// fit is counted, and the lines written are whole.
func TestStalledReader(t *testing.T) {
	s := &stalled{let: make(chan struct{})}
	l := New(s)
	line := strings.Repeat("x", 1023) + "\n"
	const lines = 4 * bufferSize / 1024
	for range lines {
		n, err := l.Write([]byte(line))
		assert.NilError(t, err)
		assert.Equal(t, n, len(line))
	}
	close(s.let)
	assert.NilError(t, l.Close())
	text := s.got.String()
	assert.Assert(t, strings.Contains(text, `"log lines dropped"`))
	for _, got := range strings.Split(strings.TrimSuffix(text, "\n"), "\n") {
		assert.Assert(t, got+"\n" == line || strings.HasPrefix(got, "{"), "a broken line: %.40q", got)
	}
	assert.Assert(t, strings.Count(text, line) < lines)
}
