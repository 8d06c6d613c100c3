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

// workspaceCommand groups the subcommands for workspaces.
type workspaceCommand struct {
	Put    workspacePut    `cmd:"" help:"Add a workspace, or replace its home, regions, priority and quota; its keys stay."`
	Show   workspaceShow   `cmd:"" help:"Show a workspace; its keys are shown as hashes."`
	Key    workspaceKey    `cmd:"" help:"Keys that authenticate the callers of a workspace."`
	Remove workspaceRemove `cmd:"" help:"Remove a workspace and its keys."`
}

// workspacePut adds a workspace, or replaces all of it but its keys.
type workspacePut struct {
	changeFlags
	Name     string   `arg:""`
	Home     string   `help:"Home region of the workspace; if not given, the region in which a request enters."`
	Allowed  []string `help:"Regions that may process its requests; if none are given, those of the service."`
	Priority int8     `default:"0" help:"Priority of its requests; higher goes first."`
	Rate     float64  `help:"Quota: units a second for all hosts together; 0: no limit."`
	Burst    float64  `help:"Quota: units available at once in addition to the rate."`
	Unit     string   `enum:"requests,tokens" default:"requests" help:"What the quota counts: requests or tokens."`
	Plain    float64  `help:"Tokens that a request without a token count costs."`
	Open     bool     `help:"Stop requiring a key from callers, if the workspace has no keys left."`
}

// Run proposes the workspace with its current keys.
func (c *workspacePut) Run(g *globals) error {
	return g.updateWorkspace(&c.changeFlags, c.Name, true, func(w *vetchtrail.Workspace) error {
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

// updateWorkspace reads a workspace, applies edit to it and proposes the result. With
// allowNew, a workspace that doesn't exist is added. The proposal for an existing
// workspace is refused if the configuration changes after it was read. Otherwise a key
// that another operator adds meanwhile would be lost.
func (g *globals) updateWorkspace(f *changeFlags, name string, allowNew bool, edit func(*vetchtrail.Workspace) error) error {
	ctx, client, cleanup, err := g.dial()
	if err != nil {
		return err
	}
	defer cleanup()
	current, err := client.Rules(ctx)
	if err != nil {
		return err
	}
	w, exists := current.Workspace(name)
	if !exists && !allowNew {
		return exitError{exitInvalid, errors.Errorf("there is no workspace %s: add it with `vetchtrail workspace put %s`", name, name)}
	}
	w.Name = name
	if err := edit(&w); err != nil {
		return exitError{exitInvalid, err}
	}
	if f.ExpectRevision == 0 && exists {
		f.ExpectRevision = current.Revision()
	}
	return g.proposeOn(ctx, client, f, []vetchtrail.Edit{vetchtrail.PutWorkspace{Workspace: w}})
}

// workspaceShow shows a workspace.
type workspaceShow struct {
	Name string `arg:""`
}

// Run prints the workspace.
func (c *workspaceShow) Run(g *globals) error {
	current, err := g.rules()
	if err != nil {
		return err
	}
	w, exists := current.Workspace(c.Name)
	if !exists {
		return exitError{exitInvalid, errors.Errorf("there is no workspace %s", c.Name)}
	}
	return g.print(document.FromWorkspace(w), func(out *tabwriter.Writer) { printWorkspace(out, w) })
}

// printWorkspace prints one line for each property of a workspace.
func printWorkspace(out *tabwriter.Writer, w vetchtrail.Workspace) {
	line := func(name, text string) { _, _ = fmt.Fprintf(out, "%s\t%s\n", name, text) }
	line("workspace", w.Name)
	line("home", w.Home)
	line("allowed", strings.Join(w.Allowed, ", "))
	line("priority", fmt.Sprint(w.Priority))
	if w.Quota.IsLimited() {
		line("quota", fmt.Sprintf("%g %s a second, %g at once", w.Quota.Rate, w.Quota.Unit, w.Quota.Burst))
	} else {
		line("quota", "none")
	}
	line("needs a key", fmt.Sprint(w.Locked))
	for _, k := range w.Keys {
		line("key hash", k.String())
	}
}

// workspaceKey groups the subcommands for the keys of a workspace.
type workspaceKey struct {
	Add    workspaceKeyAdd    `cmd:"" help:"Add a key: the one on standard input, or with --new a generated one, which is printed once."`
	Remove workspaceKeyRemove `cmd:"" help:"Remove a key, by its hash."`
}

// workspaceKeyAdd adds a key to a workspace.
type workspaceKeyAdd struct {
	changeFlags
	Name string `arg:""`
	New  bool   `help:"Generate a key and print it."`
}

// Run adds the hash of the key to the workspace, whose callers need a key from then on.
// The key itself is stored nowhere: a generated one is printed on standard error.
func (c *workspaceKeyAdd) Run(g *globals) error {
	key := rand.Text()
	if !c.New {
		in := bufio.NewScanner(os.Stdin)
		in.Scan()
		key = strings.TrimSpace(in.Text())
	}
	if err := vetchtrail.CheckKey(key); err != nil {
		return exitError{exitInvalid, errors.Wrap(err, "the first line on standard input is not a valid key")}
	}
	hash := vetchtrail.HashKey(key)
	err := g.updateWorkspace(&c.changeFlags, c.Name, false, func(w *vetchtrail.Workspace) error {
		if slices.Contains(w.Keys, hash) {
			return errors.Errorf("workspace %s has this key already", c.Name)
		}
		w.Keys, w.Locked = append(slices.Clone(w.Keys), hash), true
		return nil
	})
	if err == nil && c.New && !c.DryRun {
		_, err = fmt.Fprintf(os.Stderr, "key %s (not stored; its hash is %s)\n", key, hash)
	}
	return err
}

// workspaceKeyRemove removes a key from a workspace.
type workspaceKeyRemove struct {
	changeFlags
	Name string `arg:""`
	Hash string `arg:"" help:"Hash of the key, as workspace show prints it."`
}

// Run removes the hash of the key from the workspace. Callers still need a key after the
// last one is removed.
func (c *workspaceKeyRemove) Run(g *globals) error {
	var hash vetchtrail.KeyHash
	if err := hash.UnmarshalText([]byte(c.Hash)); err != nil {
		return exitError{exitInvalid, err}
	}
	return g.updateWorkspace(&c.changeFlags, c.Name, false, func(w *vetchtrail.Workspace) error {
		i := slices.Index(w.Keys, hash)
		if i < 0 {
			return errors.Errorf("workspace %s has no key with this hash", c.Name)
		}
		w.Keys = slices.Delete(slices.Clone(w.Keys), i, i+1)
		return nil
	})
}

// workspaceRemove removes a workspace.
type workspaceRemove struct {
	changeFlags
	Name string `arg:""`
}

// Run proposes to remove the workspace.
func (c *workspaceRemove) Run(g *globals) error {
	return g.remove(&c.changeFlags, vetchtrail.ItemWorkspace, c.Name)
}
