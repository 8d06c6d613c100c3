package schema

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
)

// TestForwardedRequest checks a request that is forwarded to a host whose clock
// differs by hours. As much time must remain until its deadlines there as here,
// and the hash of the workspace key must not leave the host.
func TestForwardedRequest(t *testing.T) {
	senderNow := time.Unix(1_800_000_000, 0)
	receiverNow := senderNow.Add(-3 * time.Hour)
	cases := map[string]struct{ callerCanRetry, final bool }{"first attempt": {true, false}, "retry": {false, false}, "last attempt": {false, true}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := &vetchtrail.Request{
				ID: "x", Workspace: "w", CallerKeyHash: vetchtrail.HashKey("secret"), CallerCanRetry: c.callerCanRetry, Final: c.final, Deadline: senderNow.Add(9 * time.Second),
				Goal: senderNow.Add(time.Second), FirstEventBy: senderNow.Add(3 * time.Second),
			}
			got, err := ToRequest(FromRequest(r, senderNow), receiverNow)
			assert.NilError(t, err)
			assert.Equal(t, got.CallerCanRetry, c.callerCanRetry)
			assert.Equal(t, got.Final, c.final)
			assert.Equal(t, got.FirstEventBy, receiverNow.Add(3*time.Second))
			assert.Equal(t, got.Deadline, receiverNow.Add(9*time.Second))
			assert.Equal(t, got.Workspace, "w")
			assert.Equal(t, got.CallerKeyHash, vetchtrail.KeyHash{}, "the hash of the caller's key was forwarded")
		})
	}
}

// TestEditsRoundTrip checks that the edits of workspaces and routes are the same
// after conversion to messages and back, so that no field gets lost on the way to
// another host. A key hash of the wrong length must be an error.
func TestEditsRoundTrip(t *testing.T) {
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
	invalid := FromEdits(edits)
	invalid[0].GetPutWorkspace().KeyHashes[0] = []byte("short")
	_, err = ToEdits(invalid)
	assert.ErrorContains(t, err, "a key hash has 5 bytes")
}

// TestOlderHostRefusesContinuation guards against a host that doesn't know stream_version and runs the rest of a stream at any version.
func TestOlderHostRefusesContinuation(t *testing.T) {
	now := time.Now()
	r := &vetchtrail.Request{Service: "s", Route: "r", Deadline: now.Add(time.Second), StreamVersion: vetchtrail.StreamVersion{Known: true, Version: "v1"}}
	m := FromRequest(r, now)
	assert.Equal(t, m.GetService(), "", "an older host reads this field and knows no such service")
	got, err := ToRequest(m, now)
	assert.NilError(t, err)
	assert.Equal(t, got.Service, "s")
	assert.Equal(t, got.StreamVersion, r.StreamVersion)
}
