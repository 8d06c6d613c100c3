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

// TestRefusalBehindLostPath guards against running endpoints that are taken for crashed because this host has lost its
// path to them, and against crashes that are missed.
func TestRefusalBehindLostPath(t *testing.T) {
	cases := map[string]struct {
		services map[string]string // by endpoint
		refusing string            // names of the endpoints that refuse connections, each a letter
		leaving  string
		ended    bool // of endpoint a
	}{
		"only one refuses":                     {map[string]string{"a": "s", "b": "s", "c": "s"}, "a", "", true},
		"none refuses":                         {map[string]string{"a": "s", "b": "s"}, "", "", false},
		"two of three refuse":                  {map[string]string{"a": "s", "b": "s", "c": "s"}, "ab", "", true},
		"all refuse":                           {map[string]string{"a": "s", "b": "s", "c": "s"}, "abc", "", false},
		"all of the service refuse":            {map[string]string{"a": "s", "b": "s", "c": "other"}, "ab", "", false},
		"the only one of its service":          {map[string]string{"a": "s", "c": "other"}, "a", "", true},
		"the only one of its service, all cut": {map[string]string{"a": "s", "c": "other"}, "ac", "", false},
		"the only one at all":                  {map[string]string{"a": "s"}, "a", "", true},
		"another one leaving":                  {map[string]string{"a": "s", "b": "s"}, "a", "b", true},
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
