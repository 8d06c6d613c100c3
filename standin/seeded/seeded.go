// Package seeded fixes the seed of the property tests (rapid) of the packages whose tests
// import it, so that each run of the test suite checks the same cases. To check other
// cases: go test PACKAGE -rapid.seed N -rapid.checks M.
package seeded

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag rapid.seed
)

// seed is the default of the flag rapid.seed.
const seed = "1"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err) // this version of the library does not register the flag
	}
}
