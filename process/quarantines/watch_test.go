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

// TestLook: by what an endpoint that lost requests is taken to have ended, and how often it is
// connected to for that.
func TestLook(t *testing.T) {
	always := func(int) bool { return true }
	never := func(int) bool { return false }
	lost := vetchtrail.Outcome{Kind: vetchtrail.Unknown, Reason: vetchtrail.ReasonLost}
	born := time.Unix(1_700_000_000, 0)
	cases := map[string]struct {
		refuses func(look int) bool
		leaving bool
		outcome vetchtrail.Outcome
		losses  int // 0.1 s apart
		listed  *vetchtrail.Listing
		ends    int
		looks   int
	}{
		"it refuses twice":                {always, false, lost, 1, nil, 1, 2},
		"it refuses once":                 {func(look int) bool { return look == 0 }, false, lost, 1, nil, 0, 2},
		"it lives":                        {never, false, lost, 1, nil, 0, 1},
		"it lives and loses answers":      {never, false, lost, 25, nil, 0, 4},
		"it was leaving":                  {always, true, lost, 1, nil, 0, 2},
		"its caller left":                 {always, false, vetchtrail.Outcome{Kind: vetchtrail.Unknown, Reason: vetchtrail.ReasonCallerGone}, 1, nil, 0, 0},
		"it refused for its load":         {always, false, vetchtrail.Outcome{Kind: vetchtrail.NotRun, Reason: vetchtrail.ReasonRefused}, 1, nil, 0, 0},
		"it is listed no longer":          {never, false, lost, 1, &vetchtrail.Listing{}, 1, 1},
		"it is listed":                    {never, false, lost, 1, &vetchtrail.Listing{Endpoints: []*vetchtrail.Endpoint{{Name: "e", Born: born}}}, 0, 1},
		"it is listed with a later start": {never, false, lost, 1, &vetchtrail.Listing{Endpoints: []*vetchtrail.Endpoint{{Name: "e", Born: born.Add(time.Second)}}}, 1, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				looks := 0
				q := New(Config{
					Clock: time.Now, Hosts: nobody{}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
					Leaving: func(string) bool { return c.leaving },
					Refuses: func(context.Context, vetchtrail.Endpoint) bool {
						looks++
						return c.refuses(looks - 1)
					},
				})
				for n := range c.losses {
					q.Lost(vetchtrail.Endpoint{Name: "e", Born: born}, innocent(uint64(n)), c.outcome, vetchtrail.Timing{Sent: time.Now()})
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(2 * lookPause)
				if c.listed != nil {
					q.Listed(c.listed)
				}
				synctest.Wait()
				assert.Equal(t, len(q.ends), c.ends)
				assert.Equal(t, looks, c.looks)
			})
		})
	}
}

// TestLookAfterSuspension: a host that was suspended while it looked at an endpoint forgets the
// loss, and looks at the endpoint again after the next one.
func TestLookAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asleep := time.Duration(0)
		q := New(Config{
			Clock: func() time.Time { return time.Now().Add(asleep) }, Hosts: nobody{},
			Log:     slog.New(slog.NewTextHandler(io.Discard, nil)),
			Leaving: func(string) bool { return false },
			Refuses: func(context.Context, vetchtrail.Endpoint) bool { return true },
		})
		lose := func(endpoint string) {
			lost := vetchtrail.Outcome{Kind: vetchtrail.Unknown, Reason: vetchtrail.ReasonLost}
			q.Lost(vetchtrail.Endpoint{Name: endpoint}, innocent(1), lost, vetchtrail.Timing{Sent: time.Now()})
		}
		lose("e")
		asleep = 2 * waitForWord
		lose("other")
		time.Sleep(time.Second)
		synctest.Wait()
		before := len(q.ends)
		lose("e")
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, len(q.ends), before+1)
	})
}
