package membership

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/process/load"
	"vetchtrail/schema"
)

// withEndpoints gives a host an endpoint of each service.
func withEndpoints(m *Membership, services ...string) *Membership {
	var endpoints []load.EndpointInRegion
	for _, service := range services {
		endpoints = append(endpoints, load.EndpointInRegion{Endpoint: vetchtrail.Endpoint{Name: "e-" + service, Service: service, Slots: 10}})
	}
	m.cfg.Load.Configure(endpoints)
	return m
}

// cutOff has a host lose its path to the endpoints of a service.
func cutOff(m *Membership, service string, at time.Time) {
	m.cfg.Load.RecordConnectFailure(vetchtrail.Endpoint{Name: "e-" + service}, at, errors.New("connection refused"))
}

// picked returns the names of the hosts that requests for service s are forwarded to.
func picked(m *Membership, dataCentre string, at time.Time) string {
	found := map[string]bool{}
	for range 60 {
		if h, ok := m.Pick(dataCentre, "s", at); ok {
			found[h.Name] = true
		}
	}
	var out strings.Builder
	for _, name := range []string{"a", "b", "c", "x", "y", "z"} {
		if found[name] {
			out.WriteString(name)
		}
	}
	return out.String()
}

// TestForwardsToHostsWithoutPath guards against forwards to hosts that reach no endpoint of the service, and against hosts that get none although they do.
func TestForwardsToHostsWithoutPath(t *testing.T) {
	refusedBy := func(host string) vetchtrail.Outcome {
		return vetchtrail.Outcome{Kind: vetchtrail.OutcomeNotRun, Step: vetchtrail.StepDecide, Reason: vetchtrail.ReasonUnreachable, Peer: host}
	}
	cases := map[string]struct {
		cut    string // hosts that reach no endpoint of service s
		do     func(a *Membership, dataCentre string)
		after  time.Duration
		picked string // without the first host of the own data centre, which picks
	}{
		"none cut off":                {"", nil, 0, "23"},
		"one cut off":                 {"2", nil, 0, "3"},
		"all cut off":                 {"23", nil, 0, ""},
		"one that refused lately":     {"", func(a *Membership, dc string) { a.ForwardEnded(dc, "s", refusedBy(hostOf(dc, 2)), now) }, 0, "3"},
		"one that refused before":     {"", func(a *Membership, dc string) { a.ForwardEnded(dc, "s", refusedBy(hostOf(dc, 2)), now) }, avoidServiceTime, "23"},
		"refused for another service": {"", func(a *Membership, dc string) { a.ForwardEnded(dc, "other", refusedBy(hostOf(dc, 2)), now) }, 0, "23"},
	}
	for name, c := range cases {
		for _, dataCentre := range []string{"own", "remote"} {
			t.Run(fmt.Sprintf("%s, %s", name, dataCentre), func(t *testing.T) {
				var hosts []*Membership
				for i := range 3 {
					m := withEndpoints(newMembership(hostOf(dataCentre, i+1), dataCentre, byte(i+1)), "s", "other")
					if strings.Contains(c.cut, fmt.Sprint(i+1)) {
						cutOff(m, "s", now)
					}
					hosts = append(hosts, m)
				}
				for range 2 {
					exchange(hosts[0], hosts[1], now)
					exchange(hosts[0], hosts[2], now)
				}
				a := hosts[0]
				if dataCentre == "remote" {
					a = newMembership("a", "own", 9)
					a.mergeDigestReply(&schema.Digests{Digest: hosts[0].localDigest(now)}, now, now)
				}
				if c.do != nil {
					c.do(a, dataCentre)
				}
				at := now.Add(c.after)
				want := ""
				for _, digit := range c.picked {
					want += hostOf(dataCentre, int(digit-'0'))
				}
				if dataCentre == "remote" {
					want = "x" + want
				}
				assert.Equal(t, picked(a, dataCentre, at), want)
			})
		}
	}
}

// hostOf returns the name of the i-th host of a data centre.
func hostOf(dataCentre string, i int) string {
	if dataCentre == "own" {
		return string(rune('a' + i - 1))
	}
	return string(rune('x' + i - 1))
}

// TestReachabilityTold guards against a host that reports a lost path too late, or for too long.
func TestReachabilityTold(t *testing.T) {
	a, b := withEndpoints(newMembership("a", "dc", 1), "s"), withEndpoints(newMembership("b", "dc", 2), "s")
	exchange(a, b, now)
	assert.Equal(t, picked(b, "dc", now), "a")
	cutOff(a, "s", now)
	exchange(a, b, now)
	assert.Equal(t, picked(b, "dc", now), "", "at the next heartbeat, not at that after it")
	a.cfg.Load.RecordConnected(vetchtrail.Endpoint{Name: "e-s"}, now)
	exchange(a, b, now)
	assert.Equal(t, picked(b, "dc", now), "a")
}
