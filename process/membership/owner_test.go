package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/schema"
)

// crowd is a membership that knows hosts of its own data centre and one of another.
func crowd(self string) *Membership {
	m := newMember(self, "dc", 1)
	for i := range 6 {
		name := fmt.Sprintf("h%d", i)
		if name == self {
			continue
		}
		m.merge(&schema.Heartbeat{From: name, DataCentre: "dc", Members: []*schema.Member{
			{Name: name, Incarnation: 1, Counter: 1, State: uint32(vetchtrail.HostReady), Peers: "10.0.0.1:1", Callers: "10.0.0.1:2"},
		}}, now)
	}
	m.swapped(&schema.Digests{Digest: &schema.Digest{DataCentre: "far", Region: "other", Members: []*schema.Member{
		{Name: "x", State: uint32(vetchtrail.HostReady), Peers: "10.0.0.9:1"},
	}}}, now, now)
	return m
}

// TestOwner: all hosts name the same owner of a shard, and another one as soon as they
// believe that it no longer serves.
func TestOwner(t *testing.T) {
	shard := vetchtrail.Shard{DataCentre: "dc", Key: "s shard 3"}
	first, ok := crowd("h0").Owner(shard, now)
	assert.Assert(t, ok)
	another := "h0"
	if first.Name == another {
		another = "h1"
	}
	cases := map[string]struct {
		change func(m *Membership)
		at     time.Duration
		shard  vetchtrail.Shard
		owner  string // empty: none; "other": any but the first
	}{
		"all see each other":      {nil, 0, shard, first.Name},
		"the owner is not heard":  {func(m *Membership) { m.members[first.Name].Heard = now.Add(-suspectAfter) }, 1, shard, "other"},
		"the owner leaves":        {func(m *Membership) { m.members[first.Name].said = vetchtrail.HostLeaving }, 0, shard, "other"},
		"the owner was not there": {func(m *Membership) { m.shun(first.Name, now) }, 0, shard, "other"},
		"it is back in use":       {func(m *Membership) { m.shun(first.Name, now.Add(-unreachedTime)) }, 0, shard, first.Name},
		"no shard":                {nil, 0, vetchtrail.Shard{}, ""},
		"in another data centre":  {nil, 0, vetchtrail.Shard{DataCentre: "far", Key: "k"}, "x"},
		"that is out of reach":    {nil, reachableFor, vetchtrail.Shard{DataCentre: "far", Key: "k"}, ""},
		"in an unknown one":       {nil, 0, vetchtrail.Shard{DataCentre: "none", Key: "k"}, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := crowd(another)
			if c.change != nil {
				c.change(m)
			}
			h, ok := m.Owner(c.shard, now.Add(c.at))
			assert.Equal(t, ok, c.owner != "")
			if c.owner == "other" {
				assert.Assert(t, h.Name != first.Name)
				return
			}
			assert.Equal(t, h.Name, c.owner)
		})
	}
}

// TestLostOwner: an owner of this data centre that was not reached is passed nothing for
// a while, as one elsewhere.
func TestLostOwner(t *testing.T) {
	m := crowd("h0")
	m.Returned("dc", "s", vetchtrail.Outcome{HostLost: true, Peer: "h3"}, now)
	assert.Assert(t, now.Before(m.avoid["h3"]))
}
