package main

import (
	"fmt"
	"text/tabwriter"

	"vetchtrail/process/settings"
)

// settingsCommand is about daemons' settings files.
type settingsCommand struct {
	Check settingsCheck `cmd:"" help:"Check a settings file."`
}

// settingsCheck checks a file.
type settingsCheck struct {
	File string `arg:"" type:"existingfile"`
}

// Run implements the subcommand.
func (c *settingsCheck) Run(g *globals) error {
	s, err := settings.Load(c.File)
	if err != nil {
		return exitError{exitInvalid, err}
	}
	return g.print(s, func(w *tabwriter.Writer) {
		_, _ = fmt.Fprintf(w, "%s is good: host %s in %s, region %s\n", c.File, s.Host, s.DataCentre, s.Region)
	})
}
