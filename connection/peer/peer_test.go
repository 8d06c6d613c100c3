package peer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcconn"

	"vetchtrail"
	"vetchtrail/schema"
	"vetchtrail/standin/meter"
)

// fakeHost is the other side.
type fakeHost struct {
	schema.DRPCOperatorsUnimplementedServer
	run func(ctx context.Context, r *vetchtrail.Request, a vetchtrail.Answer) vetchtrail.Outcome
}

func (fakeHost) Exchanged(h *schema.Heartbeat) *schema.Heartbeat { return h }
func (fakeHost) Swapped(d *schema.Digests) *schema.Digests       { return d }
func (fakeHost) Since(uint64) ([]vetchtrail.Change, *schema.Snapshot) {
	return nil, nil
}

func (f fakeHost) Run(ctx context.Context, r *vetchtrail.Request, a vetchtrail.Answer) vetchtrail.Outcome {
	return f.run(ctx, r, a)
}

func serve(t testing.TB, f fakeHost) (netip.AddrPort, *meter.Listener) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &meter.Listener{Listener: inner}
	s, err := NewServer(ServerConfig{Membership: f, Changes: f, Runner: f, Operators: &f})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = s.Serve(ctx, l) }()
	return netip.MustParseAddrPort(inner.Addr().String()), l
}

// parts is an answer that is kept.
type parts struct {
	status int
	body   []byte
}

func (p *parts) Begin(status int, _ []vetchtrail.HeaderField) error {
	p.status = status
	return nil
}

func (p *parts) Write(part []byte) error {
	p.body = append(p.body, part...)
	return nil
}

// TestForward: what the forwarding host is told of each end of a forward.
func TestForward(t *testing.T) {
	ok := vetchtrail.Outcome{Kind: vetchtrail.Answered, Status: 200}
	cases := map[string]struct {
		run    func(ctx context.Context, r *vetchtrail.Request, a vetchtrail.Answer) vetchtrail.Outcome
		dead   bool
		leaves bool // the caller does, before an answer
		lost   bool // the host is told to be
		kind   vetchtrail.OutcomeKind
		reason vetchtrail.Reason
		body   string
	}{
		"answered": {run: func(_ context.Context, r *vetchtrail.Request, a vetchtrail.Answer) vetchtrail.Outcome {
			_ = a.Begin(200, nil)
			_ = a.Write([]byte(fmt.Sprint("hops ", r.Hops)))
			return ok
		}, kind: vetchtrail.Answered, body: "hops 1"},
		"refused there": {run: func(context.Context, *vetchtrail.Request, vetchtrail.Answer) vetchtrail.Outcome {
			return vetchtrail.Outcome{Kind: vetchtrail.NotRun, Reason: vetchtrail.ReasonFull}
		}, kind: vetchtrail.NotRun, reason: vetchtrail.ReasonFull},
		"cut after it began": {run: func(_ context.Context, _ *vetchtrail.Request, a vetchtrail.Answer) vetchtrail.Outcome {
			_ = a.Begin(200, nil)
			return vetchtrail.Outcome{Kind: vetchtrail.Unknown, Reason: vetchtrail.ReasonBroken, Err: errors.New("cut")}
		}, kind: vetchtrail.Unknown, reason: vetchtrail.ReasonBroken},
		"never answers": {run: func(ctx context.Context, _ *vetchtrail.Request, _ vetchtrail.Answer) vetchtrail.Outcome {
			<-ctx.Done()
			return ok
		}, kind: vetchtrail.Unknown, reason: vetchtrail.ReasonLost, lost: true},
		"its caller leaves": {run: func(ctx context.Context, _ *vetchtrail.Request, _ vetchtrail.Answer) vetchtrail.Outcome {
			<-ctx.Done()
			return ok
		}, leaves: true, kind: vetchtrail.Unknown, reason: vetchtrail.ReasonCallerGone},
		"not there": {dead: true, kind: vetchtrail.NotRun, reason: vetchtrail.ReasonUnreachable, lost: true},
	}
	for name, c := range cases {
		for _, repeats := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, repeats %t", name, repeats), func(t *testing.T) {
				addr := netip.MustParseAddrPort("127.0.0.1:1")
				if !c.dead {
					addr, _ = serve(t, fakeHost{run: c.run})
				}
				client := New(Config{})
				defer client.Close()
				var got parts
				r := &vetchtrail.Request{ID: "r", Deadline: time.Now().Add(200 * time.Millisecond), Repeats: repeats}
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if c.leaves {
					time.AfterFunc(20*time.Millisecond, cancel)
				}
				o := client.Forward(ctx, vetchtrail.Host{Name: "h", Peers: addr}, r, &got)
				assert.Equal(t, o.Kind, c.kind, o.Error())
				assert.Equal(t, o.Reason, c.reason)
				assert.Equal(t, o.HostLost, c.lost)
				assert.Equal(t, string(got.body), c.body)
			})
		}
	}
}

// TestGarbled: bytes that are no message end their connection and no more.
func TestGarbled(t *testing.T) {
	addr, _ := serve(t, fakeHost{})
	for _, text := range []string{"GET / HTTP/1.1\r\n\r\n", "\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff", "\x00"} {
		c, err := net.Dial("tcp", addr.String())
		assert.NilError(t, err)
		_, _ = c.Write([]byte(text))
		assert.NilError(t, c.Close())
	}
	nc, err := net.Dial("tcp", addr.String())
	assert.NilError(t, err)
	conn := drpcconn.New(nc)
	_, err = schema.NewDRPCPeersClient(conn).Forward(context.Background(), &schema.ForwardRequest{Home: 99})
	if err == nil {
		assert.NilError(t, conn.Close())
	}
	client := New(Config{})
	defer client.Close()
	_, err = client.Exchange(context.Background(), addr, &schema.Heartbeat{From: "still here"})
	assert.NilError(t, err)
}

func TestTranslate(t *testing.T) {
	c := New(Config{Translate: []Translation{{From: netip.MustParsePrefix("127.2.1.0/24"), To: netip.MustParsePrefix("127.11.9.0/24")}}})
	cases := map[string]struct{ from, to string }{
		"within":  {"127.2.1.7:7070", "127.11.9.7:7070"},
		"without": {"127.3.1.7:7070", "127.3.1.7:7070"},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.translate(netip.MustParseAddrPort(k.from)), netip.MustParseAddrPort(k.to))
		})
	}
}

// BenchmarkExchange: one exchange over loopback beside its messages' own size;
// the processor time is of both sides.
func BenchmarkExchange(b *testing.B) {
	for _, size := range []int{0, 500, 2000} {
		b.Run(fmt.Sprintf("payload=%d", size), func(b *testing.B) {
			addr, l := serve(b, fakeHost{})
			client := New(Config{})
			defer client.Close()
			h := &schema.Heartbeat{From: string(make([]byte, size))}
			n := 0
			cpu := meter.CPU()
			for b.Loop() {
				_, err := client.Exchange(context.Background(), addr, h)
				assert.NilError(b, err)
				n++
			}
			b.ReportMetric(float64(meter.CPU()-cpu)/float64(n), "cpu-ns/op")
			b.ReportMetric(float64(l.Bytes())/float64(n)-2*float64(size), "wire-overhead/op")
		})
	}
}
