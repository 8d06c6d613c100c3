package endpoint

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
)

// TestProbeConnectionReused guards against a connection that is opened to probe an endpoint and then wasted.
func TestProbeConnectionReused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	c := New(Config{})
	e := vetchtrail.Endpoint{Name: "e", Addr: l.Addr().(*net.TCPAddr).AddrPort()}
	assert.NilError(t, c.Connect(context.Background(), e))
	_, opened, err := c.pool.get(context.Background(), poolKeyOf(e), false)
	assert.NilError(t, err)
	assert.Assert(t, !opened, "another connection was opened")
	assert.NilError(t, l.Close())
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	assert.ErrorContains(t, c.Connect(ctx, e), "refused")
}
