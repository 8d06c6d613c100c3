package endpoint

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"vetchtrail"
	"vetchtrail/connection/buffer"
	"vetchtrail/connection/response"
)

// deliver writes the response to the caller, or stores it as a deferred failure.
func (t *attempt) deliver(ctx context.Context) error {
	switch {
	case t.req.ResponseStarted && (t.resp.StatusCode() != fasthttp.StatusOK || !t.isEventStream()):
		return errors.Errorf("status %d instead of the rest of the stream", t.resp.StatusCode())
	case t.defersFailure():
		return t.deferFailure(ctx)
	case t.isEventStream():
		return t.deliverEvents(ctx)
	case t.body.Size() >= 0 && t.body.Size() <= maxBufferedResponse, t.req.Route != "":
		return t.deliverWhole(ctx)
	case !t.body.Framed():
		return errors.New("response has neither a length nor chunks: its end can't be distinguished from a broken connection")
	}
	return t.deliverChunks()
}

// defersFailure reports whether the response is a failure that is not written to the caller
// yet, as another attempt may succeed. This applies only to routed requests that may run
// twice.
func (t *attempt) defersFailure() bool {
	return t.req.Route != "" && t.req.Repeatable && t.resp.StatusCode() >= minFailureStatus
}

// deferFailure buffers the response as the attempt's deferred failure.
func (t *attempt) deferFailure(ctx context.Context) error {
	wholeBody, err := t.wholeBody(ctx)
	if err != nil {
		return err
	}
	t.deferredFailure = &vetchtrail.BufferedResponse{Status: t.resp.StatusCode(), Header: t.responseHeader(), Body: wholeBody}
	return nil
}

// isEventStream reports whether the response is a stream of events.
func (t *attempt) isEventStream() bool {
	return (t.req.Kind == vetchtrail.ServiceModel || t.req.Stream) &&
		strings.HasPrefix(string(t.resp.Header.ContentType()), "text/event-stream")
}

// wholeBody reads the whole body, up to maxBufferedResponse.
func (t *attempt) wholeBody(ctx context.Context) ([]byte, error) {
	if t.body.Size() > maxBufferedResponse {
		return nil, errors.Errorf("response has %d bytes, over %d", t.body.Size(), maxBufferedResponse)
	}
	t.conn.limitReceived(maxFramedBytes)
	size := 0
	return buffer.ReadAll(t.body, t.body.KnownSize(), maxBufferedResponse, func(n int) error {
		size += n
		if t.account == nil || size <= t.uncountedBody {
			return nil
		}
		return t.reserve(ctx, n, t.req.Deadline)
	})
}

// reserve counts n more bytes of the response, and waits for room for them until a deadline.
func (t *attempt) reserve(ctx context.Context, n int, deadline time.Time) error {
	ctx, cancel := context.WithDeadlineCause(ctx, deadline, buffer.ErrFull)
	defer cancel()
	return t.account.Reserve(ctx, n)
}

// deliverWhole delivers a response after reading it completely. It rejects a response to an
// unrouted request to a model that is not JSON.
func (t *attempt) deliverWhole(ctx context.Context) error {
	wholeBody, err := t.wholeBody(ctx)
	if err != nil {
		return err
	}
	if t.req.Route == "" && t.req.Kind == vetchtrail.ServiceModel && t.resp.StatusCode() == fasthttp.StatusOK && !json.Valid(wholeBody) {
		return errors.New("response is not JSON")
	}
	return t.writeChunk(wholeBody)
}

// nextPartBy returns when the next part of the response to an unrouted request must have
// arrived. That is never before the deadline, as no other attempt can replace a response that
// has begun.
func (t *attempt) nextPartBy(now time.Time) time.Time {
	return vetchtrail.Later(now.Add(stallTimeout), t.req.Deadline)
}

// deliverChunks delivers a response as it arrives.
func (t *attempt) deliverChunks() error {
	t.conn.limitReceived(0)
	chunk := make([]byte, readBufferBytes)
	for {
		_ = t.conn.SetDeadline(t.nextPartBy(time.Now()))
		n, err := t.body.Read(chunk)
		if n > 0 {
			if err := t.writeChunk(chunk[:n]); err != nil {
				return err
			}
		}
		if response.IsEnd(err) {
			return t.begin()
		}
		if err != nil {
			return err
		}
	}
}

// writeChunk writes a chunk of the body to the caller, and the head before the first chunk.
// If the endpoint's response breaks before its first chunk, the caller's response has not
// begun, and the request can still be retried or refused.
func (t *attempt) writeChunk(chunk []byte) error {
	if err := t.begin(); err != nil {
		return err
	}
	if len(chunk) == 0 {
		return nil
	}
	t.pause.beforeWrite()
	defer t.pause.afterWrite()
	return t.writer.Write(chunk)
}

// begin writes the head of the response to the caller, once.
func (t *attempt) begin() error {
	if t.begun {
		return nil
	}
	t.begun = true
	t.timing.FirstByte = time.Now()
	if t.client.cfg.Observer != nil {
		t.client.cfg.Observer.ResponseStarted(t.endpoint, t.req, t.timing.FirstByte)
	}
	return t.writer.Begin(t.resp.StatusCode(), t.responseHeader())
}
