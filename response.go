package vetchtrail

import (
	"context"
	"time"
)

// ResponseWriter writes a response to the caller: Begin its status and header, Write a part of
// its body. Each attempt calls Begin once, before any Write. An error from either method means
// that the caller has disconnected.
type ResponseWriter interface {
	Begin(status int, header []HeaderField) error
	Write(part []byte) error
}

// SilenceObserver is implemented by a ResponseWriter that is told while the endpoint of its attempt
// is silent. The attempt goes on meanwhile.
type SilenceObserver interface {
	// EndpointSilent is called several times a second, between two calls of Begin or Write.
	EndpointSilent(s Silence)
}

// ReportSilence tells a writer that the endpoint of its attempt is silent, if it wants to know.
func ReportSilence(w ResponseWriter, s Silence) {
	if o, ok := w.(SilenceObserver); ok {
		o.EndpointSilent(s)
	}
}

// SendObserver is implemented by a ResponseWriter that is told when its attempt is sent.
type SendObserver interface {
	// RequestSent is called before the first byte is sent to an endpoint, by this host or, with some delay, by the
	// host that the request was forwarded to. Before the latter it is called with forwarded, after the request was sent
	// to that host.
	RequestSent(forwarded bool)
}

// ReportSent tells a writer that its attempt is sent, if it wants to know.
func ReportSent(w ResponseWriter, forwarded bool) {
	if o, ok := w.(SendObserver); ok {
		o.RequestSent(forwarded)
	}
}

// Silence is what a host knows about an endpoint that is silent.
type Silence struct {
	// Connected reports that the host opened a connection to the endpoint since it is silent.
	Connected bool
	// Standstill reports that the host reads streams of several endpoints of the service, and all of
	// these are silent.
	Standstill bool
	Endpoint   string
}

// EndpointCaller sends a request to an endpoint and writes the endpoint's response to w.
type EndpointCaller interface {
	Call(ctx context.Context, e Endpoint, r *Request, w ResponseWriter) (Outcome, Timing)
}

// Forwarder sends a request to another host and writes that host's response to w. The
// target is a host of a remote data centre, or the host that issued the request's
// idempotency key.
type Forwarder interface {
	Forward(ctx context.Context, h Host, r *Request, w ResponseWriter) Outcome
}

// Observer receives what responses show about an endpoint while requests run there.
type Observer interface {
	// ResponseStarted reports that the first byte of a response body arrived.
	ResponseStarted(e Endpoint, r *Request, now time.Time)
	// EventReceived reports the time between two events of a stream.
	EventReceived(e Endpoint, interval time.Duration, now time.Time)
	// Silent returns whether an endpoint runs streams of this host but has sent nothing on
	// any of them for too long, and what is known about that.
	Silent(e Endpoint, now time.Time) (Silence, bool)
	// LoadReported reports the load that an endpoint stated in a response.
	LoadReported(e Endpoint, l LoadReport)
	// SlowdownReported reports that a load report in a response contained a slowdown. If err
	// is not nil, it can't be parsed and is ignored.
	SlowdownReported(e Endpoint, err error)
	// RateLimitReported reports the rate limit that a response advertises. If err is not
	// nil, the response contained a value that can't be parsed.
	RateLimitReported(e Endpoint, l RateLimit, err error)
	// AvailabilityReported reports the availability that a response announces. If err is
	// not nil, the response contained a value that can't be parsed.
	AvailabilityReported(e Endpoint, a Availability, err error)
	// StreamPaused reports that a stream is not read, because its caller reads too slowly, and
	// StreamResumed that it is read again. Only hosts that bound what they buffer report this.
	StreamPaused(e Endpoint, r *Request)
	StreamResumed(e Endpoint, r *Request, now time.Time)
	// UnknownField reports a header field of a response that the dialect doesn't know.
	UnknownField(e Endpoint, field string)
}

// Timing is when the stages of a request at an endpoint took place.
type Timing struct {
	Sent      time.Time // when the first byte of the request was written
	FirstByte time.Time // when the first byte of the response body arrived
	Done      time.Time // when the response was complete
}
