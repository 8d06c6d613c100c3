package main

import (
	"context"
	"io"
	"log/slog"
	"os"
	"time"

	"vetchtrail"
	"vetchtrail/connection/descriptors"
	"vetchtrail/platform"
	"vetchtrail/process/clock"
	"vetchtrail/process/daemon"
	"vetchtrail/process/logs"
	"vetchtrail/process/membership"
	"vetchtrail/process/memory"
	"vetchtrail/process/settings"
)

// serveCommand runs the daemon. On the first SIGTERM or SIGINT the daemon leaves the
// system: it announces that it is leaving, finishes the requests in flight and stops.
// A SIGINT while it stops ends it at once and cuts the requests in flight; another
// SIGTERM changes nothing.
type serveCommand struct {
	File string `arg:"" type:"existingfile" help:"Settings file (YAML)."`
}

// failedStartLogTimeout bounds the writing of the log of a daemon that can't start.
const failedStartLogTimeout = time.Second

// Run loads the settings and runs the daemon until it stops.
func (c *serveCommand) Run(signals *processSignals) error {
	s, err := settings.Load(c.File)
	if err != nil {
		return err
	}
	logWriter := logs.New(os.Stdout)
	var level slog.LevelVar
	log := newLogger(s.Log, &level, logWriter)
	memory.LimitRuntime(s.Limits.Memory)
	d, err := daemon.New(daemon.Config{Settings: s, Log: log, Hosted: hostedPlatform(&s, log)})
	if err != nil {
		_ = logWriter.Close(time.Now().Add(failedStartLogTimeout))
		return err
	}
	defer func() { _ = logWriter.Close(d.LogDeadline(time.Now())) }() // an error can't be logged
	log.Info("started", "host", s.Host, "region", s.Region, "data_centre", s.DataCentre, "platform", s.Platform.Kind, "descriptors", descriptors.ProcessLimit())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := &reloader{file: c.File, hangup: signals.reload, daemon: d, level: &level, log: log}
	go r.run(ctx)
	go stopOnSignals(signals.stop, d.Leave, cancel, log)
	return d.Run(ctx)
}

// hostedPlatform returns the connections to a hosted platform (package platform), or nil
// if the settings select another kind of platform.
func hostedPlatform(s *settings.Settings, log *slog.Logger) *daemon.Hosted {
	if s.Platform.Kind != settings.PlatformHosted {
		return nil
	}
	log = log.With("host", s.Host)
	return &daemon.Hosted{
		Feed: func(coordinator vetchtrail.PollCoordinator) vetchtrail.Feed {
			return platform.NewFeed(platform.FeedConfig{
				Store: s.Platform.Store, DataCentreRegions: s.Platform.DataCentres, Log: log, PollCoordinator: coordinator, Clock: clock.Boot,
				Weights: platform.Weights{Model: vetchtrail.Weights(s.Platform.Weights.Model), Plain: vetchtrail.Weights(s.Platform.Weights.Plain)},
			})
		},
		Registry:   platform.NewRegistry(s.Platform.Store, log),
		Quarantine: platform.NewQuarantineStore(s.Platform.Store, log),
		Versions:   platform.NewVersionStore(s.Platform.Store),
		Dialect:    platform.Dialect{},
		Admission:  platform.CallsForAdmission(s.Platform.Contracts),
		Buffers:    platform.CallsForBufferLimits(s.Platform.Contracts),
		Directory: func(m *membership.Membership, bestRegions func(string) ([]string, bool)) daemon.Directory {
			return platform.NewDirectory(m, bestRegions, log)
		},
	}
}

// newLogger returns a logger that writes to out in the configured format. A later
// change of level applies to it at once.
func newLogger(l settings.Log, level *slog.LevelVar, out io.Writer) *slog.Logger {
	setLevel(l, level)
	options := &slog.HandlerOptions{Level: level}
	if l.Format == "json" {
		return slog.New(slog.NewJSONHandler(out, options))
	}
	return slog.New(slog.NewTextHandler(out, options))
}

// setLevel sets the configured log level. It sets the level info for an unknown value, as
// the check of the settings file accepts any level.
func setLevel(l settings.Log, level *slog.LevelVar) {
	if err := level.UnmarshalText([]byte(l.Level)); err != nil {
		level.Set(slog.LevelInfo)
	}
}
