package main

import (
	"fmt"
	"text/tabwriter"

	"vetchtrail/process/settings"
)

// settingsCommand groups the subcommands for the settings files of daemons.
type settingsCommand struct {
	Check settingsCheck `cmd:"" help:"Check a settings file."`
}

// settingsCheck validates a settings file without a daemon.
type settingsCheck struct {
	File string `arg:"" type:"existingfile"`
}

// Run reads the file and prints the host that it describes, or with --output=json all
// settings.
func (c *settingsCheck) Run(g *globals) error {
	s, err := settings.Load(c.File)
	if err != nil {
		return exitError{exitInvalid, err}
	}
	return g.print(s, func(w *tabwriter.Writer) {
		_, _ = fmt.Fprintf(w, "%s is valid: host %s in %s, region %s\n", c.File, s.Host, s.DataCentre, s.Region)
	})
}
