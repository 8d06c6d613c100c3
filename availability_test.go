package vetchtrail

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestParseLeaving checks which values announce that an endpoint is leaving. If a valid value
// is ignored, requests go to an endpoint that stops. If a malformed value is accepted, a
// working endpoint is taken out of use.
func TestParseLeaving(t *testing.T) {
	cases := map[string]struct {
		text    string
		leaving bool
		err     error
	}{
		"empty":                        {"", false, nil},
		"leaving":                      {"1", true, nil},
		"not leaving":                  {"0", false, nil},
		"two values that differ":       {"0, 1", true, nil},
		"surrounded by blanks":         {" 1 ", true, nil},
		"word":                         {"true", false, ErrInvalidLeaving},
		"other number":                 {"2", false, ErrInvalidLeaving},
		"list with an empty value":     {"1,", false, ErrInvalidLeaving},
		"too long":                     {strings.Repeat("1,", 40) + "1", false, ErrInvalidLeaving},
		"valid value and invalid word": {"1, soon", false, ErrInvalidLeaving},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			leaving, err := ParseLeaving(c.text)
			assert.Equal(t, leaving, c.leaving)
			assert.ErrorIs(t, err, c.err)
		})
	}
}

// TestParsePause checks for how long an endpoint that refused a request is paused. A
// malformed or excessive value must not keep a working endpoint out of use.
func TestParsePause(t *testing.T) {
	cases := map[string]struct {
		text  string
		pause time.Duration
		err   error
	}{
		"empty":             {"", 0, nil},
		"seconds":           {"3", 3 * time.Second, nil},
		"fraction":          {"0.25", 250 * time.Millisecond, nil},
		"minutes":           {"600", 10 * time.Minute, nil},
		"zero":              {"0", 0, nil},
		"longest of two":    {"2, 7", 7 * time.Second, nil},
		"above the maximum": {"86400", time.Hour, nil},
		"negative":          {"-1", 0, ErrInvalidPause},
		"not a number":      {"NaN", 0, ErrInvalidPause},
		"infinite":          {"inf", 0, ErrInvalidPause},
		"over a century":    {"1e300", 0, ErrInvalidPause},
		"date":              {"Wed, 21 Oct 2026 07:28:00 GMT", 0, ErrInvalidPause},
		"word":              {"later", 0, ErrInvalidPause},
		"too long":          {strings.Repeat("1", 65), 0, ErrInvalidPause},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			pause, err := ParsePause(c.text)
			assert.Equal(t, pause, c.pause)
			assert.ErrorIs(t, err, c.err)
		})
	}
}

// FuzzParseAvailability checks that for any text from an endpoint the pause is bounded, and
// that a text with an error announces neither leaving nor a pause.
func FuzzParseAvailability(f *testing.F) {
	for _, text := range []string{"", "1", "0", "1, 0", "0.5", "-1", "NaN", "+Inf", "1e9", "Wed, 21 Oct 2026 07:28:00 GMT", "1,,", "\x00"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		leaving, err := ParseLeaving(text)
		assert.Assert(t, err == nil || !leaving)
		pause, err := ParsePause(text)
		assert.Assert(t, pause >= 0 && pause <= maxPause)
		assert.Assert(t, err == nil || pause == 0)
	})
}

// TestParseBrittle guards against a malformed number of refusals that is taken for a limit, and against one that is lost.
func TestParseBrittle(t *testing.T) {
	cases := map[string]struct {
		text  string
		want  int
		valid bool
	}{
		"missing":      {"", 0, true},
		"one number":   {"5", 5, true},
		"repeated":     {"7, 5", 5, true},
		"zero":         {"0", 0, false},
		"negative":     {"-1", 0, false},
		"not a number": {"many", 0, false},
		"a fraction":   {"1.5", 0, false},
		"too long":     {strings.Repeat("1", 100), 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := ParseBrittle(c.text)
			assert.Equal(t, got, c.want)
			assert.Equal(t, err == nil, c.valid, "%v", err)
		})
	}
}
