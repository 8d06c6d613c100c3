package main

import (
	"os"
	"path/filepath"

	"github.com/go-faster/errors"

	"vetchtrail/standin/deployment"
)

// examplesCommand writes the configuration and the settings files of the example
// deployments. The repository contains its output under examples/.
type examplesCommand struct {
	Directory string `arg:"" default:"examples" help:"Directory to write to."`
}

// Subnets of the example deployments. The subnet is the third byte of a deployment's
// loopback addresses; it must differ between the deployments on one machine.
const (
	wycenaSubnet    = 1
	cadastralSubnet = 2
)

// Run writes one directory for each example deployment.
func (c *examplesCommand) Run() error {
	for name, spec := range map[string]deployment.Spec{
		"wycena":    deployment.Wycena(wycenaSubnet),
		"cadastral": deployment.Cadastral(cadastralSubnet),
	} {
		if err := writeExample(filepath.Join(c.Directory, name), deployment.Build(spec)); err != nil {
			return err
		}
	}
	return nil
}

// writeExample writes a deployment's configuration document and one settings file for
// each host to dir.
func writeExample(dir string, d deployment.Deployment) error {
	if err := os.MkdirAll(filepath.Join(dir, "settings"), 0o755); err != nil {
		return errors.Wrap(err, "standin examples")
	}
	text, err := d.Document.YAML()
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "configuration.yaml"), text, 0o644); err != nil {
		return errors.Wrap(err, "standin examples")
	}
	for _, s := range d.Hosts {
		text, err := s.YAML()
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, "settings", s.Host+".yaml"), text, 0o644); err != nil {
			return errors.Wrap(err, "standin examples")
		}
	}
	return nil
}
