package store

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/standin/kv"
)

// serve starts a stand-in for the store and returns a client of it.
func serve(t testing.TB) (*Client, *kv.Server) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s := kv.New()
	go func() { _ = s.Serve(ctx, l) }()
	return New(Config{Addr: netip.MustParseAddrPort(l.Addr().String())}), s
}

// TestStoreFaults checks the error of a write for each fault of the store. A write whose
// response is lost may have taken effect: it must fail, but never with ErrConflict, which
// means that it did not.
func TestStoreFaults(t *testing.T) {
	ctx := context.Background()
	cases := map[string]struct {
		faults  kv.Faults
		err     error // nil: any but ErrConflict
		written bool
	}{
		"lost response": {kv.Faults{LoseResponses: 1}, nil, true},
		"outage":        {kv.Faults{Outage: true}, nil, false},
		"rate limit":    {kv.Faults{Writes: -1}, vetchtrail.ErrStoreRateLimited, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			client, server := serve(t)
			server.SetFaults(c.faults)
			err := client.CompareAndSwap(ctx, "k", []byte("v"), 0)
			assert.Assert(t, err != nil)
			assert.Equal(t, errors.Is(err, vetchtrail.ErrConflict), false)
			if c.err != nil {
				assert.Assert(t, errors.Is(err, c.err), "%v", err)
			}
			server.SetFaults(kv.Faults{})
			_, err = client.Get(ctx, "k")
			assert.Equal(t, err == nil, c.written)
		})
	}
}

// TestCompareAndSwap checks that of two writes from the same index only one succeeds, and
// that a write ends a wait for the key.
func TestCompareAndSwap(t *testing.T) {
	ctx := context.Background()
	client, _ := serve(t)
	watched := make(chan vetchtrail.StoreEntry, 1)
	go func() {
		e, _ := client.Wait(ctx, "k", 1, time.Now().Add(30*time.Second))
		watched <- e
	}()
	assert.NilError(t, client.CompareAndSwap(ctx, "k", []byte("one"), 0))
	assert.Assert(t, errors.Is(client.CompareAndSwap(ctx, "k", []byte("two"), 0), vetchtrail.ErrConflict))
	assert.Equal(t, string((<-watched).Value), "one")
	e, err := client.Get(ctx, "k")
	assert.NilError(t, err)
	assert.NilError(t, client.CompareAndSwap(ctx, "k", []byte("three"), e.ModifyIndex))
	_, err = client.Get(ctx, "none")
	assert.Assert(t, errors.Is(err, vetchtrail.ErrNotFound))
	assert.NilError(t, client.Delete(ctx, "k"))
}

// claimBytes is the size of one claim in a batch: a request's key and the host that runs
// it.
const claimBytes = 64

// BenchmarkClaim measures what it would cost to claim requests in the store, with one
// write for a batch of claims. The stand-in responds at once; the platform's store takes
// some milliseconds more.
func BenchmarkClaim(b *testing.B) {
	for _, batch := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			ctx := context.Background()
			client, server := serve(b)
			value := make([]byte, batch*claimBytes)
			n := 0
			for b.Loop() {
				assert.NilError(b, client.CompareAndSwap(ctx, fmt.Sprint(n), value, 0))
				n++
			}
			b.ReportMetric(float64(server.Counts().Writes)/float64(n*batch), "writes/request")
		})
	}
}
