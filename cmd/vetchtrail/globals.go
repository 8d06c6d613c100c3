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

const callTime = 20 * time.Second

// globals are the flags of every subcommand.
type globals struct {
	Daemon      netip.AddrPort `default:"127.0.0.1:7070" env:"VETCHTRAIL_DAEMON" help:"Peers' address of any daemon."`
	Output      string         `enum:"text,json" default:"text" short:"o" help:"text for people, json for programs."`
	Certificate string         `type:"existingfile" env:"VETCHTRAIL_CERTIFICATE" help:"PEM certificate, if daemons ask for one."`
	Key         string         `type:"existingfile" env:"VETCHTRAIL_KEY" help:"PEM key of the certificate."`
	Authority   string         `type:"existingfile" env:"VETCHTRAIL_AUTHORITY" help:"PEM certificate that signed the daemons'."`
}

// changeFlags are the flags of every subcommand that changes something.
type changeFlags struct {
	Reason         string `short:"m" help:"Why; kept in the history."`
	Author         string `help:"Who; by default the user's name."`
	ChangeID       string `help:"The change's id; give that of an unsettled change to settle it."`
	ExpectRevision uint64 `help:"Refuse if another revision stands."`
	DryRun         bool   `help:"Check the change and write nothing."`
}

// dial connects to the daemon.
func (g *globals) dial() (context.Context, *operator.Client, func(), error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	cfg, err := g.tls()
	if err != nil {
		cancel()
		return nil, nil, nil, err
	}
	c, err := operator.Dial(ctx, operator.Config{Addr: g.Daemon, TLS: cfg})
	if err != nil {
		cancel()
		return nil, nil, nil, errors.Errorf("no daemon answers at %s (%s): name another with --daemon or VETCHTRAIL_DAEMON", g.Daemon, err)
	}
	return ctx, c, func() { _ = c.Close(); cancel() }, nil
}

// rules returns the configuration that the daemon holds.
func (g *globals) rules() (*rules.Rules, error) {
	ctx, client, done, err := g.dial()
	if err != nil {
		return nil, err
	}
	defer done()
	return client.Rules(ctx)
}

func (g *globals) tls() (*tls.Config, error) {
	if g.Certificate == "" && g.Key == "" && g.Authority == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(g.Certificate, g.Key)
	if err != nil {
		return nil, errors.Errorf("--certificate and --key can't be used: %s", err)
	}
	text, err := os.ReadFile(g.Authority)
	if err != nil {
		return nil, errors.Errorf("--authority can't be read: %s", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Errorf("--authority %s holds no certificate", g.Authority)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}, RootCAs: pool, ServerName: peer.ServerName}, nil
}

// print writes a value as JSON, or calls the function that writes it as text.
func (g *globals) print(v any, text func(w *tabwriter.Writer)) error {
	if g.Output == "json" {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	text(w)
	return w.Flush()
}

// change is the printed end of a change.
type change struct {
	ID       string   `json:"id"`
	Result   string   `json:"result"`
	Revision uint64   `json:"revision"`
	Edits    []string `json:"edits"`
	Text     string   `json:"text,omitempty"`
}

// propose makes one change and tells what became of it.
func (g *globals) propose(f *changeFlags, edits []vetchtrail.Edit) error {
	ctx, c, done, err := g.dial()
	if err != nil {
		return err
	}
	defer done()
	return g.proposeOn(ctx, c, f, edits)
}

func (g *globals) proposeOn(ctx context.Context, c *operator.Client, f *changeFlags, edits []vetchtrail.Edit) error {
	ch := operator.NewChange(f.author(), f.Reason, f.ExpectRevision, edits)
	if f.ChangeID != "" {
		ch.ID = f.ChangeID
	}
	reply, err := c.Propose(ctx, &schema.ProposeRequest{Change: schema.FromChange(ch), DryRun: f.DryRun})
	if err != nil {
		return exitError{exitUnknown, errors.Errorf("the daemon was lost (%s): the change may take effect. Settle it by the same command with --change-id %s", err, ch.ID)}
	}
	end := change{ID: ch.ID, Result: reply.GetResult().String(), Revision: reply.GetRevision(), Text: reply.GetText()}
	for _, e := range edits {
		end.Edits = append(end.Edits, rules.Title(e))
	}
	if err := verdict(reply, ch.ID); err != nil {
		return err
	}
	return g.print(end, func(w *tabwriter.Writer) {
		if f.DryRun {
			_, _ = fmt.Fprintf(w, "valid on revision %d; nothing was written\n", end.Revision)
			return
		}
		_, _ = fmt.Fprintf(w, "accepted as revision %d: see where it is in force with `vetchtrail config wait %d`\n", end.Revision, end.Revision)
	})
}

func (f *changeFlags) author() string {
	if f.Author != "" {
		return f.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// verdict is the error for a proposal that was not accepted, with what to do.
func verdict(r *schema.ProposeReply, id string) error {
	switch r.GetResult() {
	case schema.ProposeReply_ACCEPTED:
		return nil
	case schema.ProposeReply_INVALID:
		return exitError{exitInvalid, errors.Errorf("not valid, nothing was written: %s", r.GetText())}
	case schema.ProposeReply_CONFLICT:
		return exitError{exitConflict, errors.Errorf("another change was first, nothing was written: %s", r.GetText())}
	case schema.ProposeReply_UNAVAILABLE:
		return errors.Errorf("the store can't be reached, nothing was written: %s. Try again later", r.GetText())
	}
	return exitError{exitUnknown, errors.Errorf("%s. Settle it by the same command with --change-id %s", r.GetText(), id)}
}
