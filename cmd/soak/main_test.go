package main

import (
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPathsMadeAbsolute guards against flags that stay relative, such as the defaults. The
// programs run in directories of their own, where a relative path names another
// directory. Each path must become absolute and keep its last element.
func TestPathsMadeAbsolute(t *testing.T) {
	cases := map[string]struct{ binaries, out string }{
		"relative, as the defaults": {"target", "soak-out"},
		"absolute":                  {"/srv/target", "/srv/out"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a := arguments{Binaries: c.binaries, Out: c.out}
			assert.NilError(t, a.makePathsAbsolute())
			assert.Assert(t, filepath.IsAbs(a.Binaries) && filepath.IsAbs(a.Out), "%s %s", a.Binaries, a.Out)
			assert.Equal(t, filepath.Base(a.Binaries), filepath.Base(c.binaries))
			assert.Equal(t, filepath.Base(a.Out), filepath.Base(c.out))
		})
	}
}
