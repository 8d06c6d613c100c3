package main

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"vetchtrail"
	"vetchtrail/platform"
	"vetchtrail/process/clock"
	"vetchtrail/process/daemon"
	"vetchtrail/process/logs"
	"vetchtrail/process/membership"
	"vetchtrail/process/settings"
)

// serveCommand runs the daemon. SIGTERM and SIGINT make it leave: it announces
// that, finishes the requests it has, and stops. A second one stops it at once.
type serveCommand struct {
	File string `arg:"" type:"existingfile" help:"Settings file (YAML)."`
}

// Run implements the subcommand.
func (c *serveCommand) Run() error {
	s, err := settings.Load(c.File)
	if err != nil {
		return err
	}
	out := logs.New(os.Stdout)
	defer func() { _ = out.Close() }()
	var level slog.LevelVar
	log := logger(s.Log, &level, out)
	limitMemory(s.Limits.Memory)
	d, err := daemon.New(daemon.Config{Settings: s, Log: log, Hosted: hosted(&s, log)})
	if err != nil {
		return err
	}
	log.Info("started", "host", s.Host, "region", s.Region, "data_centre", s.DataCentre, "platform", s.Platform.Kind)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := &reloader{file: c.File, daemon: d, level: &level, log: log}
	go r.run(ctx)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		d.Leave()
		<-signals
		cancel()
	}()
	return d.Run(ctx)
}

// memoryShare is the share of the host's memory at which the collector works
// harder; the rest is for what it doesn't count.
const memoryShare = 0.6

// collectAt is how much garbage is let grow beside what is kept, in hundredths of that: a host of a large fleet has
// little memory, and makes little garbage a second.
const collectAt = 50

func limitMemory(mb int) {
	if mb > 0 {
		debug.SetGCPercent(collectAt)
		debug.SetMemoryLimit(int64(memoryShare * float64(mb) * (1 << 20)))
	}
}

// hosted returns the connection to a hosted platform; nil: the settings name
// none.
func hosted(s *settings.Settings, log *slog.Logger) *daemon.Hosted {
	if s.Platform.Kind != settings.PlatformHosted {
		return nil
	}
	log = log.With("host", s.Host)
	return &daemon.Hosted{
		Feed: func(f vetchtrail.Following) vetchtrail.Feed {
			return platform.NewFeed(platform.FeedConfig{
				Store: s.Platform.Store, Places: s.Platform.DataCentres, Log: log, Following: f, Clock: clock.Boot,
				Weights: platform.Weights{Model: vetchtrail.Weights(s.Platform.Weights.Model), Plain: vetchtrail.Weights(s.Platform.Weights.Plain)},
			})
		},
		Registry: platform.NewRegistry(s.Platform.Store, log),
		Holds:    platform.NewHolds(s.Platform.Store, log),
		Dialect:  platform.Dialect{},
		Directory: func(m *membership.Membership, homes func(string) ([]string, bool)) daemon.Directory {
			return platform.NewDirectory(m, homes, log)
		},
	}
}

func logger(l settings.Log, level *slog.LevelVar, out io.Writer) *slog.Logger {
	setLevel(l, level)
	options := &slog.HandlerOptions{Level: level}
	if l.Format == "json" {
		return slog.New(slog.NewJSONHandler(out, options))
	}
	return slog.New(slog.NewTextHandler(out, options))
}

func setLevel(l settings.Log, level *slog.LevelVar) {
	if err := level.UnmarshalText([]byte(l.Level)); err != nil {
		level.Set(slog.LevelInfo) // as the settings' check lets no other text through
	}
}
