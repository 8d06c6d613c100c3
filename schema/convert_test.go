package schema

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
)

// TestPassedOn: what a host that is passed a request knows of it, by its own clock.
func TestPassedOn(t *testing.T) {
	there := time.Unix(1_800_000_000, 0)
	here := there.Add(-3 * time.Hour) // clocks differ
	cases := map[string]struct{ fresh bool }{"a first try": {true}, "one that came back": {false}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := &vetchtrail.Request{
				ID: "x", Workspace: "w", Credential: vetchtrail.HashKey("secret"), Fresh: c.fresh, Deadline: there.Add(9 * time.Second),
				Goal: there.Add(time.Second), BeginBy: there.Add(3 * time.Second),
			}
			got, err := ToRequest(FromRequest(r, there), here)
			assert.NilError(t, err)
			assert.Equal(t, got.Fresh, c.fresh)
			assert.Equal(t, got.BeginBy, here.Add(3*time.Second))
			assert.Equal(t, got.Deadline, here.Add(9*time.Second))
			assert.Equal(t, got.Workspace, "w")
			assert.Equal(t, got.Credential, vetchtrail.KeyHash{}, "the key's hash is passed on")
		})
	}
}

// TestWorkspaces: a configuration's workspaces and routes are the same after the way to
// another host.
func TestWorkspaces(t *testing.T) {
	edits := []vetchtrail.Edit{
		vetchtrail.PutWorkspace{Workspace: vetchtrail.Workspace{
			Name: "w", Home: "a", Allowed: []string{"a"}, Priority: -1, Keys: []vetchtrail.KeyHash{vetchtrail.HashKey("secret")}, Locked: true,
			Quota: vetchtrail.Quota{Rate: 36000, Burst: 36000, Unit: vetchtrail.UnitTokens, Plain: 200},
		}},
		vetchtrail.PutRoute{Route: vetchtrail.Route{Name: "r", Keyed: true, Pause: 400 * time.Millisecond, Targets: []vetchtrail.Target{{Service: "s", Weight: 1}}}},
	}
	got, err := ToEdits(FromEdits(edits))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, edits)
	bad := FromEdits(edits)
	bad[0].GetPutWorkspace().KeyHashes[0] = []byte("short")
	_, err = ToEdits(bad)
	assert.ErrorContains(t, err, "the hash of a key has 5 bytes")
}
