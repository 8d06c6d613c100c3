package vetchtrail

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestReadLeaving: which texts say that an endpoint leaves.
func TestReadLeaving(t *testing.T) {
	cases := map[string]struct {
		text    string
		leaving bool
		err     error
	}{
		"nothing":             {"", false, nil},
		"it leaves":           {"1", true, nil},
		"it doesn't":          {"0", false, nil},
		"twice, differently":  {"0, 1", true, nil},
		"a blank around it":   {" 1 ", true, nil},
		"a word":              {"true", false, ErrLeaving},
		"another number":      {"2", false, ErrLeaving},
		"a list with a hole":  {"1,", false, ErrLeaving},
		"beyond any notice":   {strings.Repeat("1,", 40) + "1", false, ErrLeaving},
		"one, and not a word": {"1, soon", false, ErrLeaving},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			leaving, err := ReadLeaving(c.text)
			assert.Equal(t, leaving, c.leaving)
			assert.ErrorIs(t, err, c.err)
		})
	}
}

// TestReadPause: for how long an endpoint that turned a request away wants nothing.
func TestReadPause(t *testing.T) {
	cases := map[string]struct {
		text  string
		pause time.Duration
		err   error
	}{
		"nothing":           {"", 0, nil},
		"seconds":           {"3", 3 * time.Second, nil},
		"a fraction":        {"0.25", 250 * time.Millisecond, nil},
		"minutes":           {"600", 10 * time.Minute, nil},
		"none":              {"0", 0, nil},
		"twice":             {"2, 7", 7 * time.Second, nil},
		"beyond the most":   {"86400", time.Hour, nil},
		"negative":          {"-1", 0, ErrPause},
		"not a number":      {"NaN", 0, ErrPause},
		"infinite":          {"inf", 0, ErrPause},
		"far too large":     {"1e300", 0, ErrPause},
		"a date":            {"Wed, 21 Oct 2026 07:28:00 GMT", 0, ErrPause},
		"a word":            {"later", 0, ErrPause},
		"beyond any notice": {strings.Repeat("1", 65), 0, ErrPause},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			pause, err := ReadPause(c.text)
			assert.Equal(t, pause, c.pause)
			assert.ErrorIs(t, err, c.err)
		})
	}
}

// FuzzReadNotice: whatever an endpoint writes, what is read is bounded, and an error says nothing.
func FuzzReadNotice(f *testing.F) {
	for _, text := range []string{"", "1", "0", "1, 0", "0.5", "-1", "NaN", "+Inf", "1e9", "Wed, 21 Oct 2026 07:28:00 GMT", "1,,", "\x00"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		leaving, err := ReadLeaving(text)
		assert.Assert(t, err == nil || !leaving)
		pause, err := ReadPause(text)
		assert.Assert(t, pause >= 0 && pause <= longestPause)
		assert.Assert(t, err == nil || pause == 0)
	})
}
