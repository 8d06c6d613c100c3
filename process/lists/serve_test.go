package lists

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"vetchtrail"
	"vetchtrail/schema"
)

// testEndpoint returns an endpoint whose name and address follow from n.
func testEndpoint(n int) *vetchtrail.Endpoint {
	return &vetchtrail.Endpoint{
		Name: fmt.Sprintf("i-%010x", n*7919), Instance: fmt.Sprintf("i-%010x", n*7919), Service: "model", Region: "r", DataCentre: "d",
		Addr: testAddr(n), Slots: 24, ColdRate: 3.3, MoveToken: 1e-6, Born: time.Unix(1_800_000_000, int64(n)),
	}
}

// testListing returns a listing of a revision, polled just now.
func testListing(revision uint64, endpoints []*vetchtrail.Endpoint) vetchtrail.Listing {
	out := slices.Clone(endpoints)
	vetchtrail.SortEndpoints(out)
	return vetchtrail.Listing{Revision: revision, ConfirmedRevision: revision, ReadAt: time.Now(), Endpoints: out}
}

// TestOneChangeServed checks that each host of a region fetches only the endpoint that changed,
// however many endpoints are listed. With full listings, 24 hosts would fetch all endpoints 24
// times because one of them leaves.
func TestOneChangeServed(t *testing.T) {
	for _, endpoints := range []int{400, 800} {
		t.Run(fmt.Sprint(endpoints, " endpoints"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				r := newSimRegion(24, 1)
				for n := range endpoints {
					r.endpoints = append(r.endpoints, testEndpoint(n))
				}
				r.run(ctx)
				leaving := *r.endpoints[endpoints/2]
				leaving.Draining = true
				r.mu.Lock()
				r.endpoints = slices.Clone(r.endpoints)
				r.endpoints[endpoints/2] = &leaving
				r.revision, r.endpointsServed, r.fullListings = 2, 0, 0
				r.mu.Unlock()
				time.Sleep(5 * time.Second)
				for _, h := range r.hosts {
					e := h.Listing().Endpoint(leaving.Name)
					assert.Assert(t, e != nil && e.Draining, "%s does not know that the endpoint is leaving", h.cfg.Self.Name)
					assert.Equal(t, len(h.Listing().Endpoints), endpoints)
				}
				r.mu.Lock()
				fullListings, endpointsServed := r.fullListings, r.endpointsServed
				r.mu.Unlock() // before the sleep: a goroutine that waits for a lock stops the virtual clock
				assert.Equal(t, fullListings, 0)
				assert.Assert(t, endpointsServed <= len(r.hosts), "%d endpoints were served", endpointsServed)
				stop()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// TestFullListingServed checks that a listing of thousands of endpoints that appear at once
// reaches all hosts of a region within 6 s over links of 20 Mbit/s, and that fewer than 1.5 copies
// are sent for each host. Without referrals, the host that polls would send a copy to each host
// over its own link, and hosts whose query timed out would query again.
func TestFullListingServed(t *testing.T) {
	const (
		linkMbps = 20
		bound    = 6 * time.Second
	)
	for _, c := range []struct{ hosts, endpoints int }{{165, 2400}, {330, 2400}, {330, 4800}} {
		t.Run(fmt.Sprint(c.hosts, " hosts, ", c.endpoints, " endpoints"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				r := newLinkedSimRegion(c.hosts, 1, linkMbps)
				r.run(ctx)
				r.mu.Lock()
				for n := range c.endpoints {
					r.endpoints = append(r.endpoints, testEndpoint(n))
				}
				r.revision, r.bytes, r.platformCalls = 2, 0, 0
				since := time.Now()
				r.mu.Unlock()
				oneCopy := proto.Size(schema.FromListing(&vetchtrail.Listing{Endpoints: r.endpoints}, since, since))
				time.Sleep(2 * bound)
				worstDelay := r.worstDelay(since)
				r.mu.Lock()
				copies := float64(r.bytes) / float64(oneCopy*c.hosts)
				t.Logf("%s, %.2f copies for each host, %d platform calls", worstDelay, copies, r.platformCalls)
				assert.Assert(t, worstDelay < bound, "%s", worstDelay)
				assert.Assert(t, copies < 1.5, "%.2f", copies)
				r.mu.Unlock()
				stop()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// TestDiffMatchesServer checks that after a fetch a host has exactly the endpoints of the host
// that served it, whatever listings both had before: either the diff fits, or the host notices
// and fetches the full listing. Two hosts that poll the platform may differ at the same revision;
// a diff applied to the wrong base would leave endpoints missing or stale.
func TestDiffMatchesServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newSimRegion(2, 1)
		server, client := r.hosts[0].Lists, r.hosts[1].Lists
		var endpoints []*vetchtrail.Endpoint
		revision := uint64(1)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			revision++
			endpoints = changeSome(t, endpoints)
			next := testListing(revision, endpoints)
			switch rapid.IntRange(0, 3).Draw(t, "who") {
			case 0: // the client polls the platform itself and lists only a part
				next.Endpoints = next.Endpoints[:len(next.Endpoints)*rapid.IntRange(1, 2).Draw(t, "part")/2]
				client.Update(next)
				continue
			case 1:
				server.Update(next)
				continue
			}
			server.Update(next)
			current := client.Listing()
			var from uint64
			if current != nil {
				from = current.Revision
			}
			wire, err := proto.Marshal(server.ServeListing(&schema.ListRequest{Revision: from}))
			if err != nil {
				t.Fatal(err)
			}
			var reply schema.Listing
			if err := proto.Unmarshal(wire, &reply); err != nil {
				t.Fatal(err)
			}
			if reply.GetRevision() == 0 {
				continue
			}
			out, err := client.decodeReply(&reply, current)
			if errors.Is(err, ErrBaseMismatch) {
				out, err = client.decodeReply(server.ServeListing(&schema.ListRequest{}), nil)
			}
			if err != nil {
				t.Fatal(err)
			}
			client.Update(out)
			if d := diffEndpoints(server.Listing().Endpoints, client.Listing().Endpoints); !d.empty() {
				t.Fatalf("revision %d from %d: %d endpoints differ or are extra, %d are missing", revision, from, len(d.changed), len(d.removed))
			}
			if client.checksum != checksumOf(client.Listing().Endpoints) {
				t.Fatalf("checksum %x", client.checksum)
			}
		}
	})
}

// changeSome returns the endpoints with up to four random additions, removals or changes.
func changeSome(t *rapid.T, endpoints []*vetchtrail.Endpoint) []*vetchtrail.Endpoint {
	out := slices.Clone(endpoints)
	for range rapid.IntRange(0, 4).Draw(t, "changes") {
		n := rapid.IntRange(0, 19).Draw(t, "endpoint")
		i := slices.IndexFunc(out, func(e *vetchtrail.Endpoint) bool { return e.Name == testEndpoint(n).Name })
		switch {
		case i < 0:
			out = append(out, testEndpoint(n))
		case rapid.Bool().Draw(t, "removed"):
			out = slices.Delete(out, i, i+1)
		default:
			e := *out[i]
			e.Draining = !e.Draining
			out[i] = &e
		}
	}
	return out
}

// TestHistoryBound checks that the history keeps at most maxChanges changes, and that a host which
// is behind by more is served the full listing. It guards against a history that grows without
// bound, and against a diff that lacks forgotten changes.
func TestHistoryBound(t *testing.T) {
	l := newSimRegion(1, 1).hosts[0].Lists
	endpoints := []*vetchtrail.Endpoint{testEndpoint(1)}
	l.Update(testListing(1, endpoints))
	for n := range 2 * maxChanges {
		endpoints = append(endpoints[:1:1], testEndpoint(2+n%2))
		l.Update(testListing(uint64(2+n), endpoints))
	}
	assert.Assert(t, len(l.history.changes) <= maxChanges)
	full, diff := l.ServeListing(&schema.ListRequest{Revision: 1}), l.ServeListing(&schema.ListRequest{Revision: uint64(2 * maxChanges)})
	assert.Equal(t, full.GetSince(), uint64(0))
	assert.Equal(t, len(full.GetEndpoints()), 2)
	assert.Equal(t, diff.GetSince(), uint64(2*maxChanges))
}

// TestInvalidReply checks that a reply which can't be right gives a typed error and leaves the
// current listing as it is. Such a reply comes from a faulty host, or from one whose listing
// differs at the same revision.
func TestInvalidReply(t *testing.T) {
	cases := map[string]struct {
		reply *schema.Listing
		want  error
	}{
		"diff from another revision": {&schema.Listing{Revision: 9, Seen: 9, Since: 3}, ErrBaseMismatch},
		"wrong checksum":             {&schema.Listing{Revision: 9, Seen: 9, Since: 1, Sum: 1}, ErrBaseMismatch},
		"kind not in the message":    {&schema.Listing{Revision: 9, Seen: 9, Endpoints: []*schema.Listed{{Name: "e", Kind: 7, Address: []byte{10, 0, 0, 1, 80, 0}}}}, schema.ErrInvalidListing},
		"address of 3 bytes":         {&schema.Listing{Revision: 9, Seen: 9, Kinds: []*schema.ListedKind{{}}, Endpoints: []*schema.Listed{{Name: "e", Address: []byte{1, 2, 3}}}}, schema.ErrInvalidListing},
		"no endpoint name":           {&schema.Listing{Revision: 9, Seen: 9, Kinds: []*schema.ListedKind{{}}, Endpoints: []*schema.Listed{{Address: []byte{10, 0, 0, 1, 80, 0}}}}, schema.ErrInvalidListing},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := newSimRegion(1, 1).hosts[0].Lists
			l.Update(testListing(1, []*vetchtrail.Endpoint{testEndpoint(1)}))
			_, err := l.decodeReply(c.reply, l.Listing())
			assert.ErrorIs(t, err, c.want)
			assert.Equal(t, len(l.Listing().Endpoints), 1)
		})
	}
}

// TestSameRevision checks that diffs contain a change between two listings of the same revision.
// Two hosts that poll the platform may disagree and so produce such listings. A host that has the
// first of them must be served the change with the next revision.
func TestSameRevision(t *testing.T) {
	r := newSimRegion(2, 1)
	server, client := r.hosts[0].Lists, r.hosts[1].Lists
	server.Update(testListing(5, []*vetchtrail.Endpoint{testEndpoint(1), testEndpoint(2)}))
	client.Update(*server.Listing())
	server.Update(testListing(5, []*vetchtrail.Endpoint{testEndpoint(1)}))
	server.Update(testListing(6, []*vetchtrail.Endpoint{testEndpoint(1), testEndpoint(3)}))
	out, err := client.decodeReply(server.ServeListing(&schema.ListRequest{Revision: 5}), client.Listing())
	assert.NilError(t, err)
	d := diffEndpoints(server.Listing().Endpoints, out.Endpoints)
	assert.Assert(t, d.empty(), "%d endpoints differ or are extra, %d are missing", len(d.changed), len(d.removed))
}

// TestHostsServed checks that a diff contains the listed hosts if they changed, and that the
// fetching host otherwise keeps those that it has. It guards against a listing without hosts or
// with outdated ones after a diff.
func TestHostsServed(t *testing.T) {
	first, second := []vetchtrail.Host{{Name: "a", PeerAddr: testAddr(1)}}, []vetchtrail.Host{{Name: "b", PeerAddr: testAddr(2)}}
	cases := map[string]struct {
		next []vetchtrail.Host
		kept bool
	}{
		"unchanged": {first, true},
		"changed":   {second, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newSimRegion(2, 1)
			server, client := r.hosts[0].Lists, r.hosts[1].Lists
			one, two := testListing(5, []*vetchtrail.Endpoint{testEndpoint(1)}), testListing(6, []*vetchtrail.Endpoint{testEndpoint(2)})
			one.Hosts, two.Hosts = first, c.next
			server.Update(one)
			client.Update(one)
			server.Update(two)
			reply := server.ServeListing(&schema.ListRequest{Revision: 5})
			assert.Equal(t, reply.GetHostsKept(), c.kept)
			out, err := client.decodeReply(reply, client.Listing())
			assert.NilError(t, err)
			assert.Equal(t, len(out.Hosts), 1)
			assert.Equal(t, out.Hosts[0].Name, c.next[0].Name)
		})
	}
}

// TestBusyReplyAge checks that a host does not take over while a busy host reports a recent listing,
// unless the platform rejects the busy host. A long listing takes time to reach all hosts. If the
// waiting hosts ignored the busy host's age, many of them would poll the platform at once.
func TestBusyReplyAge(t *testing.T) {
	cases := map[string]struct {
		reply *schema.Listing
		old   bool // the host's own listing is still too old
	}{
		"recent listing":            {&schema.Listing{Busy: true, Seen: 9, Age: int64(time.Second)}, false},
		"rejected by the platform":  {&schema.Listing{Busy: true, Seen: 9, Age: int64(time.Second), Cut: true}, true},
		"no listing":                {&schema.Listing{Busy: true}, true},
		"listing as old as its own": {&schema.Listing{Busy: true, Seen: 9, Age: int64(time.Minute)}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := newSimRegion(1, 1).hosts[0].Lists
			in := testListing(1, []*vetchtrail.Endpoint{testEndpoint(1)})
			in.ReadAt = time.Now().Add(-time.Minute)
			l.Update(in)
			l.recordPeerPoll(c.reply, time.Now())
			assert.Equal(t, l.pollState(time.Now()).listingAge > l.takeoverAge(), c.old)
		})
	}
}

// TestOlderListingOfReferredHostNotTaken guards against a host that has an old listing for as long as busy hosts refer it to others that
// have the same one.
func TestOlderListingOfReferredHostNotTaken(t *testing.T) {
	cases := map[string]struct {
		referredHasNewest, wantErr bool
	}{"older": {false, true}, "the same": {true, false}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newSimRegion(3, 1)
			busy, referred, host := r.hosts[0], r.hosts[1], r.hosts[2]
			older, newest := testListing(5, []*vetchtrail.Endpoint{testEndpoint(1)}), testListing(7, []*vetchtrail.Endpoint{testEndpoint(2)})
			host.Update(older)
			referred.Update(older)
			busy.Update(newest)
			if c.referredHasNewest {
				referred.Update(newest)
			}
			busy.uplink.busyUntil, busy.uplink.revision, busy.uplink.recipients = time.Now().Add(time.Hour), 7, []string{referred.cfg.Self.PeerAddr.String()}
			reply, err := host.query(t.Context(), busy.cfg.Self.PeerAddr, 0, noCallback)
			assert.Equal(t, errors.Is(err, ErrBusy), c.wantErr, "%v", err)
			if !c.wantErr {
				assert.Equal(t, reply.GetRevision(), uint64(7))
			}
		})
	}
}

// TestStartingHostDoesNotPollForOthers guards against a region that nobody polls for while the host that ranks first has just started.
func TestStartingHostDoesNotPollForOthers(t *testing.T) {
	cases := map[string]struct {
		uptime time.Duration // of the host that ranks first
		polls  bool          // the next one polls
	}{"just started": {time.Second, true}, "settled": {time.Hour, false}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newSimRegion(3, 1)
			first, next := r.hosts[0], r.hosts[1]
			first.cfg.Seeds = []netip.AddrPort{r.hosts[2].cfg.Self.PeerAddr}
			first.startedAt, next.startedAt = time.Now().Add(-c.uptime), time.Now().Add(-time.Hour)
			for _, h := range []*simHost{first, next} {
				listing := testListing(5, []*vetchtrail.Endpoint{testEndpoint(1)})
				listing.ReadAt = time.Now()
				h.Update(listing)
			}
			_, _, err := next.fetchFrom(t.Context(), first.cfg.Self, noCallback)
			assert.NilError(t, err)
			assert.Equal(t, next.pollState(time.Now()).shouldPoll(), c.polls)
		})
	}
}

// TestBacklogIsNoReasonToTakeOver guards against hosts that all read the platform because the one that does so still reads a backlog of changes.
func TestBacklogIsNoReasonToTakeOver(t *testing.T) {
	cases := map[string]struct {
		polled time.Duration // time since the last poll
		over   bool
	}{"still polled": {100 * time.Millisecond, false}, "no longer polled": {time.Minute, true}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newSimRegion(3, 1)
			first, other := r.hosts[0], r.hosts[1]
			for _, h := range []*simHost{first, other} {
				h.startedAt = time.Now().Add(-time.Hour)
			}
			other.Update(testListing(5, []*vetchtrail.Endpoint{testEndpoint(1)}))
			backlog := testListing(7, []*vetchtrail.Endpoint{testEndpoint(2)})
			backlog.ReadAt, backlog.PolledAt = time.Now().Add(-time.Minute), time.Now().Add(-c.polled)
			first.Update(backlog)
			for range 2 { // the listing, and that it has not changed
				_, _, err := other.fetchFrom(t.Context(), first.cfg.Self, noCallback)
				assert.NilError(t, err)
				s := other.pollState(time.Now())
				assert.Equal(t, s.overdue(float64(s.rankInDataCentre)), c.over)
				assert.Assert(t, time.Since(other.Listing().ReadAt) >= time.Minute, "the listing counts as new")
			}
		})
	}
}
