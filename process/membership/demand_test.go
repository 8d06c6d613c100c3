package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/process/load"
	"vetchtrail/schema"
)

// demandRecorder is a host's demand, and what it received of others'.
type demandRecorder struct {
	own      *schema.ServiceDemand
	hosts    []string // that heartbeats came from
	received []*schema.ServiceDigest
}

// HeartbeatDemands implements Demands.
func (r *demandRecorder) HeartbeatDemands(time.Time) []*schema.ServiceDemand {
	return []*schema.ServiceDemand{r.own}
}

// RecordHeartbeat implements Demands.
func (r *demandRecorder) RecordHeartbeat(from string, demands []*schema.ServiceDemand, _ time.Time) {
	for range demands {
		r.hosts = append(r.hosts, from)
	}
}

// DigestDemand implements Demands.
func (r *demandRecorder) DigestDemand(_ string, _ time.Time, d *schema.ServiceDigest) {
	d.Supply, d.Demands = 100, r.own.GetClasses()
}

// RecordDigest implements Demands.
func (r *demandRecorder) RecordDigest(_, _ string, s *schema.ServiceDigest, _ time.Time) {
	r.received = append(r.received, s)
}

// TestDemandExchange guards against demand that is relayed by another host and so counted twice,
// that doesn't reach the other data centres of the region, or that takes bandwidth between regions.
func TestDemandExchange(t *testing.T) {
	recorders := map[string]*demandRecorder{}
	host := func(name, dataCentre, region string, last byte) *Membership {
		m := newMembership(name, dataCentre, last)
		r := &demandRecorder{own: &schema.ServiceDemand{Service: "s", Classes: []*schema.ClassDemand{{Asked: uint32(last)}}}}
		recorders[name] = r
		m.cfg.Demands, m.cfg.CallsWholeRegion = r, true
		m.cfg.Self.Region, m.self.Region = region, region
		m.cfg.Load.Configure([]load.EndpointInRegion{{Endpoint: vetchtrail.Endpoint{Name: "e", Service: "s", Slots: 4}}})
		return m
	}
	a, b, c := host("a", "dc1", "r", 1), host("b", "dc1", "r", 2), host("c", "dc1", "r", 3)
	near, far := host("near", "dc2", "r", 4), host("far", "dc3", "elsewhere", 5)
	for second := range 3 {
		at := now.Add(time.Duration(second) * time.Second)
		exchange(a, b, at)
		exchange(b, c, at)
	}
	assert.DeepEqual(t, recorders["a"].hosts, []string{"b", "b", "b"})
	b.heartbeatTargets(now.Add(2 * time.Second))
	assert.Equal(t, b.LiveHosts(), 3)
	for name, other := range map[string]*Membership{"near": near, "far": far} {
		other.mergeDigestReply(a.HandleDigests(&schema.Digests{From: name, Digest: other.localDigest(now)}), now, now)
	}
	assert.Equal(t, len(recorders["near"].received), 1)
	assert.Equal(t, len(recorders["near"].received[0].GetDemands()), 1)
	assert.Equal(t, len(recorders["far"].received), 1)
	assert.Equal(t, len(recorders["far"].received[0].GetDemands()), 0)
	summary := far.remotes["dc1"].service("s")
	assert.Equal(t, summary.GetSupply(), uint32(100))
	assert.Equal(t, len(summary.GetDemands()), 0)
}
