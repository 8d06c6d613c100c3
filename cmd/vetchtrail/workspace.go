package main

import (
	"bufio"
	"crypto/rand"
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/errors"

	"vetchtrail"
	"vetchtrail/version/document"
)

// workspaceCommand is about workspaces.
type workspaceCommand struct {
	Put    workspacePut    `cmd:"" help:"Add a workspace, or replace its home, regions, priority and quota; its keys stay."`
	Show   workspaceShow   `cmd:"" help:"Show a workspace; of its keys only their hashes are known."`
	Key    workspaceKey    `cmd:"" help:"Keys by which callers show that they are a workspace's."`
	Remove workspaceRemove `cmd:"" help:"Remove a workspace and its keys."`
}

// workspacePut adds or replaces a workspace.
type workspacePut struct {
	changeFlags
	Name     string   `arg:""`
	Home     string   `help:"Region it belongs to; none: where its request enters."`
	Allowed  []string `help:"Regions that may process its requests; none: those of the service."`
	Priority int8     `default:"0" help:"Higher goes first."`
	Rate     float64  `help:"Units a second that all hosts together run for it; 0: no bound."`
	Burst    float64  `help:"Units at once beside the rate."`
	Unit     string   `enum:"requests,tokens" default:"requests" help:"What the quota counts: requests or tokens."`
	Plain    float64  `help:"Tokens that a request counts which names none."`
	Open     bool     `help:"Callers may name it without a key, if it has none."`
}

// Run implements the subcommand.
func (c *workspacePut) Run(g *globals) error {
	return g.changeWorkspace(&c.changeFlags, c.Name, true, func(w *vetchtrail.Workspace) error {
		unit, _ := vetchtrail.ParseQuotaUnit(c.Unit)
		w.Home, w.Allowed, w.Priority = c.Home, c.Allowed, c.Priority
		w.Locked = w.Locked && !c.Open
		w.Quota = vetchtrail.Quota{Rate: c.Rate, Burst: c.Burst, Unit: unit, Plain: c.Plain}
		if c.Rate == 0 && c.Burst == 0 {
			w.Quota = vetchtrail.Quota{}
		}
		return nil
	})
}

// changeWorkspace proposes a workspace as a function changes the one held. The change holds
// only against the revision that was read, so that keys which another operator adds
// meanwhile are not lost.
func (g *globals) changeWorkspace(f *changeFlags, name string, mayAdd bool, edit func(*vetchtrail.Workspace) error) error {
	ctx, client, done, err := g.dial()
	if err != nil {
		return err
	}
	defer done()
	held, err := client.Rules(ctx)
	if err != nil {
		return err
	}
	w, known := held.Workspace(name)
	if !known && !mayAdd {
		return exitError{exitInvalid, errors.Errorf("there is no workspace %s: add it with `vetchtrail workspace put %s`", name, name)}
	}
	w.Name = name
	if err := edit(&w); err != nil {
		return exitError{exitInvalid, err}
	}
	if f.ExpectRevision == 0 && known {
		f.ExpectRevision = held.Revision()
	}
	return g.proposeOn(ctx, client, f, []vetchtrail.Edit{vetchtrail.PutWorkspace{Workspace: w}})
}

// workspaceShow shows a workspace.
type workspaceShow struct {
	Name string `arg:""`
}

// Run implements the subcommand.
func (c *workspaceShow) Run(g *globals) error {
	held, err := g.rules()
	if err != nil {
		return err
	}
	w, ok := held.Workspace(c.Name)
	if !ok {
		return exitError{exitInvalid, errors.Errorf("there is no workspace %s", c.Name)}
	}
	return g.print(document.OfWorkspace(w), func(out *tabwriter.Writer) { showWorkspace(out, w) })
}

func showWorkspace(out *tabwriter.Writer, w vetchtrail.Workspace) {
	line := func(name, text string) { _, _ = fmt.Fprintf(out, "%s\t%s\n", name, text) }
	line("workspace", w.Name)
	line("home", w.Home)
	line("allowed", strings.Join(w.Allowed, ", "))
	line("priority", fmt.Sprint(w.Priority))
	if w.Quota.Bounded() {
		line("quota", fmt.Sprintf("%g %s a second, %g at once", w.Quota.Rate, w.Quota.Unit, w.Quota.Burst))
	} else {
		line("quota", "none")
	}
	line("needs a key", fmt.Sprint(w.Locked))
	for _, k := range w.Keys {
		line("key hash", k.String())
	}
}

// workspaceKey is about the keys of a workspace.
type workspaceKey struct {
	Add    workspaceKeyAdd    `cmd:"" help:"Add a key: the one on standard input, or with --new one that is made and printed once."`
	Remove workspaceKeyRemove `cmd:"" help:"Take a key away, by its hash."`
}

// workspaceKeyAdd adds a key.
type workspaceKeyAdd struct {
	changeFlags
	Name string `arg:""`
	New  bool   `help:"Make a key and print it."`
}

// Run implements the subcommand.
func (c *workspaceKeyAdd) Run(g *globals) error {
	key := rand.Text()
	if !c.New {
		in := bufio.NewScanner(os.Stdin)
		in.Scan()
		key = strings.TrimSpace(in.Text())
	}
	if err := vetchtrail.CheckKey(key); err != nil {
		return exitError{exitInvalid, errors.Wrap(err, "the line on standard input is no key")}
	}
	hash := vetchtrail.HashKey(key)
	err := g.changeWorkspace(&c.changeFlags, c.Name, false, func(w *vetchtrail.Workspace) error {
		if slices.Contains(w.Keys, hash) {
			return errors.Errorf("workspace %s has this key already", c.Name)
		}
		w.Keys, w.Locked = append(slices.Clone(w.Keys), hash), true
		return nil
	})
	if err == nil && c.New && !c.DryRun {
		_, err = fmt.Fprintf(os.Stderr, "key %s (kept nowhere; its hash is %s)\n", key, hash)
	}
	return err
}

// workspaceKeyRemove takes a key away.
type workspaceKeyRemove struct {
	changeFlags
	Name string `arg:""`
	Hash string `arg:"" help:"Hash of the key, as show gives it."`
}

// Run implements the subcommand.
func (c *workspaceKeyRemove) Run(g *globals) error {
	var hash vetchtrail.KeyHash
	if err := hash.UnmarshalText([]byte(c.Hash)); err != nil {
		return exitError{exitInvalid, err}
	}
	return g.changeWorkspace(&c.changeFlags, c.Name, false, func(w *vetchtrail.Workspace) error {
		at := slices.Index(w.Keys, hash)
		if at < 0 {
			return errors.Errorf("workspace %s has no such key", c.Name)
		}
		w.Keys = slices.Delete(slices.Clone(w.Keys), at, at+1)
		return nil
	})
}

// workspaceRemove removes a workspace.
type workspaceRemove struct {
	changeFlags
	Name string `arg:""`
}

// Run implements the subcommand.
func (c *workspaceRemove) Run(g *globals) error {
	return g.remove(&c.changeFlags, vetchtrail.ItemWorkspace, c.Name)
}
