package main

import (
	"os"

	"vetchtrail/process/settings"
)

// settingsCommand prints the effective settings. It prints the paths of key files,
// never their contents.
type settingsCommand struct {
	File string `arg:"" optional:"" type:"existingfile" help:"Settings file; if omitted, the defaults are printed."`
}

// Run prints the settings of the file, or the defaults, as YAML.
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
