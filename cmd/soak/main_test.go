package main

import (
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// TestAbsolute: relative directories, as the defaults are, hold wherever the programs
// run.
func TestAbsolute(t *testing.T) {
	cases := map[string]struct{ binaries, out string }{
		"as by default":      {"target", "soak-out"},
		"absolute ones stay": {"/srv/target", "/srv/out"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a := arguments{Binaries: c.binaries, Out: c.out}
			assert.NilError(t, a.absolute())
			assert.Assert(t, filepath.IsAbs(a.Binaries) && filepath.IsAbs(a.Out), "%s %s", a.Binaries, a.Out)
			assert.Equal(t, filepath.Base(a.Binaries), filepath.Base(c.binaries))
			assert.Equal(t, filepath.Base(a.Out), filepath.Base(c.out))
		})
	}
}
