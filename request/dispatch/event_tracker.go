package dispatch

import (
	"vetchtrail"
	"vetchtrail/connection/endpoint"
)

// eventTracker writes a resumable stream to its caller and stores the ID of the
// last event in the request, so that another attempt continues after that event, at the
// software version that wrote the first one.
// The caller receives one status and header, from the first attempt that responds.
type eventTracker struct {
	next    vetchtrail.ResponseWriter
	req     *vetchtrail.Request
	origins vetchtrail.StreamOrigins // nil: not stored
}

// Begin implements vetchtrail.ResponseWriter.
func (t *eventTracker) Begin(status int, header []vetchtrail.HeaderField) error {
	if t.req.ResponseStarted {
		return nil
	}
	t.req.ResponseStarted = true
	return t.next.Begin(status, header)
}

// Write implements vetchtrail.ResponseWriter. Each part is a whole event.
func (t *eventTracker) Write(part []byte) error {
	if err := t.next.Write(part); err != nil {
		return err
	}
	if id, ok := endpoint.EventID(part); ok {
		if t.req.LastEventID == "" {
			t.began()
		}
		t.req.LastEventID = id
	}
	return nil
}

// EndpointSilent implements vetchtrail.SilenceObserver.
func (t *eventTracker) EndpointSilent(s vetchtrail.Silence) { vetchtrail.ReportSilence(t.next, s) }

// RequestSent implements vetchtrail.SendObserver.
func (t *eventTracker) RequestSent(forwarded bool) { vetchtrail.ReportSent(t.next, forwarded) }

// began stores the software version that began the stream. The host that received the request from
// its caller also stores it for the hosts at which the caller may resume the stream.
func (t *eventTracker) began() {
	t.req.StreamVersion = t.req.ResponseVersion
	if t.origins != nil && t.req.Hops == 0 {
		t.origins.Began(t.req.Service, t.req.ID, t.req.StreamVersion)
	}
}

// beginObserver calls begun when the response begins.
type beginObserver struct {
	vetchtrail.ResponseWriter
	begun func()
}

// EndpointSilent implements vetchtrail.SilenceObserver.
func (b *beginObserver) EndpointSilent(s vetchtrail.Silence) {
	vetchtrail.ReportSilence(b.ResponseWriter, s)
}

// RequestSent implements vetchtrail.SendObserver.
func (b *beginObserver) RequestSent(forwarded bool) {
	vetchtrail.ReportSent(b.ResponseWriter, forwarded)
}

// Begin implements vetchtrail.ResponseWriter.
func (b *beginObserver) Begin(status int, header []vetchtrail.HeaderField) error {
	b.begun()
	return b.ResponseWriter.Begin(status, header)
}
