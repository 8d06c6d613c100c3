package dispatch

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
)

// quarantined returns the quarantine entry of a request, if it has one. It is
// called on every path to an endpoint: on arrival, before each attempt, at the
// head of the queue, on the host that a request is forwarded to, and just before
// the first byte is sent. The attempt limit alone doesn't stop a poison request,
// because its caller can send it again as a new request, to any host.
func (d *Dispatcher) quarantined(r *vetchtrail.Request) (vetchtrail.QuarantineEntry, bool) {
	if d.cfg.Quarantine == nil {
		return vetchtrail.QuarantineEntry{}, false
	}
	return d.cfg.Quarantine.Quarantined(r)
}

// quarantineRefusal returns the outcome of a quarantined request. It has no retry
// time, as a retry would be refused too.
func (d *Dispatcher) quarantineRefusal(entry vetchtrail.QuarantineEntry) vetchtrail.Outcome {
	o := d.refusal(vetchtrail.StepQuarantine, vetchtrail.ReasonQuarantined, time.Time{})
	o.Err = errors.Errorf("%d endpoints ended while they ran this request (%s): it is not run again for now", entry.Crashes, entry.ContentHash)
	if entry.Part {
		o.Err = errors.Errorf("%d endpoints ended while they ran requests with a part of this prompt (%s): no request with it is run for now", entry.Crashes, entry.ContentHash)
	}
	return o
}

// reportAttempt reports to the quarantine how an attempt at an endpoint ended, and
// records the attempt if its response was lost. An attempt whose caller disconnected
// shows nothing about the endpoint and is not reported as lost, unless the endpoint was silent then. A failure shows nothing about the request:
// the endpoint may have failed before it began to write.
func (d *Dispatcher) reportAttempt(ctx context.Context, e vetchtrail.Endpoint, r *vetchtrail.Request, o vetchtrail.Outcome, timing vetchtrail.Timing, attempt int) {
	lost := o.Kind == vetchtrail.OutcomeUnknown && (ctx.Err() == nil || o.EndpointSilent)
	if lost {
		d.recordLostAttempt(e, r, o, timing.Sent, attempt)
	}
	switch {
	case d.cfg.Quarantine == nil:
	case lost || o.Kind == vetchtrail.OutcomeAnswered && o.EndUnmarked:
		d.cfg.Quarantine.ResponseLost(e, r, o, timing)
	case o.Kind == vetchtrail.OutcomeAnswered && o.Status >= statusOK && o.Status < statusRedirect:
		d.cfg.Quarantine.Answered(r, timing)
	}
}

// recordLostAttempt records in the journal an attempt that may have run but whose
// response was lost. These records show which requests an endpoint was running when
// it crashed, and whether their callers retried them.
func (d *Dispatcher) recordLostAttempt(e vetchtrail.Endpoint, r *vetchtrail.Request, o vetchtrail.Outcome, sent time.Time, attempt int) {
	d.cfg.Journal.Record(vetchtrail.JournalRecord{
		At: sent, Request: r.ID, Service: r.Service, Route: r.Route, Workspace: r.Workspace, PromptTokens: r.PromptTokens(),
		Hops: r.Hops, Attempt: attempt, Lost: true, Outcome: o, Took: time.Since(sent), ContentHash: r.ContentHash(),
		SoftwareVersion: e.SoftwareVersion, LastEventID: r.LastEventID, Resumes: r.Resumes, SharedParts: r.SharedParts(),
	})
}
