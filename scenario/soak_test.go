package scenario

import (
	"context"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail/soak"
	"vetchtrail/standin/deployment"
)

// regularSeed is the seed that is run in addition to the seeds that have broken a promise before.
const regularSeed = 1

// TestSoak guards against promises that are broken under random faults. It runs a short soak with the
// regular seed, and with each seed that has broken a promise before.
func TestSoak(t *testing.T) {
	const length, rate, callers = 12 * time.Second, 0.7, 2
	for _, seed := range append([]uint64{regularSeed}, failedSeeds(t)...) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Logf("seed %d", seed)
			spec, err := deployment.Sized(int(baseSubnet+fleetCount.Add(1)), 3, 2, 1)
			assert.NilError(t, err)
			report, err := soak.Run(context.Background(), soak.Config{
				Seed: seed, RunLength: length, FaultRate: rate, CallersPerHost: callers, Spec: spec, Binaries: binaries, WorkDir: t.TempDir(),
				// The failed seeds run with the configuration with which they failed.
				PoisonRequests: seed == regularSeed, RateLimits: seed == regularSeed, Announcements: seed == regularSeed, Overload: seed == regularSeed,
			})
			assert.NilError(t, err)
			assert.Equal(t, len(report.Violations), 0, "%v", report.Violations)
			assert.Assert(t, report.Outcomes["answered"] > 0 && len(report.Faults) > 0, "%v", report.Outcomes)
		})
	}
}

// failedSeeds reads the seeds that have broken a promise before. Each has a line of its own with the
// cause.
func failedSeeds(t *testing.T) []uint64 {
	t.Helper()
	text, err := os.ReadFile("../soak/testdata/seeds.txt")
	assert.NilError(t, err)
	var out []uint64
	for line := range strings.SplitSeq(string(text), "\n") {
		number, _, _ := strings.Cut(line, ":")
		if n, err := strconv.ParseUint(number, 10, 64); err == nil {
			out = append(out, n)
		}
	}
	return out
}
