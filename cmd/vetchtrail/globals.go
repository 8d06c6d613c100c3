package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/user"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
	"vetchtrail/connection/operator"
	"vetchtrail/connection/peer"
	"vetchtrail/schema"
	"vetchtrail/version/rules"
)

// callTimeout bounds one subcommand's calls to the daemon, including the connection.
const callTimeout = 20 * time.Second

// globals holds the flags of every subcommand. Its methods connect to the daemon and
// print results.
type globals struct {
	Daemon      netip.AddrPort `default:"127.0.0.1:7070" env:"VETCHTRAIL_DAEMON" help:"Peer address (listen.peers) of any daemon."`
	Output      string         `enum:"text,json" default:"text" short:"o" help:"text for people, json for programs."`
	Certificate string         `type:"existingfile" env:"VETCHTRAIL_CERTIFICATE" help:"PEM client certificate, if the daemons use TLS."`
	Key         string         `type:"existingfile" env:"VETCHTRAIL_KEY" help:"PEM key of the certificate."`
	Authority   string         `type:"existingfile" env:"VETCHTRAIL_AUTHORITY" help:"PEM certificate of the authority that signed the daemons' certificates."`
}

// changeFlags holds the flags of every subcommand that changes the configuration.
type changeFlags struct {
	Reason         string `short:"m" help:"Reason for the change; recorded in the history."`
	Author         string `help:"Author of the change; by default the name of the current user."`
	ChangeID       string `help:"Id of the change; to settle a change with an unknown outcome, repeat its command with its id."`
	ExpectRevision uint64 `help:"Refuse the change unless this is the current revision."`
	DryRun         bool   `help:"Validate the change without writing it."`
}

// dial connects to the daemon. It returns a context with the time limit for calls, the
// client, and a function that closes both.
func (g *globals) dial() (context.Context, *operator.Client, func(), error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	cfg, err := g.tls()
	if err != nil {
		cancel()
		return nil, nil, nil, err
	}
	c, err := operator.Dial(ctx, operator.Config{Addr: g.Daemon, TLS: cfg})
	if err != nil {
		cancel()
		return nil, nil, nil, errors.Errorf("cannot connect to the daemon at %s (%s): choose another one with --daemon or VETCHTRAIL_DAEMON", g.Daemon, err)
	}
	return ctx, c, func() { _ = c.Close(); cancel() }, nil
}

// rules returns the daemon's current configuration.
func (g *globals) rules() (*rules.Rules, error) {
	ctx, client, cleanup, err := g.dial()
	if err != nil {
		return nil, err
	}
	defer cleanup()
	return client.Rules(ctx)
}

// tls returns the client's TLS configuration, or nil if no key files are given.
func (g *globals) tls() (*tls.Config, error) {
	if g.Certificate == "" && g.Key == "" && g.Authority == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(g.Certificate, g.Key)
	if err != nil {
		return nil, errors.Errorf("cannot load --certificate and --key: %s", err)
	}
	text, err := os.ReadFile(g.Authority)
	if err != nil {
		return nil, errors.Errorf("cannot read --authority: %s", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Errorf("--authority %s contains no PEM certificate", g.Authority)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}, RootCAs: pool, ServerName: peer.ServerName}, nil
}

// print writes v as JSON with --output=json, and otherwise calls writeText, whose
// output it aligns in columns.
func (g *globals) print(v any, writeText func(w *tabwriter.Writer)) error {
	if g.Output == "json" {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	writeText(w)
	return w.Flush()
}

// changeResult is the JSON output of a subcommand that changes the configuration.
type changeResult struct {
	ID       string   `json:"id"`
	Result   string   `json:"result"`
	Revision uint64   `json:"revision"`
	Edits    []string `json:"edits"`
	Text     string   `json:"text,omitempty"`
}

// propose connects to the daemon, proposes one change and prints its result.
func (g *globals) propose(f *changeFlags, edits []vetchtrail.Edit) error {
	ctx, client, cleanup, err := g.dial()
	if err != nil {
		return err
	}
	defer cleanup()
	return g.proposeOn(ctx, client, f, edits)
}

// proposeOn proposes one change over an open connection and prints its result. If the
// connection breaks, the outcome of the change is unknown. The error then contains the
// id of the change: an operator settles the change by the same command with this id.
func (g *globals) proposeOn(ctx context.Context, client *operator.Client, f *changeFlags, edits []vetchtrail.Edit) error {
	change := operator.NewChange(f.author(), f.Reason, f.ExpectRevision, edits)
	if f.ChangeID != "" {
		change.ID = f.ChangeID
	}
	reply, err := client.Propose(ctx, &schema.ProposeRequest{Change: schema.FromChange(change), DryRun: f.DryRun})
	if err != nil {
		return exitError{exitUnknown, errors.Errorf("lost the connection to the daemon (%s): the change may take effect; to settle it, run the same command with --change-id %s", err, change.ID)}
	}
	result := changeResult{ID: change.ID, Result: reply.GetResult().String(), Revision: reply.GetRevision(), Text: reply.GetText()}
	for _, e := range edits {
		result.Edits = append(result.Edits, rules.ItemName(e))
	}
	if err := proposalError(reply, change.ID); err != nil {
		return err
	}
	return g.print(result, func(w *tabwriter.Writer) {
		if f.DryRun {
			_, _ = fmt.Fprintf(w, "valid on revision %d; nothing was written\n", result.Revision)
			return
		}
		_, _ = fmt.Fprintf(w, "accepted as revision %d: see where it is in force with `vetchtrail config wait %d`\n", result.Revision, result.Revision)
	})
}

// author returns the author of a change: the flag, or the name of the current user.
func (f *changeFlags) author() string {
	if f.Author != "" {
		return f.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// proposalError returns nil for an accepted proposal. For any other it returns an error
// with the reason and, where possible, what the operator can do.
func proposalError(r *schema.ProposeReply, id string) error {
	switch r.GetResult() {
	case schema.ProposeReply_ACCEPTED:
		return nil
	case schema.ProposeReply_INVALID:
		return exitError{exitInvalid, errors.Errorf("the change is not valid, nothing was written: %s", r.GetText())}
	case schema.ProposeReply_CONFLICT:
		return exitError{exitConflict, errors.Errorf("another change was accepted first, nothing was written: %s", r.GetText())}
	case schema.ProposeReply_UNAVAILABLE:
		return errors.Errorf("the store is unreachable, nothing was written: %s; try again later", r.GetText())
	}
	return exitError{exitUnknown, errors.Errorf("%s; to settle the change, run the same command with --change-id %s", r.GetText(), id)}
}
