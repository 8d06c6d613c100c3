package vetchtrail

import (
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
)

// TestCheckKey: what can be a key.
func TestCheckKey(t *testing.T) {
	cases := map[string]struct {
		key  string
		want error
	}{
		"a key":          {"jbvk9m68k7b2ex5wa5xw", nil},
		"base64":         {"YWJj+/==", nil},
		"none":           {"", ErrNoKey},
		"too long":       {strings.Repeat("k", MaxKey+1), ErrLongKey},
		"the longest":    {strings.Repeat("k", MaxKey), nil},
		"sent twice":     {"one,two", ErrOddKey},
		"a space":        {"one two", ErrOddKey},
		"a control byte": {"one\x00", ErrOddKey},
		"beyond ASCII":   {"ключ", ErrOddKey},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, errors.Is(CheckKey(c.key), c.want), "%v", CheckKey(c.key))
		})
	}
}

// FuzzKey: any text is a key or a typed error, and its hash reads back.
func FuzzKey(f *testing.F) {
	f.Add("jbvk9m68k7b2ex5wa5xw")
	f.Add("a,b")
	f.Add(strings.Repeat("k", MaxKey+1))
	f.Fuzz(func(t *testing.T, key string) {
		if err := CheckKey(key); err != nil {
			assert.Assert(t, errors.Is(err, ErrNoKey) || errors.Is(err, ErrLongKey) || errors.Is(err, ErrOddKey))
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

// TestCharge: what requests count.
func TestCharge(t *testing.T) {
	cases := map[string]struct {
		quota Quota
		req   Request
		want  float64
	}{
		"requests":           {Quota{Rate: 1}, Request{Tokens: 900, MostTokens: 100}, 1},
		"tokens":             {Quota{Rate: 1, Unit: UnitTokens, Plain: 200}, Request{Tokens: 900, MostTokens: 100}, 1000},
		"names no tokens":    {Quota{Rate: 1, Unit: UnitTokens, Plain: 200}, Request{}, 200},
		"only of the prompt": {Quota{Rate: 1, Unit: UnitTokens, Plain: 200}, Request{Tokens: 7}, 7},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.quota.Charge(&c.req), c.want)
		})
	}
}
