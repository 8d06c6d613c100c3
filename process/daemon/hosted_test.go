package daemon

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/connection/dialect"
	"vetchtrail/process/membership"
	"vetchtrail/process/settings"
)

// silentFeed is a platform that answers this host nothing, until it is let.
type silentFeed struct{ tells chan vetchtrail.Listing }

func (f silentFeed) Run(ctx context.Context, s vetchtrail.Sink) {
	for {
		select {
		case <-ctx.Done():
			return
		case l := <-f.tells:
			if err := s.Configured(vetchtrail.Snapshot{Revision: 5, Edits: hostedEdits()}); err != nil {
				panic(err)
			}
			s.Listed(l)
		}
	}
}

func hostedEdits() []vetchtrail.Edit {
	return []vetchtrail.Edit{
		vetchtrail.PutRegion{Region: vetchtrail.Region{Name: "r", DataCentres: []string{"d"}}},
		vetchtrail.PutService{Service: vetchtrail.Service{Name: "s", AnswerWithin: time.Second}},
		vetchtrail.PutRoute{Route: vetchtrail.Route{
			Name: "p", Host: "h", PathPrefix: "/p/", Attempts: 1, AnswerWithin: 5 * time.Second, Goal: time.Second,
			Targets: []vetchtrail.Target{{Service: "s", Weight: 1}},
		}},
	}
}

type noRegistry struct{}

func (noRegistry) Register(context.Context, vetchtrail.Host, func() bool) {}

type noDirectory struct{}

func (noDirectory) Serve(net.Listener) error       { return nil }
func (noDirectory) Shutdown(context.Context) error { return nil }

func startHosted(t *testing.T, name string, last byte, feed vetchtrail.Feed, peers ...*Daemon) *Daemon {
	t.Helper()
	s := settings.Default()
	s.Host, s.Region, s.DataCentre = name, "r", "d"
	s.Platform.Kind, s.Platform.DataCentres = settings.PlatformHosted, map[string]string{"d": "r"}
	s.Listen.Callers, s.Listen.Peers, s.Platform.Store = addr(last, 8080), addr(last, 7070), addr(last, 8500)
	for _, p := range peers {
		s.Seeds = append(s.Seeds, p.self.Peers)
	}
	d, err := New(Config{
		Settings: s, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Hosted: &Hosted{
			Feed: func(vetchtrail.Following) vetchtrail.Feed { return feed }, Registry: noRegistry{}, Dialect: dialect.Plain{},
			Directory: func(*membership.Membership, func(string) ([]string, bool)) Directory { return noDirectory{} },
		},
	})
	assert.NilError(t, err)
	return runUntilEnd(t, d)
}

// TestBorrowed: a host that the platform never answers learns configuration and
// lists from a peer and becomes ready; older lists of its own feed, told later,
// don't replace them.
func TestBorrowed(t *testing.T) {
	told, silent := silentFeed{make(chan vetchtrail.Listing, 1)}, silentFeed{make(chan vetchtrail.Listing, 1)}
	a := startHosted(t, "a", 11, told)
	b := startHosted(t, "b", 12, silent, a)
	told.tells <- vetchtrail.Listing{Revision: 40, Seen: 40, At: time.Now(), Endpoints: []*vetchtrail.Endpoint{
		{Name: "e", Instance: "e", Service: "s", Region: "r", DataCentre: "d", Addr: addr(13, 80), Slots: 2},
	}}
	becomesReady(t, b)
	assert.Equal(t, b.Revision(), uint64(5))
	_, known := b.table.Known("e")
	assert.Assert(t, known)
	b.lists.Take(vetchtrail.Listing{Revision: 39, Seen: 39, At: time.Now()})
	assert.Equal(t, b.lists.Listing().Revision, uint64(40))
	b.lists.Take(vetchtrail.Listing{Revision: 41, Seen: 41, At: time.Now()})
	assert.Equal(t, b.lists.Listing().Revision, uint64(41))
}

// TestPlacedOnce: the endpoints are looked at one by one only where the lists or the configuration are others. What
// is done each second, and for each answer of a lender that knows nothing newer, does not grow with them.
func TestPlacedOnce(t *testing.T) {
	const most = 16 << 10 // bytes that are made, for either size
	for _, endpoints := range []int{1000, 2000} {
		t.Run(fmt.Sprint(endpoints, " endpoints"), func(t *testing.T) {
			feed := silentFeed{make(chan vetchtrail.Listing, 1)}
			d := startHosted(t, "a", 11, feed)
			l := vetchtrail.Listing{Revision: 40, Seen: 40, At: time.Now()}
			for n := range endpoints {
				l.Endpoints = append(l.Endpoints, &vetchtrail.Endpoint{
					Name: fmt.Sprintf("e%05d", n), Service: "s", Region: []string{"r", "q"}[n%2], DataCentre: "d", Addr: addr(13, 80), Slots: 2,
				})
			}
			feed.tells <- l
			becomesReady(t, d)
			assert.Equal(t, len(d.table.Endpoints()), endpoints/2)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			const times = 20
			for range times {
				l.Seen++
				d.lists.Take(l)
			}
			runtime.ReadMemStats(&after)
			made := (after.TotalAlloc - before.TotalAlloc) / times
			t.Logf("%d bytes", made)
			assert.Assert(t, made < most, "%d bytes", made)
			l.Seen, l.Revision, l.Endpoints = l.Seen+1, l.Seen+1, l.Endpoints[1:]
			d.lists.Take(l)
			assert.Equal(t, len(d.table.Endpoints()), (endpoints-1)/2)
		})
	}
}
