package main

import (
	"os"

	"vetchtrail/process/settings"
)

// settingsCommand prints settings. Key files are named, never printed.
type settingsCommand struct {
	File string `arg:"" optional:"" type:"existingfile" help:"Settings file; without one, the defaults."`
}

// Run implements the subcommand.
func (c *settingsCommand) Run() error {
	s := settings.Default()
	if c.File != "" {
		var err error
		if s, err = settings.Load(c.File); err != nil {
			return err
		}
	}
	text, err := s.YAML()
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(text)
	return err
}
