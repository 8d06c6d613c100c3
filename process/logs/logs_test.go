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

// pieces keeps what each write was given.
type pieces struct{ got []string }

func (p *pieces) Write(b []byte) (int, error) {
	p.got = append(p.got, string(b))
	return len(b), nil
}

// TestPieces: what is written at once is whole lines that a pipe takes in one piece.
func TestPieces(t *testing.T) {
	line := func(n int) string { return strings.Repeat("x", n-1) + "\n" }
	cases := map[string]struct {
		lines  []string
		pieces []int // lengths
	}{
		"one line":             {[]string{line(100)}, []int{100}},
		"some that fit":        {[]string{line(2000), line(2000)}, []int{4000}},
		"some that do not":     {[]string{line(2000), line(2000), line(2000)}, []int{4000, 2000}},
		"just as long":         {[]string{line(4096), line(1)}, []int{4096, 1}},
		"one that is too long": {[]string{line(10), line(9000), line(10)}, []int{10, 9000, 10}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var p pieces
			l := New(&p)
			l.mu.Lock() // so that all are written together
			for _, text := range c.lines {
				l.waiting = append(l.waiting, text...)
			}
			l.mu.Unlock()
			assert.NilError(t, l.Close())
			var lengths []int
			for _, g := range p.got {
				lengths = append(lengths, len(g))
			}
			assert.DeepEqual(t, lengths, c.pieces)
			assert.Equal(t, strings.Join(p.got, ""), strings.Join(c.lines, ""))
		})
	}
}
