package lists

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
)

// TestNoSendByListingFromBeforeStop guards against requests sent by an outdated listing right after a stop of the process.
func TestNoSendByListingFromBeforeStop(t *testing.T) {
	cases := map[string]struct {
		pauseEnd  time.Duration // when the pause of the current round was to end, from now
		age       time.Duration // of the listing
		fetchTime time.Duration // until the round ends
		waits     time.Duration
	}{
		"stopped, then fetched":                 {-4 * time.Second, 6 * time.Second, 20 * time.Millisecond, 20 * time.Millisecond},
		"stopped, and no peer responds":         {-4 * time.Second, 6 * time.Second, time.Second, maxResumeWait},
		"stopped, and the listing is recent":    {-4 * time.Second, time.Second, time.Second, 0},
		"not stopped, and no peer responds":     {100 * time.Millisecond, time.Minute, time.Second, 0},
		"a little late, and no peer responds":   {-100 * time.Millisecond, time.Minute, time.Second, 0},
		"stopped, no listing from any peer yet": {-4 * time.Second, -1, time.Second, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, now := newSimRegion(1, 1).hosts[0], time.Now()
				if c.age >= 0 {
					h.Update(vetchtrail.Listing{Revision: 1, ConfirmedRevision: 1, ReadAt: now.Add(-c.age)})
				}
				h.rounds.begin(now.Add(c.pauseEnd))
				time.AfterFunc(c.fetchTime/2, func() { h.rounds.pauseEnded(time.Now()) })
				time.AfterFunc(c.fetchTime, func() { h.rounds.begin(time.Now().Add(time.Second)) })
				h.AwaitResumed(context.Background())
				waited := time.Since(now)
				time.Sleep(2 * time.Second)
				assert.Equal(t, waited, c.waits)
			})
		})
	}
}
