package quarantines

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
)

// TestCrashConfirmation checks by which evidence an endpoint that lost requests counts as crashed,
// and how often it is probed. Endpoints that are alive or leaving must not count as crashed.
func TestCrashConfirmation(t *testing.T) {
	always := func(int) bool { return true }
	never := func(int) bool { return false }
	lost := vetchtrail.Outcome{Kind: vetchtrail.OutcomeUnknown, Reason: vetchtrail.ReasonResponseLost}
	startedAt := time.Unix(1_700_000_000, 0)
	cases := map[string]struct {
		refuses func(probe int) bool
		leaving bool
		outcome vetchtrail.Outcome
		losses  int // number of lost requests, 0.1 s apart
		listed  *vetchtrail.Listing
		crashes int
		probes  int
	}{
		"refuses twice":                  {always, false, lost, 1, nil, 1, 2},
		"refuses once":                   {func(probe int) bool { return probe == 0 }, false, lost, 1, nil, 0, 2},
		"alive":                          {never, false, lost, 1, nil, 0, 1},
		"alive, loses responses":         {never, false, lost, 25, nil, 0, 4},
		"leaving":                        {always, true, lost, 1, nil, 0, 2},
		"caller gone":                    {always, false, vetchtrail.Outcome{Kind: vetchtrail.OutcomeUnknown, Reason: vetchtrail.ReasonCallerGone}, 1, nil, 0, 0},
		"refused the request":            {always, false, vetchtrail.Outcome{Kind: vetchtrail.OutcomeNotRun, Reason: vetchtrail.ReasonEndpointRefused}, 1, nil, 0, 0},
		"unmarked end":                   {always, false, vetchtrail.Outcome{Kind: vetchtrail.OutcomeAnswered, Status: 200, EndUnmarked: true}, 1, nil, 0, 0},
		"unmarked end, no longer listed": {always, false, vetchtrail.Outcome{Kind: vetchtrail.OutcomeAnswered, Status: 200, EndUnmarked: true}, 1, &vetchtrail.Listing{}, 1, 0},
		"answered, no longer listed":     {always, false, vetchtrail.Outcome{Kind: vetchtrail.OutcomeAnswered, Status: 200}, 1, &vetchtrail.Listing{}, 0, 0},
		"no longer listed":               {never, false, lost, 1, &vetchtrail.Listing{}, 1, 1},
		"listed":                         {never, false, lost, 1, &vetchtrail.Listing{Endpoints: []*vetchtrail.Endpoint{{Name: "e", Born: startedAt}}}, 0, 1},
		"listed with a later start time": {never, false, lost, 1, &vetchtrail.Listing{Endpoints: []*vetchtrail.Endpoint{{Name: "e", Born: startedAt.Add(time.Second)}}}, 1, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				probes := 0
				q := New(Config{
					Clock: time.Now, Hosts: noHosts{}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
					IsLeaving: func(string) bool { return c.leaving },
					ProcessEnded: func(context.Context, vetchtrail.Endpoint) bool {
						probes++
						return c.refuses(probes - 1)
					},
				})
				for n := range c.losses {
					q.ResponseLost(vetchtrail.Endpoint{Name: "e", Born: startedAt}, harmlessRequest(uint64(n)), c.outcome, vetchtrail.Timing{Sent: time.Now()})
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(2 * probeCooldown)
				if c.listed != nil {
					q.Listed(c.listed)
				}
				synctest.Wait()
				assert.Equal(t, len(q.crashes), c.crashes)
				assert.Equal(t, probes, c.probes)
			})
		})
	}
}

// TestProbeAfterSuspension guards against an endpoint that stays marked as being probed, and is
// never probed again, because the host was suspended during the probe and its losses expired
// meanwhile.
func TestProbeAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		suspended := time.Duration(0)
		q := New(Config{
			Clock: func() time.Time { return time.Now().Add(suspended) }, Hosts: noHosts{},
			Log:          slog.New(slog.NewTextHandler(io.Discard, nil)),
			IsLeaving:    func(string) bool { return false },
			ProcessEnded: func(context.Context, vetchtrail.Endpoint) bool { return true },
		})
		lose := func(endpoint string) {
			lost := vetchtrail.Outcome{Kind: vetchtrail.OutcomeUnknown, Reason: vetchtrail.ReasonResponseLost}
			q.ResponseLost(vetchtrail.Endpoint{Name: endpoint}, harmlessRequest(1), lost, vetchtrail.Timing{Sent: time.Now()})
		}
		lose("e")
		suspended = 2 * listingWait
		lose("other")
		time.Sleep(time.Second)
		synctest.Wait()
		before := len(q.crashes)
		lose("e")
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, len(q.crashes), before+1)
	})
}
