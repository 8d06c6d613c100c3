// Package operator is the operators' side of the schema's calls, as the
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

const dialTime = 3 * time.Second

// Client is a connection to one daemon.
type Client struct {
	schema.DRPCOperatorsClient
	conn *drpcconn.Conn
}

// Config says which daemon, and with which keys.
type Config struct {
	Addr netip.AddrPort
	TLS  *tls.Config // nil: plain
}

// Dial connects to a daemon.
func Dial(ctx context.Context, c Config) (*Client, error) {
	d := net.Dialer{Timeout: dialTime}
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

// Close ends the connection.
func (c *Client) Close() error { return c.conn.Close() }

// Rules returns the configuration that the daemon holds.
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

// NewChange returns a change with an id of its own.
func NewChange(author, reason string, expect uint64, edits []vetchtrail.Edit) vetchtrail.Change {
	return vetchtrail.Change{
		ID: uuid.NewString(), Author: author, Reason: reason, At: time.Now(), Expect: expect, Edits: edits,
	}
}
