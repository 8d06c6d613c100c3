package lists

import (
	"context"
	"fmt"
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

func entryOf(n int) *vetchtrail.Endpoint {
	return &vetchtrail.Endpoint{
		Name: fmt.Sprintf("i-%010x", n*7919), Instance: fmt.Sprintf("i-%010x", n*7919), Service: "model", Region: "r", DataCentre: "d",
		Addr: netAddr(n), Slots: 24, ColdRate: 3.3, MoveToken: 1e-6, Born: time.Unix(1_800_000_000, int64(n)),
	}
}

func listingOf(revision uint64, endpoints []*vetchtrail.Endpoint) vetchtrail.Listing {
	out := slices.Clone(endpoints)
	vetchtrail.SortEndpoints(out)
	return vetchtrail.Listing{Revision: revision, Seen: revision, At: time.Now(), Endpoints: out}
}

// TestChangeLent: what one endpoint that leaves costs the hosts of a region in lists does not grow with the
// endpoints: each host is lent that one. Lent whole, 24 hosts were lent 24 times all of them.
func TestChangeLent(t *testing.T) {
	for _, endpoints := range []int{400, 800} {
		t.Run(fmt.Sprint(endpoints, " endpoints"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				r := newRegion(24, 1)
				for n := range endpoints {
					r.endpoints = append(r.endpoints, entryOf(n))
				}
				r.run(ctx)
				leaving := *r.endpoints[endpoints/2]
				leaving.Draining = true
				r.mu.Lock()
				r.endpoints = slices.Clone(r.endpoints)
				r.endpoints[endpoints/2] = &leaving
				r.revision, r.lines, r.wholes = 2, 0, 0
				r.mu.Unlock()
				time.Sleep(5 * time.Second)
				for _, h := range r.hosts {
					e := h.Listing().Endpoint(leaving.Name)
					assert.Assert(t, e != nil && e.Draining, "%s does not know", h.cfg.Self.Name)
					assert.Equal(t, len(h.Listing().Endpoints), endpoints)
				}
				r.mu.Lock()
				wholes, lines := r.wholes, r.lines
				r.mu.Unlock() // who waits for a lock holds up the bubble's clock
				assert.Equal(t, wholes, 0)
				assert.Assert(t, lines <= len(r.hosts), "%d endpoints were lent", lines)
				stop()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// TestAllLent: lists of thousands of endpoints that come all at once reach each host of a region over links of 20
// Mbit/s, at twice the size too, and with no more than some tenths sent twice. From the reader alone they need
// hosts times endpoints over one link, and those who waited in vain ask again.
func TestAllLent(t *testing.T) {
	const (
		link  = 20 // Mbit/s
		bound = 6 * time.Second
	)
	for _, c := range []struct{ hosts, endpoints int }{{165, 2400}, {330, 2400}, {330, 4800}} {
		t.Run(fmt.Sprint(c.hosts, " hosts, ", c.endpoints, " endpoints"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				r := newLinkedRegion(c.hosts, 1, link)
				r.run(ctx)
				r.mu.Lock()
				for n := range c.endpoints {
					r.endpoints = append(r.endpoints, entryOf(n))
				}
				r.revision, r.bytes, r.calls = 2, 0, 0
				since := time.Now()
				r.mu.Unlock()
				one := proto.Size(schema.FromListing(&vetchtrail.Listing{Endpoints: r.endpoints}, since, since))
				time.Sleep(2 * bound)
				worst := r.worst(since)
				r.mu.Lock()
				sent := float64(r.bytes) / float64(one*c.hosts)
				t.Logf("%s, %.2f copies for each host, %d calls of the platform", worst, sent, r.calls)
				assert.Assert(t, worst < bound, "%s", worst)
				assert.Assert(t, sent < 1.5, "%.2f", sent)
				r.mu.Unlock()
				stop()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// TestDifference: a host that is lent differences by others, in whatever order and from whichever of their
// lists, holds lists as they were at a revision, or is told to ask for them whole.
func TestDifference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRegion(2, 1)
		lender, asker := r.hosts[0].Lists, r.hosts[1].Lists
		var endpoints []*vetchtrail.Endpoint
		revision := uint64(1)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			revision++
			endpoints = changed(t, endpoints)
			in := listingOf(revision, endpoints)
			switch rapid.IntRange(0, 3).Draw(t, "who") {
			case 0: // the asker itself reads them, as another host takes them to be
				in.Endpoints = in.Endpoints[:len(in.Endpoints)*rapid.IntRange(1, 2).Draw(t, "part")/2]
				asker.Take(in)
				continue
			case 1:
				lender.Take(in)
				continue
			}
			lender.Take(in)
			held := asker.Listing()
			var from uint64
			if held != nil {
				from = held.Revision
			}
			wire, err := proto.Marshal(lender.Lend(&schema.ListRequest{Revision: from}))
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
			out, err := asker.lent(&reply, held)
			if errors.Is(err, ErrBasis) {
				out, err = asker.lent(lender.Lend(&schema.ListRequest{}), nil)
			}
			if err != nil {
				t.Fatal(err)
			}
			asker.Take(out)
			if d := differ(lender.Listing().Endpoints, asker.Listing().Endpoints); !d.empty() {
				t.Fatalf("revision %d from %d: %d others, %d gone", revision, from, len(d.changed), len(d.gone))
			}
			if asker.sum != sumOf(asker.Listing().Endpoints) {
				t.Fatalf("sum %x", asker.sum)
			}
		}
	})
}

// changed returns endpoints of which some came, went or changed.
func changed(t *rapid.T, endpoints []*vetchtrail.Endpoint) []*vetchtrail.Endpoint {
	out := slices.Clone(endpoints)
	for range rapid.IntRange(0, 4).Draw(t, "changes") {
		n := rapid.IntRange(0, 19).Draw(t, "endpoint")
		at := slices.IndexFunc(out, func(e *vetchtrail.Endpoint) bool { return e.Name == entryOf(n).Name })
		switch {
		case at < 0:
			out = append(out, entryOf(n))
		case rapid.Bool().Draw(t, "goes"):
			out = slices.Delete(out, at, at+1)
		default:
			e := *out[at]
			e.Draining = !e.Draining
			out[at] = &e
		}
	}
	return out
}

// TestHistoryBound: a lender that has seen more changes than it remembers lends the lists whole, and remembers no
// more.
func TestHistoryBound(t *testing.T) {
	l := newRegion(1, 1).hosts[0].Lists
	endpoints := []*vetchtrail.Endpoint{entryOf(1)}
	l.Take(listingOf(1, endpoints))
	for n := range 2 * mostChanges {
		endpoints = append(endpoints[:1:1], entryOf(2+n%2))
		l.Take(listingOf(uint64(2+n), endpoints))
	}
	assert.Assert(t, len(l.history.changes) <= mostChanges)
	whole, part := l.Lend(&schema.ListRequest{Revision: 1}), l.Lend(&schema.ListRequest{Revision: uint64(2 * mostChanges)})
	assert.Equal(t, whole.GetSince(), uint64(0))
	assert.Equal(t, len(whole.GetEndpoints()), 2)
	assert.Equal(t, part.GetSince(), uint64(2*mostChanges))
}

// TestOutsize: an answer that was not asked for, or can't be right, is a typed error, and what is held stays.
func TestOutsize(t *testing.T) {
	cases := map[string]struct {
		reply *schema.Listing
		want  error
	}{
		"a difference of other lists": {&schema.Listing{Revision: 9, Seen: 9, Since: 3}, ErrBasis},
		"another sum":                 {&schema.Listing{Revision: 9, Seen: 9, Since: 1, Sum: 1}, ErrBasis},
		"a kind that is not told":     {&schema.Listing{Revision: 9, Seen: 9, Endpoints: []*schema.Listed{{Name: "e", Kind: 7, Address: []byte{10, 0, 0, 1, 80, 0}}}}, schema.ErrListing},
		"an address of 3 bytes":       {&schema.Listing{Revision: 9, Seen: 9, Kinds: []*schema.ListedKind{{}}, Endpoints: []*schema.Listed{{Name: "e", Address: []byte{1, 2, 3}}}}, schema.ErrListing},
		"no name":                     {&schema.Listing{Revision: 9, Seen: 9, Kinds: []*schema.ListedKind{{}}, Endpoints: []*schema.Listed{{Address: []byte{10, 0, 0, 1, 80, 0}}}}, schema.ErrListing},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := newRegion(1, 1).hosts[0].Lists
			l.Take(listingOf(1, []*vetchtrail.Endpoint{entryOf(1)}))
			_, err := l.lent(c.reply, l.Listing())
			assert.ErrorIs(t, err, c.want)
			assert.Equal(t, len(l.Listing().Endpoints), 1)
		})
	}
}

// TestSameRevision: where lists of one revision come to name other endpoints, as when two hosts read the platform, who
// holds the first ones is lent the difference with the next revision.
func TestSameRevision(t *testing.T) {
	r := newRegion(2, 1)
	lender, asker := r.hosts[0].Lists, r.hosts[1].Lists
	lender.Take(listingOf(5, []*vetchtrail.Endpoint{entryOf(1), entryOf(2)}))
	asker.Take(*lender.Listing())
	lender.Take(listingOf(5, []*vetchtrail.Endpoint{entryOf(1)}))
	lender.Take(listingOf(6, []*vetchtrail.Endpoint{entryOf(1), entryOf(3)}))
	out, err := asker.lent(lender.Lend(&schema.ListRequest{Revision: 5}), asker.Listing())
	assert.NilError(t, err)
	d := differ(lender.Listing().Endpoints, out.Endpoints)
	assert.Assert(t, d.empty(), "%d others, %d gone", len(d.changed), len(d.gone))
}

// TestHostsLent: the hosts that the platform lists are told with the lists when they changed, else kept.
func TestHostsLent(t *testing.T) {
	first, second := []vetchtrail.Host{{Name: "a", Peers: netAddr(1)}}, []vetchtrail.Host{{Name: "b", Peers: netAddr(2)}}
	cases := map[string]struct {
		then []vetchtrail.Host
		kept bool
	}{
		"the same": {first, true},
		"others":   {second, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRegion(2, 1)
			lender, asker := r.hosts[0].Lists, r.hosts[1].Lists
			one, two := listingOf(5, []*vetchtrail.Endpoint{entryOf(1)}), listingOf(6, []*vetchtrail.Endpoint{entryOf(2)})
			one.Hosts, two.Hosts = first, c.then
			lender.Take(one)
			asker.Take(one)
			lender.Take(two)
			reply := lender.Lend(&schema.ListRequest{Revision: 5})
			assert.Equal(t, reply.GetHostsKept(), c.kept)
			out, err := asker.lent(reply, asker.Listing())
			assert.NilError(t, err)
			assert.Equal(t, len(out.Hosts), 1)
			assert.Equal(t, out.Hosts[0].Name, c.then[0].Name)
		})
	}
}

// TestHeardAge: a host that waits for a busy one knows that somebody reads the platform, unless that one is turned away.
func TestHeardAge(t *testing.T) {
	cases := map[string]struct {
		reply *schema.Listing
		old   bool
	}{
		"new lists":                  {&schema.Listing{Busy: true, Seen: 9, Age: int64(time.Second)}, false},
		"it is turned away":          {&schema.Listing{Busy: true, Seen: 9, Age: int64(time.Second), Cut: true}, true},
		"it has none":                {&schema.Listing{Busy: true}, true},
		"they are as old as its own": {&schema.Listing{Busy: true, Seen: 9, Age: int64(time.Minute)}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := newRegion(1, 1).hosts[0].Lists
			in := listingOf(1, []*vetchtrail.Endpoint{entryOf(1)})
			in.At = time.Now().Add(-time.Minute)
			l.Take(in)
			l.hearAge(c.reply, time.Now())
			assert.Equal(t, l.following(time.Now()).age > l.Pace()+takeoverSlack, c.old)
		})
	}
}
