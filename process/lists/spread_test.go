package lists

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/schema"
)

// region plays the hosts of a region and the platform on virtual time.
type region struct {
	mu        sync.Mutex
	rnd       *rand.Rand
	link      float64                // of each host, Mbit/s; 0: not bounded
	free      map[int]time.Time      // when a host's link is free, by rank
	bytes     int                    // that were sent
	revision  uint64                 // of the platform's lists
	endpoints []*vetchtrail.Endpoint // in the order of their names
	turned    map[int]away           // hosts that the platform turns away
	down      map[int]bool           // hosts that were killed or cut off from the others
	hosts     []*regionHost          // in the order of their rank
	wholes    int                    // lists that were lent whole
	lines     int                    // endpoints in the lists that were lent
	calls     int                    // of the platform
}

// away is how the platform turns a host away.
type away string

const (
	awayBusy   away = "busy"   // at once
	awaySilent away = "silent" // it says nothing
)

type regionHost struct {
	r    *region
	rank int
	*Lists
	known time.Time // when it heard of the newest lists
}

func (h *regionHost) Rank(string, time.Time) (int, int) { return h.rank, h.rank / 2 }

func (h *regionHost) Ranked(_ string, n int, _ time.Time) []vetchtrail.Host {
	var out []vetchtrail.Host
	for i, other := range h.r.hosts {
		if i != h.rank && len(out) < n {
			out = append(out, other.cfg.Self)
		}
	}
	return out
}

func (h *regionHost) Ahead(time.Time) (vetchtrail.Host, bool) { return vetchtrail.Host{}, false }
func (h *regionHost) SetListed([]vetchtrail.Host)             {}

// List asks another host, some milliseconds away.
func (h *regionHost) List(ctx context.Context, addr netip.AddrPort, q *schema.ListRequest) (*schema.Listing, error) {
	to := h.r.hosts[int(addr.Port())-1]
	time.Sleep(3 * time.Millisecond)
	if h.r.isDown(to.rank) || h.r.isDown(h.rank) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	m := to.Lend(q)
	h.r.lent(m)
	if arrives := h.r.sent(to.rank, proto.Size(m)); time.Until(arrives) > 0 {
		select {
		case <-ctx.Done(): // what is under way takes the link all the same
			return nil, ctx.Err()
		case <-time.After(time.Until(arrives)):
		}
	}
	return m, nil
}

func (h *regionHost) Changes(context.Context, netip.AddrPort, uint64) (*schema.ChangesReply, error) {
	return &schema.ChangesReply{}, nil
}
func (h *regionHost) Revision() uint64                   { return 1 }
func (h *regionHost) Learned(*schema.ChangesReply) error { return nil }

// sent returns when a message that a host sends now has arrived, behind what it sent before.
func (r *region) sent(rank, bytes int) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link == 0 {
		return time.Now()
	}
	r.bytes += bytes
	free := vetchtrail.Later(r.free[rank], time.Now())
	r.free[rank] = free.Add(time.Duration(float64(bytes) / (r.link * bytesPerMbit) * float64(time.Second)))
	return r.free[rank]
}

func (r *region) lent(m *schema.Listing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.GetRevision() > 0 && m.GetSince() == 0 {
		r.wholes++
	}
	r.lines += len(m.GetEndpoints()) + len(m.GetGone())
}

func (r *region) isDown(rank int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down[rank]
}

// call asks the platform.
func (r *region) call(rank int) (uint64, error) {
	r.mu.Lock()
	r.calls++
	how, revision := r.turned[rank], r.revision
	r.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	switch how {
	case awayBusy:
		return 0, errors.New("503")
	case awaySilent:
		time.Sleep(2500 * time.Millisecond) // a watch of a second, and the bound of a call
		return 0, errors.New("timeout")
	}
	return revision, nil
}

// feed reads the lists as a platform's feed does, while that is the host's part.
func (h *regionHost) feed(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		if h.r.isDown(h.rank) || !h.Reads() {
			wait(ctx, 200*time.Millisecond)
			continue
		}
		h.Asking(began)
		revision, err := h.r.call(h.rank)
		h.Answered(err == nil)
		if err != nil {
			wait(ctx, time.Second)
			continue
		}
		h.r.mu.Lock()
		endpoints := h.r.endpoints
		h.r.mu.Unlock()
		h.Take(vetchtrail.Listing{Revision: revision, Seen: revision, At: time.Now(), Endpoints: endpoints})
		wait(ctx, time.Until(began.Add(h.Pace())))
	}
}

// taken notes when the host heard of the newest lists.
func (h *regionHost) taken() {
	l := h.Listing()
	h.r.mu.Lock()
	defer h.r.mu.Unlock()
	if l.Revision >= h.r.revision && h.known.IsZero() && h.r.revision > 1 {
		h.known = time.Now()
	}
}

func netAddr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 80)
}

func newRegion(hosts int, seed uint64) *region { return newLinkedRegion(hosts, seed, 0) }

// newLinkedRegion makes hosts whose links have some Mbit/s each.
func newLinkedRegion(hosts int, seed uint64, link float64) *region {
	r := &region{rnd: rand.New(rand.NewPCG(seed, 1)), revision: 1, turned: map[int]away{}, down: map[int]bool{}, free: map[int]time.Time{}, link: link}
	for i := range hosts {
		h := &regionHost{r: r, rank: i}
		self := vetchtrail.Host{Name: fmt.Sprint("h", i), Peers: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(i+1))}
		h.Lists = New(Config{
			Self: self, Seeds: []netip.AddrPort{netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), 1)},
			KnownWithin: 5 * time.Second, Link: link, Hosts: h, Peers: h, Configuration: h, Taken: h.taken, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		r.hosts = append(r.hosts, h)
	}
	return r
}

// run starts the hosts and lets them settle.
func (r *region) run(ctx context.Context) {
	for _, h := range r.hosts {
		time.Sleep(time.Duration(r.rnd.IntN(20)) * time.Millisecond)
		go h.feed(ctx)
		go h.Run(ctx)
	}
	time.Sleep(8 * time.Second)
}

// worst is how long after a moment the last live host heard of the newest lists.
func (r *region) worst(since time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out time.Duration
	for _, h := range r.hosts {
		if r.down[h.rank] {
			continue
		}
		if h.known.IsZero() {
			return time.Hour
		}
		out = max(out, h.known.Sub(since))
	}
	return out
}

// TestKnownWithin: an endpoint that leaves is known at every live host of a region in time,
// whichever hosts the platform turns away, in whatever way, and whichever ends meanwhile:
// the bound of 5 s less half a second in which a request is on its way. The worst of 40 runs
// of each was 2.3, 3.2, 3.8, 2.4 and 2.8 s; with takeover by the age of the lists alone 2.3,
// 4.1, 4.5, 5.4 and 4.3 s.
func TestKnownWithin(t *testing.T) {
	cases := map[string]struct {
		part   float64 // of the hosts that is turned away
		first  int     // of the first hosts that are turned away
		modes  []away
		killed bool // the first host that reads ends
	}{
		"the platform answers all":        {0, 0, []away{awayBusy}, false},
		"a third is turned away":          {0.35, 0, []away{awayBusy, awaySilent}, false},
		"the first three say nothing":     {0, 3, []away{awaySilent}, false},
		"the first four are told no":      {0, 4, []away{awayBusy}, false},
		"the first ends, a third is away": {0.35, 0, []away{awayBusy}, true},
	}
	const seeds = 40
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			worst, calls := time.Duration(0), 0
			for seed := range uint64(seeds) {
				synctest.Test(t, func(t *testing.T) {
					ctx, stop := context.WithCancel(t.Context())
					defer stop()
					r := newRegion(24, seed)
					r.run(ctx)
					r.mu.Lock()
					for i := range r.hosts {
						if i < c.first || r.rnd.Float64() < c.part {
							r.turned[i] = c.modes[r.rnd.IntN(len(c.modes))]
						}
					}
					r.calls = 0
					r.mu.Unlock()
					time.Sleep(time.Duration(r.rnd.IntN(9000)) * time.Millisecond)
					r.mu.Lock()
					r.down[0] = c.killed
					r.revision = 2
					since := time.Now()
					r.mu.Unlock()
					time.Sleep(10 * time.Second)
					worst = max(worst, r.worst(since))
					r.mu.Lock()
					calls += r.calls
					r.mu.Unlock()
					stop()
					time.Sleep(5 * time.Second)
				})
			}
			t.Logf("known within %s, %.1f calls a second", worst, float64(calls)/seeds/14.5)
			assert.Assert(t, worst <= 4500*time.Millisecond, "%s", worst)
		})
	}
}

// TestStart: a host whose seeds are gone, or come up a little later, holds lists within
// half a second of the first that can lend.
func TestStart(t *testing.T) {
	cases := map[string]struct {
		up [3]time.Duration // when each seed answers; negative: never
	}{
		"one is there":                  {[3]time.Duration{-1, 0, -1}},
		"all are there":                 {[3]time.Duration{0, 0, 0}},
		"one comes up":                  {[3]time.Duration{-1, 300 * time.Millisecond, -1}},
		"one comes up after the others": {[3]time.Duration{500 * time.Millisecond, 300 * time.Millisecond, -1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				r := newRegion(4, 1)
				first := time.Hour
				for i := range c.up {
					r.down[i] = true
				}
				for i, up := range c.up {
					if up >= 0 {
						r.hosts[i].Take(vetchtrail.Listing{Revision: 1, Seen: 1, At: time.Now()})
						time.AfterFunc(up, func() {
							r.mu.Lock()
							defer r.mu.Unlock()
							r.down[i] = false
						})
						first = min(first, up)
					}
				}
				young := r.hosts[3]
				young.cfg.Seeds = nil
				for _, h := range r.hosts[:3] {
					young.cfg.Seeds = append(young.cfg.Seeds, h.cfg.Self.Peers)
				}
				began := time.Now()
				go young.Run(ctx)
				for young.Listing() == nil && time.Since(began) < 5*time.Second {
					time.Sleep(5 * time.Millisecond)
				}
				took := time.Since(began) - first
				assert.Assert(t, took < 150*time.Millisecond, "%s after a seed was there", took)
				time.Sleep(time.Second)
				r.mu.Lock()
				defer r.mu.Unlock()
				assert.Equal(t, r.wholes, 1, "the lists were lent more than once")
			})
		})
	}
}

// TestRefresh: whether the configuration held is the newest, by who can be asked; no lists
// are lent for it, however new the other host's are.
func TestRefresh(t *testing.T) {
	cases := map[string]struct {
		down    bool // the others answer nothing
		old     bool // the others hear nothing of the platform
		current bool
	}{
		"the others hear the platform": {false, false, true},
		"they don't":                   {false, true, false},
		"nobody answers":               {true, false, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRegion(4, 1)
				at := time.Now()
				if c.old {
					at = at.Add(-time.Minute)
				}
				for _, h := range r.hosts[:3] {
					r.down[h.rank] = c.down
					h.Take(vetchtrail.Listing{Revision: 9, Seen: 9, At: at})
				}
				last := r.hosts[3]
				last.Take(vetchtrail.Listing{Revision: 1, Seen: 1, At: at})
				assert.Equal(t, last.Refresh(t.Context()), c.current)
				assert.Equal(t, r.wholes, 0, "lists were lent for a question about the configuration")
			})
		})
	}
}
