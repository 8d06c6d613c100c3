package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"vetchtrail/process/daemon"
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
	d, err := daemon.New(daemon.Config{Settings: s, Log: logger(s.Log)})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
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

func logger(l settings.Log) *slog.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(l.Level)); err != nil {
		level = slog.LevelInfo
	}
	options := &slog.HandlerOptions{Level: level}
	if l.Format == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, options))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, options))
}
