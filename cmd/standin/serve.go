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

	hosted "vetchtrail/platform/standin"
	"vetchtrail/standin/engine"
	"vetchtrail/standin/kv"
	"vetchtrail/standin/link"
	"vetchtrail/standin/plain"
	"vetchtrail/standin/platform"
)

// standIn is a server that replaces an external system in tests.
type standIn interface {
	Serve(ctx context.Context, l net.Listener) error
}

// serve listens on addr and runs the stand-in until ctx ends.
func serve(ctx context.Context, addr netip.AddrPort, s standIn) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", addr.String())
	if err != nil {
		return errors.Wrap(err, "standin")
	}
	return s.Serve(ctx, l)
}

// signalContext returns a context that ends on SIGTERM or SIGINT.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// engineCommand runs a stand-in for a model engine.
type engineCommand struct {
	Addr    netip.AddrPort `arg:"" help:"Address to listen on."`
	Slots   int            `default:"8" help:"Number of requests decoded at once."`
	Queue   int            `default:"8" help:"Number of further requests that are queued."`
	Prefill time.Duration  `default:"200us" help:"Time to read one uncached prompt token."`
	Step    time.Duration  `default:"10ms" help:"Time between two tokens of one request."`
	Drag    float64        `default:"1" help:"Share by which a full batch lengthens a step."`
	Cache   int            `default:"8192" help:"Number of prompt tokens cached."`
	Lag     time.Duration  `default:"200ms" help:"Delay until a load report is served."`
	Deadly  string         `help:"Text in a prompt that makes the engine crash."`
	After   time.Duration  `default:"50ms" help:"Time from the start of such a request to the crash."`
	Back    time.Duration  `default:"1s" help:"Time until a crashed engine listens again."`
}

// Run serves the engine until a signal stops it.
func (c *engineCommand) Run() error {
	ctx, stop := signalContext()
	defer stop()
	return serve(ctx, c.Addr, engine.New(engine.Config{
		Slots: c.Slots, Queue: c.Queue, Prefill: c.Prefill, Step: c.Step, Drag: c.Drag, Cache: c.Cache, Lag: c.Lag,
		Crash: engine.CrashConfig{PoisonText: c.Deadly, CrashDelay: c.After, RestartDelay: c.Back},
	}))
}

// hostedEngineCommand runs a stand-in for a model engine of the hosted platform.
type hostedEngineCommand struct {
	Addr        netip.AddrPort `arg:"" help:"Address to listen on."`
	ID          string         `arg:"" help:"Id of the endpoint."`
	Slots       int            `default:"128" help:"Number of requests decoded at once."`
	Queue       int            `default:"384" help:"Number of further requests that are queued."`
	TokensPerMs float64        `default:"112" help:"Prompt tokens read in a millisecond."`
	First       time.Duration  `default:"47ms" help:"Time from the end of the prompt to the first event."`
	Interval    time.Duration  `default:"23ms" help:"Time between two events while one request runs."`
	Growth      float64        `default:"0.015" help:"Share by which each further running request lengthens that time."`
}

// Run serves the engine until a signal stops it.
func (c *hostedEngineCommand) Run() error {
	ctx, stop := signalContext()
	defer stop()
	return serve(ctx, c.Addr, hosted.NewEngine(hosted.EngineConfig{
		ID: c.ID, Slots: c.Slots, Queue: c.Queue, TokensPerMs: c.TokensPerMs, First: c.First, EventInterval: c.Interval, Growth: c.Growth,
	}))
}

// plainCommand runs a stand-in for a plain HTTP service, one that is not a model engine.
type plainCommand struct {
	Addr netip.AddrPort `arg:"" help:"Address to listen on."`
}

// Run serves the plain service until a signal stops it.
func (c *plainCommand) Run() error {
	ctx, stop := signalContext()
	defer stop()
	return serve(ctx, c.Addr, plain.New())
}

// storeCommand runs a stand-in for the platform's key-value store.
type storeCommand struct {
	Addr netip.AddrPort `arg:"" help:"Address to listen on."`
}

// Run serves the store until a signal stops it.
func (c *storeCommand) Run() error {
	ctx, stop := signalContext()
	defer stop()
	return serve(ctx, c.Addr, kv.New())
}

// hostlistCommand runs a stand-in for the platform's list of endpoints.
type hostlistCommand struct {
	Addr netip.AddrPort `arg:"" help:"Address to listen on."`
	Lag  time.Duration  `default:"2s" help:"Time until a change appears in the list."`
}

// Run serves the list until a signal stops it.
func (c *hostlistCommand) Run() error {
	ctx, stop := signalContext()
	defer stop()
	return serve(ctx, c.Addr, platform.NewEndpointList(c.Lag))
}

// directoryCommand runs a stand-in for the directory, from which callers read the
// addresses of the entry hosts.
type directoryCommand struct {
	Addr  netip.AddrPort   `arg:"" help:"Address to listen on."`
	Hosts []netip.AddrPort `arg:"" help:"Addresses of the entry hosts to list."`
}

// Run serves the list of hosts until a signal stops it.
func (c *directoryCommand) Run() error {
	ctx, stop := signalContext()
	defer stop()
	var text strings.Builder
	for _, h := range c.Hosts {
		text.WriteString(h.String() + "\n")
	}
	return serve(ctx, c.Addr, &platform.Directory{Text: text.String()})
}

// linkCommand runs a stand-in for the slow links between regions: TCP relays that delay
// the bytes they forward and can be cut.
type linkCommand struct {
	Addr netip.AddrPort `arg:"" help:"Address of the control API, which cuts and restores links."`
	File string         `arg:"" type:"existingfile" help:"JSON list of the relays: link name, listen address, target and delay."`
}

// Run starts the relays and serves their control API until a signal stops it.
func (c *linkCommand) Run() error {
	ctx, stop := signalContext()
	defer stop()
	text, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "standin link")
	}
	var pipes []link.Pipe
	if err := json.Unmarshal(text, &pipes); err != nil {
		return errors.Wrapf(err, "standin link: %s", c.File)
	}
	relay := link.New(pipes)
	if err := relay.Start(ctx); err != nil {
		return errors.Wrap(err, "standin link")
	}
	return serve(ctx, c.Addr, relay)
}
