package vetchtrail

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
)

// TestParseRateLimit checks which texts are a rate limit. A malformed text that is taken for a
// limit, or for none, would stop or overload an endpoint.
func TestParseRateLimit(t *testing.T) {
	cases := map[string]struct {
		text       string
		advertised bool
		rate       float64
		malformed  bool
	}{
		"empty":                    {"", false, 0, false},
		"number":                   {"1.9", true, 1.9, false},
		"zero allows no requests":  {"0", true, 0, false},
		"lower of two":             {"4, 1.5", true, 1.5, false},
		"high enough to be none":   {"1e9", false, 0, false},
		"negative":                 {"-1", false, 0, true},
		"not a number":             {"NaN", false, 0, true},
		"infinite":                 {"Inf", false, 0, true},
		"too large for a float":    {"1e999", false, 0, true},
		"word":                     {"slow", false, 0, true},
		"one of two is malformed":  {"2,x", false, 0, true},
		"list with an empty value": {"2,", false, 0, true},
		"blank":                    {" ", false, 0, true},
		"too long":                 {strings.Repeat("1", maxRateFieldBytes+1), false, 0, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := ParseRateLimit(c.text)
			assert.Equal(t, got.Err != nil, c.malformed, "%v", got)
			assert.Equal(t, got.Valid, !c.malformed)
			assert.Equal(t, got.Advertised, c.advertised)
			assert.Equal(t, got.Rate, c.rate)
			assert.Assert(t, !c.malformed || errors.Is(got.Err, ErrInvalidRateLimit))
		})
	}
}

// FuzzParseRateLimit checks that for any text from an endpoint the result is either a finite
// rate, no limit, or an error.
func FuzzParseRateLimit(f *testing.F) {
	for _, seed := range []string{"", "1.9", "0", "-0", "-1", "NaN", "+Inf", "1e400", "0x1p-3", "1,2", ",", "1 2", strings.Repeat("9", 300)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		got := ParseRateLimit(text)
		if got.Valid == (got.Err != nil) {
			t.Fatalf("%q: reported is %t with error %v", text, got.Valid, got.Err)
		}
		if got.Advertised && (!got.Valid || !(got.Rate >= 0) || math.IsInf(got.Rate, 0) || got.Rate >= unlimitedRate) {
			t.Fatalf("%q: invalid rate limit %g", text, got.Rate)
		}
		if !got.Advertised && got.Rate != 0 {
			t.Fatalf("%q: rate %g without a rate limit", text, got.Rate)
		}
	})
}

// TestRateLimitUpdate checks which of two responses of an endpoint counts, by the times at
// which each can have been written. Responses overtake each other: a response that was long in
// transit must not lift a limit that the endpoint has advertised since.
func TestRateLimitUpdate(t *testing.T) {
	at := func(second int) time.Time { return time.Unix(1_800_000_000+int64(second), 0) }
	limit := func(rate float64, requested, received int) RateLimit {
		return RateLimit{Advertised: rate >= 0, Rate: max(rate, 0), RequestedAt: at(requested), ReceivedAt: at(received)}
	}
	const none = -1
	cases := map[string]struct {
		current, next, want RateLimit
	}{
		"first response":                      {RateLimit{}, limit(2, 1, 2), limit(2, 1, 2)},
		"later, higher":                       {limit(2, 1, 2), limit(5, 3, 4), limit(5, 3, 4)},
		"later, no limit":                     {limit(2, 1, 2), limit(none, 3, 4), limit(none, 3, 4)},
		"earlier, limit":                      {limit(none, 5, 6), limit(2, 1, 4), limit(none, 5, 6)},
		"earlier, higher":                     {limit(2, 5, 6), limit(9, 1, 4), limit(2, 5, 6)},
		"order unknown, lower":                {limit(5, 1, 4), limit(2, 2, 5), limit(2, 2, 5)},
		"order unknown, higher":               {limit(2, 1, 4), limit(5, 2, 5), limit(2, 1, 4)},
		"order unknown, no limit":             {limit(2, 1, 4), limit(none, 2, 9), limit(2, 1, 4)},
		"same rate again renews the times":    {limit(2, 1, 4), limit(2, 3, 6), limit(2, 3, 6)},
		"limit from a response that overtook": {limit(none, 1, 4), limit(2, 2, 3), limit(2, 2, 3)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, c.current.Update(c.next), c.want) })
	}
}
