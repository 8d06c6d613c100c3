package reachability

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/process/load"
)

// TestRefusalBehindLostPath guards against running endpoints taken for crashed behind a lost path, and against missed crashes.
func TestRefusalBehindLostPath(t *testing.T) {
	cases := map[string]struct {
		services map[string]string // by endpoint
		refusing string            // names of the endpoints that refuse connections, each a letter
		leaving  string
		ended    bool // of endpoint a
	}{
		"only one refuses":            {map[string]string{"a": "s", "b": "s", "c": "s", "d": "s"}, "a", "", true},
		"none refuses":                {map[string]string{"a": "s", "b": "s"}, "", "", false},
		"all but one refuse":          {map[string]string{"a": "s", "b": "s", "c": "s", "d": "s"}, "abc", "", true},
		"all refuse":                  {map[string]string{"a": "s", "b": "s", "c": "s", "d": "s"}, "abcd", "", false},
		"all of its service refuse":   {map[string]string{"a": "s", "b": "s", "c": "other", "d": "other"}, "ab", "", true},
		"all refuse, of two services": {map[string]string{"a": "s", "b": "s", "c": "other", "d": "other"}, "abcd", "", false},
		"all refuse, a few":           {map[string]string{"a": "s", "b": "s", "c": "s"}, "abc", "", true},
		"all refuse, one is leaving":  {map[string]string{"a": "s", "b": "s", "c": "s", "d": "s"}, "abcd", "d", true},
		"the only one":                {map[string]string{"a": "s"}, "a", "", true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := load.New()
			var endpoints []load.EndpointInRegion
			for name, service := range c.services {
				endpoints = append(endpoints, load.EndpointInRegion{Endpoint: vetchtrail.Endpoint{Name: name, Service: service, Slots: 1}})
			}
			table.Configure(endpoints)
			refuses := map[string]bool{}
			for _, letter := range c.refusing {
				refuses[string(letter)] = true
			}
			for _, letter := range c.leaving {
				table.MarkLeaving(string(letter), time.Now().Add(time.Hour))
			}
			p := New(Config{Table: table, Refuses: func(_ context.Context, e vetchtrail.Endpoint) bool { return refuses[e.Name] },
				Connect: func(_ context.Context, e vetchtrail.Endpoint) error {
					if refuses[e.Name] {
						return errors.New("connection refused")
					}
					return nil
				}})
			assert.Equal(t, p.ProcessEnded(context.Background(), vetchtrail.Endpoint{Name: "a", Service: "s"}), c.ended)
		})
	}
}
