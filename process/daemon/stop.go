package daemon

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
)

// Leave makes the host announce that it is leaving, finish the requests in flight and stop. It
// returns at once and may be called more than once.
func (d *Daemon) Leave() { d.leaveOnce.Do(func() { close(d.leaveRequested) }) }

// waitUntilStopped returns when a stop requested by Leave is complete, when ctx has ended or
// when serving callers has failed. serveErr receives the result of serving callers.
func (d *Daemon) waitUntilStopped(ctx context.Context, serveErr <-chan error) error {
	select {
	case err := <-serveErr:
		if err == nil {
			err = errors.New("closed")
		}
		return errors.Wrap(err, "daemon.Run: callers")
	case <-ctx.Done():
		d.callers.CloseConnections()
		d.shutdown(context.WithoutCancel(ctx))
		return nil
	case <-d.leaveRequested:
	}
	d.log.Info("leaving: refusing forwarded requests and finishing the requests in flight", "in_flight", d.dispatcher.InFlight())
	d.membership.SetState(vetchtrail.HostLeaving)
	timing := d.timing.Load()
	sleep(ctx, timing.Leave) // lets the new state reach the other hosts before the listener closes
	go d.shutdown(context.WithoutCancel(ctx))
	end := time.Now().Add(timing.Grace - timing.Leave - graceMargin)
	for d.dispatcher.InFlight() > 0 && ctx.Err() == nil && (timing.Grace == 0 || time.Now().Before(end)) {
		sleep(ctx, drainPollInterval)
	}
	sleep(ctx, drainPollInterval) // lets the last responses be sent completely
	if ctx.Err() != nil {
		d.callers.CloseConnections()
	}
	d.shutdown(context.WithoutCancel(ctx))
	return nil
}

// shutdown stops the caller server and waits up to shutdownTimeout for requests in flight.
func (d *Daemon) shutdown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	_ = d.callers.Shutdown(ctx)
}
