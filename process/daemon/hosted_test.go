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

// manualFeed is a platform's feed that passes on each listing that the test sends it, after a
// configuration.
type manualFeed struct{ listings chan vetchtrail.Listing }

// Run implements vetchtrail.Feed.
func (f manualFeed) Run(ctx context.Context, s vetchtrail.Sink) {
	for {
		select {
		case <-ctx.Done():
			return
		case l := <-f.listings:
			if err := s.OfferConfiguration(vetchtrail.Snapshot{Revision: 5, Edits: hostedEdits()}); err != nil {
				panic(err)
			}
			s.ReplaceListing(l)
		}
	}
}

// hostedEdits returns a configuration with one region, one service, and a route of each kind.
func hostedEdits() []vetchtrail.Edit {
	return []vetchtrail.Edit{
		vetchtrail.PutRegion{Region: vetchtrail.Region{Name: "r", DataCentres: []string{"d"}}},
		vetchtrail.PutService{Service: vetchtrail.Service{Name: "s", AnswerWithin: time.Second, QueueLimit: 8}},
		vetchtrail.PutRoute{Route: vetchtrail.Route{
			Name: "p", Host: "h", PathPrefix: "/p/", Attempts: 1, AnswerWithin: 5 * time.Second, Goal: time.Second,
			Targets: []vetchtrail.Target{{Service: "s", Weight: 1}},
		}},
		vetchtrail.PutRoute{Route: vetchtrail.Route{
			Name: "stream", Host: "h", PathPrefix: "/stream/", Kind: vetchtrail.RouteStream, Attempts: 1, AnswerWithin: time.Minute, Goal: 30 * time.Second,
			Targets: []vetchtrail.Target{{Service: "s", Weight: 1}},
		}},
		routeOf("unsafe", vetchtrail.RouteUnsafe, 2),
		routeOf("safe", vetchtrail.RouteSafe, 2),
	}
}

// routeOf returns a route to the service of hostedEdits under a prefix.
func routeOf(prefix string, kind vetchtrail.RouteKind, attempts int) vetchtrail.Edit {
	return vetchtrail.PutRoute{Route: vetchtrail.Route{
		Name: prefix, Host: "h", PathPrefix: "/" + prefix + "/", Kind: kind, Attempts: attempts, AnswerWithin: 5 * time.Second, Goal: time.Second,
		Targets: []vetchtrail.Target{{Service: "s", Weight: 1}},
	}}
}

// noRegistry registers no host.
type noRegistry struct{}

func (noRegistry) Register(context.Context, vetchtrail.Host, func() bool) {}

// noDirectory serves no requests.
type noDirectory struct{}

func (noDirectory) Serve(net.Listener) error       { return nil }
func (noDirectory) Shutdown(context.Context) error { return nil }

// startHostedDaemon runs a daemon on a hosted platform with the given feed until the test ends.
func startHostedDaemon(t *testing.T, name string, last byte, feed vetchtrail.Feed, peers ...*Daemon) *Daemon {
	t.Helper()
	return runUntilTestEnd(t, newHostedDaemon(t, hostedSettings(name, last, peers...), feed))
}

// hostedSettings returns the settings of a host on a hosted platform.
func hostedSettings(name string, last byte, peers ...*Daemon) settings.Settings {
	s := settings.Default()
	s.Host, s.Region, s.DataCentre = name, "r", "d"
	s.Platform.Kind, s.Platform.DataCentres = settings.PlatformHosted, map[string]string{"d": "r"}
	s.Listen.Callers, s.Listen.Peers, s.Platform.Store = addr(last, 8080), addr(last, 7070), addr(last, 8500)
	for _, p := range peers {
		s.Seeds = append(s.Seeds, p.self.PeerAddr)
	}
	return s
}

// newHostedDaemon returns a daemon on a hosted platform with the given feed.
func newHostedDaemon(t *testing.T, s settings.Settings, feed vetchtrail.Feed) *Daemon {
	t.Helper()
	d, err := New(Config{
		Settings: s, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Hosted: &Hosted{
			Feed: func(vetchtrail.PollCoordinator) vetchtrail.Feed { return feed }, Registry: noRegistry{}, Dialect: dialect.Default{},
			Directory: func(*membership.Membership, func(string) ([]string, bool)) Directory { return noDirectory{} },
		},
	})
	assert.NilError(t, err)
	return d
}

// TestListingFetchedFromPeer guards against a host that never becomes ready because the platform
// doesn't respond to it: it must fetch the configuration and the listing from a peer. It also guards
// against a newer listing that is replaced by an older one, as the host's own feed may deliver an
// older one later.
func TestListingFetchedFromPeer(t *testing.T) {
	listed, silent := manualFeed{make(chan vetchtrail.Listing, 1)}, manualFeed{make(chan vetchtrail.Listing, 1)}
	a := startHostedDaemon(t, "a", 11, listed)
	b := startHostedDaemon(t, "b", 12, silent, a)
	listed.listings <- vetchtrail.Listing{Revision: 40, ConfirmedRevision: 40, ReadAt: time.Now(), Endpoints: []*vetchtrail.Endpoint{
		{Name: "e", Instance: "e", Service: "s", Region: "r", DataCentre: "d", Addr: addr(13, 80), Slots: 2},
	}}
	waitUntilReady(t, b)
	assert.Equal(t, b.Revision(), uint64(5))
	_, known := b.table.Find("e")
	assert.Assert(t, known)
	b.lists.Update(vetchtrail.Listing{Revision: 39, ConfirmedRevision: 39, ReadAt: time.Now()})
	assert.Equal(t, b.lists.Listing().Revision, uint64(40))
	b.lists.Update(vetchtrail.Listing{Revision: 41, ConfirmedRevision: 41, ReadAt: time.Now()})
	assert.Equal(t, b.lists.Listing().Revision, uint64(41))
}

// TestUnchangedListingIsCheap guards against work that grows with the number of endpoints and is
// repeated each second, or for each reply of a peer that has nothing newer. The host may iterate
// over all endpoints only when the listing or the configuration has changed.
func TestUnchangedListingIsCheap(t *testing.T) {
	const maxBytes = 16 << 10 // allocated for one update, with either number of endpoints
	for _, endpoints := range []int{1000, 2000} {
		t.Run(fmt.Sprint(endpoints, " endpoints"), func(t *testing.T) {
			feed := manualFeed{make(chan vetchtrail.Listing, 1)}
			d := startHostedDaemon(t, "a", 11, feed)
			l := vetchtrail.Listing{Revision: 40, ConfirmedRevision: 40, ReadAt: time.Now()}
			for n := range endpoints {
				l.Endpoints = append(l.Endpoints, &vetchtrail.Endpoint{
					Name: fmt.Sprintf("e%05d", n), Service: "s", Region: []string{"r", "q"}[n%2], DataCentre: "d", Addr: addr(13, 80), Slots: 2,
				})
			}
			feed.listings <- l
			waitUntilReady(t, d)
			assert.Equal(t, len(d.table.Endpoints()), endpoints/2)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			const updates = 20
			for range updates {
				l.ConfirmedRevision++
				d.lists.Update(l)
			}
			runtime.ReadMemStats(&after)
			bytesPerUpdate := (after.TotalAlloc - before.TotalAlloc) / updates
			t.Logf("%d bytes allocated", bytesPerUpdate)
			assert.Assert(t, bytesPerUpdate < maxBytes, "%d bytes allocated", bytesPerUpdate)
			l.ConfirmedRevision, l.Revision, l.Endpoints = l.ConfirmedRevision+1, l.ConfirmedRevision+1, l.Endpoints[1:]
			d.lists.Update(l)
			assert.Equal(t, len(d.table.Endpoints()), (endpoints-1)/2)
		})
	}
}
