package daemon

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
)

// Leave makes the host announce that it leaves, finish what it has and stop.
func (d *Daemon) Leave() { d.leaving.Do(func() { close(d.leave) }) }

// until returns when the host has left, ctx has ended, or serving failed.
func (d *Daemon) until(ctx context.Context, served <-chan error) error {
	select {
	case err := <-served:
		if err == nil {
			err = errors.New("closed")
		}
		return errors.Wrap(err, "daemon.Run: callers")
	case <-ctx.Done():
		d.callers.Cut()
		d.shutdown(context.WithoutCancel(ctx))
		return nil
	case <-d.leave:
	}
	d.log.Info("leaving: taking no new work", "in_flight", d.dispatcher.InFlight())
	d.membership.SetState(vetchtrail.HostLeaving)
	timing := d.timing.Load()
	wait(ctx, timing.Leave) // others hear of it before the door closes
	go d.shutdown(context.WithoutCancel(ctx))
	end := time.Now().Add(timing.Grace - timing.Leave - graceMargin)
	for d.dispatcher.InFlight() > 0 && ctx.Err() == nil && (timing.Grace == 0 || time.Now().Before(end)) {
		wait(ctx, drainLook)
	}
	wait(ctx, drainLook) // the last answers' last bytes
	if ctx.Err() != nil {
		d.callers.Cut()
	}
	d.shutdown(context.WithoutCancel(ctx))
	return nil
}

func (d *Daemon) shutdown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, shutdownTime)
	defer cancel()
	_ = d.callers.Shutdown(ctx)
}
