package origins

import (
	"context"
	"log/slog"
	"net/netip"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/process/recent"
	"vetchtrail/schema"
)

// fakeHosts is a region whose hosts all reach each other.
type fakeHosts map[netip.AddrPort]*Origins

// FirstInRegion implements Hosts.
func (f fakeHosts) FirstInRegion(region, _ string, n int) []vetchtrail.Host {
	var out []vetchtrail.Host
	for _, o := range f {
		if o.cfg.Self.Region == region && len(out) < n {
			out = append(out, o.cfg.Self)
		}
	}
	return out
}

// StoreOrigins implements Peers.
func (f fakeHosts) StoreOrigins(_ context.Context, addr netip.AddrPort, m *schema.StreamOrigins) error {
	o, ok := f[addr]
	if !ok {
		return errors.New("connection refused")
	}
	o.HandleOrigins(m)
	return nil
}

// FindOrigin implements Peers.
func (f fakeHosts) FindOrigin(_ context.Context, addr netip.AddrPort, m *schema.StreamOriginQuery) (*schema.StreamOriginReply, error) {
	o, ok := f[addr]
	if !ok {
		return nil, errors.New("connection refused")
	}
	return o.HandleQuery(m), nil
}

// start adds a host and returns a function that replaces its listing.
func (f fakeHosts) start(name string) (*Origins, func(versions ...string)) {
	var listing *vetchtrail.Listing
	self := vetchtrail.Host{
		Name: name, Region: "a", PeerAddr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(len(name))), Incarnation: uint64(time.Now().UnixNano()),
	}
	o := New(Config{
		Self: self, Regions: func() []string { return []string{"a"} }, Hosts: f, Peers: f, KnownWithin: 5 * time.Second,
		Listing: func() *vetchtrail.Listing { return listing }, Log: slog.New(slog.DiscardHandler),
	})
	f[self.PeerAddr] = o
	return o, func(versions ...string) {
		l := &vetchtrail.Listing{ReadAt: time.Now()}
		for _, version := range versions {
			l.Endpoints = append(l.Endpoints, &vetchtrail.Endpoint{Name: version, Service: "s", SoftwareVersion: version})
		}
		listing = l
		o.Listed(l)
	}
}

// TestOriginOfStream guards against a host that guesses the software version at which a stream began.
func TestOriginOfStream(t *testing.T) {
	v1 := vetchtrail.StreamVersion{Known: true, Version: "v1"}
	cases := map[string]struct {
		run  func(began *Origins, listBegan func(...string), asked *Origins, listAsked func(...string))
		lost bool // the host at which the stream began, before the query
		want vetchtrail.StreamVersion
	}{
		"replicated": {lost: true, want: v1, run: func(began *Origins, list func(...string), _ *Origins, listAsked func(...string)) {
			list("v1", "v2")
			listAsked("v1", "v2")
			began.Began("s", "x", v1)
		}},
		"replicated once there are two versions": {lost: true, want: v1, run: func(began *Origins, list func(...string), _ *Origins, listAsked func(...string)) {
			list("v1")
			time.Sleep(2 * maxStreamAge)
			list("v1")
			began.Began("s", "x", v1)
			list("v1", "v2")
			listAsked("v1", "v2")
		}},
		"no record, two versions": {lost: true, run: func(_ *Origins, _ func(...string), _ *Origins, listAsked func(...string)) { listAsked("v1", "v2") }},
		"one version for long": {lost: true, want: v1, run: func(_ *Origins, _ func(...string), _ *Origins, listAsked func(...string)) {
			listAsked("v1")
			time.Sleep(2 * maxStreamAge)
			listAsked("v1")
		}},
		"one version since lately": {lost: true, run: func(_ *Origins, _ func(...string), _ *Origins, listAsked func(...string)) {
			listAsked("v1", "v2")
			time.Sleep(2 * maxStreamAge)
			listAsked("v1")
			time.Sleep(maxStreamAge / 2)
			listAsked("v1")
		}},
		"one version by an outdated listing": {lost: true, run: func(_ *Origins, _ func(...string), _ *Origins, listAsked func(...string)) {
			listAsked("v1")
			time.Sleep(2 * maxStreamAge)
		}},
		"a new host, the other has seen one version for long": {want: v1, run: func(_ *Origins, list func(...string), _ *Origins, listAsked func(...string)) {
			list("v1")
			time.Sleep(2 * maxStreamAge)
			list("v1")
			listAsked("v1")
		}},
		"a new host, the other has seen two versions lately": {run: func(_ *Origins, list func(...string), _ *Origins, listAsked func(...string)) {
			list("v1", "v2")
			time.Sleep(2 * maxStreamAge)
			list("v1")
			listAsked("v1")
		}},
		"older than a stream lasts": {run: func(began *Origins, list func(...string), _ *Origins, listAsked func(...string)) {
			list("v1", "v2")
			began.Began("s", "x", v1)
			time.Sleep(2 * maxStreamAge)
			listAsked("v1", "v2")
		}},
		"a record at another host, one version by an older listing here": {want: v1, run: func(began *Origins, list func(...string), asked *Origins, listAsked func(...string)) {
			list("v1", "v2")
			listAsked("v2")
			time.Sleep(2 * maxStreamAge)
			listAsked("v2")
			began.Began("s", "x", v1)
			synctest.Wait()
			asked.records = recent.Map[uint64, record]{TTL: maxStreamAge, Limit: maxRecords}
		}},
		"one version by an older listing at another host": {run: func(_ *Origins, list func(...string), _ *Origins, listAsked func(...string)) {
			list("v1")
			time.Sleep(2 * maxStreamAge)
			list("v1")
			listAsked("v1", "v2")
		}},
		"one version by an older listing at another host, replaced here": {run: func(_ *Origins, list func(...string), _ *Origins, listAsked func(...string)) {
			list("v1")
			time.Sleep(2 * maxStreamAge)
			list("v1")
			listAsked("v1", "v2")
			listAsked("v1")
		}},
		"a version that isn't known is no origin": {run: func(began *Origins, list func(...string), _ *Origins, listAsked func(...string)) {
			list("v1", "v2")
			listAsked("v1", "v2")
			began.Began("s", "x", vetchtrail.StreamVersion{})
		}},
		"of another service": {run: func(began *Origins, list func(...string), _ *Origins, listAsked func(...string)) {
			list("v1", "v2")
			listAsked("v1", "v2")
			began.Began("t", "x", v1)
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := fakeHosts{}
				began, listBegan := f.start("h")
				asked, listAsked := f.start("hh")
				c.run(began, listBegan, asked, listAsked)
				synctest.Wait()
				if c.lost {
					delete(f, began.cfg.Self.PeerAddr)
				}
				assert.Equal(t, asked.Find(t.Context(), "s", "x"), c.want)
			})
		})
	}
}

// TestOriginsAreBounded guards against origins that are never removed.
func TestOriginsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, list := fakeHosts{}.start("h")
		list("v1", "v2")
		for n := range 2 * maxRecords {
			o.Began("s", strconv.Itoa(n), vetchtrail.StreamVersion{Known: true, Version: "v1"})
		}
		assert.Assert(t, o.records.Len() <= maxRecords && o.records.Len() >= maxRecords/2, "%d records", o.records.Len())
		for range 2 {
			time.Sleep(2 * maxStreamAge)
			o.Began("s", "1", vetchtrail.StreamVersion{Known: true, Version: "v1"})
		}
		assert.Equal(t, o.records.Len(), 2)
	})
}

// slowPeers delays the replies to a host's queries, as for a host that is cut off or was stopped meanwhile.
type slowPeers struct {
	fakeHosts
	delay time.Duration
}

// FindOrigin implements Peers.
func (p slowPeers) FindOrigin(ctx context.Context, addr netip.AddrPort, m *schema.StreamOriginQuery) (*schema.StreamOriginReply, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(p.delay):
	}
	return p.fakeHosts.FindOrigin(ctx, addr, m)
}

// TestStreamOfNewVersionAtHostOutOfStep guards against a host that resumes a stream at the version that it takes for the only one, while it
// lacks a new version at which the stream began at another host.
func TestStreamOfNewVersionAtHostOutOfStep(t *testing.T) {
	v1 := vetchtrail.StreamVersion{Known: true, Version: "v1"}
	cases := map[string]struct {
		delay time.Duration // of replies to the host
		third []string      // versions that a third host lists, which has no record of the stream
		young bool          // the third host has only just started
		want  vetchtrail.StreamVersion
	}{
		"cut off":                          {delay: time.Minute},
		"replies after the search":         {delay: findTimeout + time.Millisecond},
		"another lists both versions":      {third: []string{"v1", "v2"}},
		"another lists the new version":    {third: []string{"v2"}},
		"another lists one version":        {third: []string{"v1"}, want: v1},
		"another lists one version, new":   {third: []string{"v1"}, young: true, want: v1},
		"another lists both, but too late": {third: []string{"v1", "v2"}, delay: time.Minute},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := fakeHosts{}
				began, listBegan := f.start("h")
				host, listHost := f.start("hh")
				var listThird func(...string)
				if c.third != nil && !c.young {
					_, listThird = f.start("hhh")
					listThird("v1")
				}
				listBegan("v1")
				listHost("v1")
				time.Sleep(2 * maxStreamAge)
				listHost("v1")
				if c.young {
					_, listThird = f.start("hhh")
				}
				if c.third != nil {
					listThird(c.third...)
				}
				listBegan("v1", "v2")
				others := fakeHosts{} // those that get the record
				for addr, o := range f {
					if o == began {
						others[addr] = o
					}
				}
				began.cfg.Hosts, began.cfg.Peers = others, others
				began.Began("s", "x", vetchtrail.StreamVersion{Known: true, Version: "v2"})
				synctest.Wait()
				if c.third != nil {
					delete(f, began.cfg.Self.PeerAddr) // lost, with the record
				}
				host.cfg.Peers = slowPeers{f, c.delay}
				assert.Equal(t, host.Find(t.Context(), "s", "x"), c.want)
			})
		})
	}
}
