package vetchtrail

import (
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
)

// TestCheckKey checks which texts can be a key, and the error of each other one. Two values
// of one header field arrive joined by a comma, and must not be accepted as one key.
func TestCheckKey(t *testing.T) {
	cases := map[string]struct {
		key  string
		want error
	}{
		"usual key":      {"jbvk9m68k7b2ex5wa5xw", nil},
		"base64":         {"YWJj+/==", nil},
		"empty":          {"", ErrNoKey},
		"too long":       {strings.Repeat("k", MaxKeyBytes+1), ErrLongKey},
		"maximum length": {strings.Repeat("k", MaxKeyBytes), nil},
		"two values":     {"one,two", ErrInvalidKey},
		"space":          {"one two", ErrInvalidKey},
		"control byte":   {"one\x00", ErrInvalidKey},
		"not ASCII":      {"ключ", ErrInvalidKey},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, errors.Is(CheckKey(c.key), c.want), "%v", CheckKey(c.key))
		})
	}
}

// FuzzKey checks that any text is either a key or one of the declared errors, and that the
// hash of a key survives formatting and parsing.
func FuzzKey(f *testing.F) {
	f.Add("jbvk9m68k7b2ex5wa5xw")
	f.Add("a,b")
	f.Add(strings.Repeat("k", MaxKeyBytes+1))
	f.Fuzz(func(t *testing.T, key string) {
		if err := CheckKey(key); err != nil {
			assert.Assert(t, errors.Is(err, ErrNoKey) || errors.Is(err, ErrLongKey) || errors.Is(err, ErrInvalidKey))
			return
		}
		h := HashKey(key)
		text, err := h.MarshalText()
		assert.NilError(t, err)
		var back KeyHash
		assert.NilError(t, back.UnmarshalText(text))
		assert.Equal(t, back, h)
	})
}

// TestQuotaCost checks the cost of requests in both units. A request without token counts
// must not be free when tokens are counted.
func TestQuotaCost(t *testing.T) {
	cases := map[string]struct {
		quota Quota
		req   Request
		want  float64
	}{
		"requests":           {Quota{Rate: 1}, Request{EstimatedTokens: 900, MaxTokens: 100}, 1},
		"tokens":             {Quota{Rate: 1, Unit: UnitTokens, Plain: 200}, Request{EstimatedTokens: 900, MaxTokens: 100}, 1000},
		"no token counts":    {Quota{Rate: 1, Unit: UnitTokens, Plain: 200}, Request{}, 200},
		"prompt tokens only": {Quota{Rate: 1, Unit: UnitTokens, Plain: 200}, Request{EstimatedTokens: 7}, 7},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.quota.Cost(&c.req), c.want)
		})
	}
}
