// Package operator is the client of the operators' calls that each daemon serves. The
// command-line tool and the demo use it.
package operator

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"vetchtrail"
	"vetchtrail/connection/peer"
	"vetchtrail/schema"
	"vetchtrail/version/rules"
)

const dialTimeout = 3 * time.Second

// Client is a connection to one daemon. It has a method for each call.
type Client struct {
	schema.DRPCOperatorsClient
	conn *drpcconn.Conn
}

// Config holds the address of the daemon to connect to, and the TLS configuration.
type Config struct {
	Addr netip.AddrPort
	TLS  *tls.Config // nil: no TLS
}

// Dial connects to a daemon.
func Dial(ctx context.Context, c Config) (*Client, error) {
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", c.Addr.String())
	if err != nil {
		return nil, &vetchtrail.PeerError{Step: vetchtrail.StepConnect, Peer: c.Addr.String(), Err: err}
	}
	if c.TLS != nil {
		nc = tls.Client(nc, c.TLS)
	}
	conn := drpcconn.NewWithOptions(nc, drpcconn.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: peer.MaxMessage},
	}})
	return &Client{DRPCOperatorsClient: schema.NewDRPCOperatorsClient(conn), conn: conn}, nil
}

// Close closes the connection.
func (c *Client) Close() error { return c.conn.Close() }

// Rules returns the configuration in force at the daemon.
func (c *Client) Rules(ctx context.Context) (*rules.Rules, error) {
	reply, err := c.Configuration(ctx, &schema.ConfigurationRequest{})
	if err != nil {
		return nil, err
	}
	edits, err := schema.ToEdits(reply.GetSnapshot().GetEdits())
	if err != nil {
		return nil, err
	}
	return rules.Restore(edits, reply.GetSnapshot().GetRevision())
}

// NewChange returns a change with a new id. expect is the revision that it was written
// against; 0 means any.
func NewChange(author, reason string, expect uint64, edits []vetchtrail.Edit) vetchtrail.Change {
	return vetchtrail.Change{
		ID: uuid.NewString(), Author: author, Reason: reason, At: time.Now(), Expect: expect, Edits: edits,
	}
}
