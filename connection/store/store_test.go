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

// TestFaults: what the client says of each thing that goes wrong.
func TestFaults(t *testing.T) {
	ctx := context.Background()
	cases := map[string]struct {
		faults  kv.Faults
		err     error // nil: any other
		written bool
	}{
		"lost answer": {kv.Faults{LoseAnswers: 1}, nil, true},
		"outage":      {kv.Faults{Outage: true}, nil, false},
		"rate limit":  {kv.Faults{Writes: -1}, vetchtrail.ErrLimited, false},
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

// TestCompareAndSwap: one writer wins, and a watch wakes.
func TestCompareAndSwap(t *testing.T) {
	ctx := context.Background()
	client, _ := serve(t)
	woken := make(chan vetchtrail.Entry, 1)
	go func() {
		e, _ := client.Wait(ctx, "k", 1, time.Now().Add(30*time.Second))
		woken <- e
	}()
	assert.NilError(t, client.CompareAndSwap(ctx, "k", []byte("one"), 0))
	assert.Assert(t, errors.Is(client.CompareAndSwap(ctx, "k", []byte("two"), 0), vetchtrail.ErrConflict))
	assert.Equal(t, string((<-woken).Value), "one")
	e, err := client.Get(ctx, "k")
	assert.NilError(t, err)
	assert.NilError(t, client.CompareAndSwap(ctx, "k", []byte("three"), e.Index))
	_, err = client.Get(ctx, "none")
	assert.Assert(t, errors.Is(err, vetchtrail.ErrNotFound))
	assert.NilError(t, client.Delete(ctx, "k"))
}

// claimSize is a claim of one request in a batch: its key and who runs it.
const claimSize = 64

// BenchmarkClaim: what claiming requests in the store would take, one write for
// so many claims. The stand-in answers at once; the platform's service takes
// milliseconds more.
func BenchmarkClaim(b *testing.B) {
	for _, batch := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			ctx := context.Background()
			client, server := serve(b)
			value := make([]byte, batch*claimSize)
			n := 0
			for b.Loop() {
				assert.NilError(b, client.CompareAndSwap(ctx, fmt.Sprint(n), value, 0))
				n++
			}
			b.ReportMetric(float64(server.Counts().Writes)/float64(n*batch), "writes/request")
		})
	}
}
