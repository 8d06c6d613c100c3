package daemon

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/connection/caller"
	"vetchtrail/standin/wire"
)

// TestMalformedResponseMayHaveRun guards against a malformed response that counts as "not run", and a second run after it.
func TestMalformedResponseMayHaveRun(t *testing.T) {
	const body = `{"done":true}`
	requests := map[string]int{"unsafe": 1, "safe": 2} // that endpoints receive, by route
	for _, fault := range []string{"status 000", "blank in a name", "continued line", "NUL in a trailer"} {
		for route, received := range requests {
			t.Run(fault+"/"+route, func(t *testing.T) {
				servers := []*wire.Server{wire.Serve(t, wire.Malformed("", body)[fault]), wire.Serve(t, wire.Malformed("", body)[fault])}
				l := vetchtrail.Listing{Revision: 40, ConfirmedRevision: 40, ReadAt: time.Now()}
				for i, s := range servers {
					name := string(rune('e' + i))
					l.Endpoints = append(l.Endpoints, &vetchtrail.Endpoint{Name: name, Instance: name, Service: "s", Region: "r", DataCentre: "d", Addr: s.Addr, Slots: 4})
				}
				feed := manualFeed{make(chan vetchtrail.Listing, 1)}
				feed.listings <- l
				settings := hostedSettings("a", 81)
				settings.Retries.Window, settings.Retries.Base = 100*time.Millisecond, 10
				d := runUntilTestEnd(t, newHostedDaemon(t, settings, feed))
				waitUntilReady(t, d)
				time.Sleep(2 * settings.Retries.Window) // a host that has just started makes no retries
				request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+d.cfg.Listen.Callers.String()+"/"+route+"/x", nil)
				assert.NilError(t, err)
				request.Host = "h"
				resp, err := http.DefaultClient.Do(request)
				assert.NilError(t, err)
				defer func() { _ = resp.Body.Close() }()
				text, err := io.ReadAll(resp.Body)
				assert.NilError(t, err)
				var problem caller.Problem
				assert.NilError(t, json.Unmarshal(text, &problem), "%s", text)
				assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
				assert.Equal(t, problem.Outcome, "unknown")
				assert.Equal(t, problem.Reason, string(vetchtrail.ReasonResponseBroken))
				assert.Equal(t, int(servers[0].Received.Load()+servers[1].Received.Load()), received)
			})
		}
	}
}
