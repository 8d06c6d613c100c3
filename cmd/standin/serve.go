package main

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail/standin/engine"
	"vetchtrail/standin/kv"
	"vetchtrail/standin/link"
	"vetchtrail/standin/plain"
	"vetchtrail/standin/platform"
)

// server is any of the stand-ins.
type server interface {
	Serve(ctx context.Context, l net.Listener) error
}

// serve answers until told to stop.
func serve(ctx context.Context, addr netip.AddrPort, s server) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", addr.String())
	if err != nil {
		return errors.Wrap(err, "standin")
	}
	return s.Serve(ctx, l)
}

func untilStopped() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// engineCommand stands in for a model engine.
type engineCommand struct {
	Addr    netip.AddrPort `arg:"" help:"Address to listen on."`
	Slots   int            `default:"8" help:"Requests decoded at once."`
	Queue   int            `default:"8" help:"Requests held back beyond them."`
	Prefill time.Duration  `default:"200us" help:"For one uncached prompt token."`
	Step    time.Duration  `default:"10ms" help:"Between two tokens of one request."`
	Drag    float64        `default:"1" help:"Share by which a full batch lengthens a step."`
	Cache   int            `default:"8192" help:"Prompt tokens cached."`
	Lag     time.Duration  `default:"200ms" help:"Of load reports."`
	Deadly  string         `help:"Text of a prompt under which the engine ends."`
	After   time.Duration  `default:"50ms" help:"How long after it was begun."`
	Back    time.Duration  `default:"1s" help:"Until an engine that ended listens again."`
}

// Run implements the subcommand.
func (c *engineCommand) Run() error {
	ctx, stop := untilStopped()
	defer stop()
	return serve(ctx, c.Addr, engine.New(engine.Config{
		Slots: c.Slots, Queue: c.Queue, Prefill: c.Prefill, Step: c.Step, Drag: c.Drag, Cache: c.Cache, Lag: c.Lag,
		Mortality: engine.Mortality{Prompt: c.Deadly, After: c.After, Back: c.Back},
	}))
}

// plainCommand stands in for a plain service.
type plainCommand struct {
	Addr netip.AddrPort `arg:"" help:"Address to listen on."`
}

// Run implements the subcommand.
func (c *plainCommand) Run() error {
	ctx, stop := untilStopped()
	defer stop()
	return serve(ctx, c.Addr, plain.New())
}

// storeCommand stands in for the key-value service.
type storeCommand struct {
	Addr netip.AddrPort `arg:"" help:"Address to listen on."`
}

// Run implements the subcommand.
func (c *storeCommand) Run() error {
	ctx, stop := untilStopped()
	defer stop()
	return serve(ctx, c.Addr, kv.New())
}

// hostlistCommand stands in for the list of endpoints.
type hostlistCommand struct {
	Addr netip.AddrPort `arg:"" help:"Address to listen on."`
	Lag  time.Duration  `default:"2s" help:"Until a change shows."`
}

// Run implements the subcommand.
func (c *hostlistCommand) Run() error {
	ctx, stop := untilStopped()
	defer stop()
	return serve(ctx, c.Addr, platform.NewHostList(c.Lag))
}

// directoryCommand stands in for the directory.
type directoryCommand struct {
	Addr  netip.AddrPort   `arg:"" help:"Address to listen on."`
	Hosts []netip.AddrPort `arg:"" help:"Entry hosts to name."`
}

// Run implements the subcommand.
func (c *directoryCommand) Run() error {
	ctx, stop := untilStopped()
	defer stop()
	var text strings.Builder
	for _, h := range c.Hosts {
		text.WriteString(h.String() + "\n")
	}
	return serve(ctx, c.Addr, &platform.Directory{Text: text.String()})
}

// linkCommand stands in for the links.
type linkCommand struct {
	Addr netip.AddrPort `arg:"" help:"Address to be told at what to cut."`
	File string         `arg:"" type:"existingfile" help:"JSON list of the link's pipes."`
}

// Run implements the subcommand.
func (c *linkCommand) Run() error {
	ctx, stop := untilStopped()
	defer stop()
	text, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "standin link")
	}
	var pipes []link.Pipe
	if err := json.Unmarshal(text, &pipes); err != nil {
		return errors.Wrapf(err, "standin link: %s", c.File)
	}
	r := link.New(pipes)
	if err := r.Start(ctx); err != nil {
		return errors.Wrap(err, "standin link")
	}
	return serve(ctx, c.Addr, r)
}
