package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/go-faster/errors"

	"vetchtrail"
	"vetchtrail/connection/response"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// eventStep is how many bytes of a large event are counted at once. Most large events fit, so that
// few streams wait for more bytes while they hold some.
const eventStep = 64 << 10

// lastEventData is the line that marks the last event of a model's stream.
var lastEventData = []byte("data: [DONE]")

// positionSeparator separates the parts of an event id that callers receive.
const positionSeparator = "~"

// FormatPosition returns the event id that callers receive. It contains the endpoint, the
// stream and the event's number, so that any host can resume the stream.
func FormatPosition(p vetchtrail.StreamPosition) string {
	return p.Endpoint + positionSeparator + p.Stream + positionSeparator + strconv.Itoa(p.Offset)
}

// ParsePosition parses an event id made by FormatPosition.
func ParsePosition(s string) (vetchtrail.StreamPosition, error) {
	parts := strings.Split(s, positionSeparator)
	if len(parts) != 3 || parts[0] == "" || parts[1] == "" || !utf8.ValidString(s) {
		return vetchtrail.StreamPosition{}, errors.Errorf("endpoint.ParsePosition: %q is not the id of an event", s)
	}
	n, err := strconv.Atoi(parts[2])
	if err != nil || n < 0 {
		return vetchtrail.StreamPosition{}, errors.Errorf("endpoint.ParsePosition: %q has no event number", s)
	}
	return vetchtrail.StreamPosition{Endpoint: parts[0], Stream: parts[1], Offset: n}, nil
}

// deliverEvents delivers a stream event by event. For an unrouted request it qualifies the
// event ids, and returns an error if the stream ends without its last event.
func (t *attempt) deliverEvents(ctx context.Context) error {
	t.conn.limitReceived(0)
	if t.req.Route != "" {
		return t.deliverRoutedEvents(ctx)
	}
	reader := bufio.NewReaderSize(t.body, readBufferBytes)
	stream := t.streamID()
	complete := false
	var last time.Time
	for {
		_ = t.conn.SetDeadline(t.nextPartBy(time.Now()))
		event, err := t.readEvent(ctx, reader)
		if response.IsEnd(err) && len(event) == 0 {
			break
		}
		if err != nil {
			return err
		}
		complete = complete || bytes.HasPrefix(event, lastEventData) || bytes.Contains(event, append([]byte("\n"), lastEventData...))
		if err := t.writeChunk(t.qualifyID(event, stream)); err != nil {
			return err
		}
		last = t.recordEvent(last)
	}
	if !complete {
		return errors.New("stream ended without its last event")
	}
	return nil
}

// deliverRoutedEvents delivers the events of a routed stream unchanged. Only the framing
// marks the end of such a stream. If the stream resumes one of another endpoint, events
// that the caller has already received are skipped.
func (t *attempt) deliverRoutedEvents(ctx context.Context) error {
	reader := bufio.NewReaderSize(t.body, readBufferBytes)
	lastReceived, resumed := parseEventNumber(t.req.LastEventID)
	skipped := 0
	var last time.Time
	for {
		event, err := t.readEvent(ctx, reader)
		if response.IsEnd(err) && len(event) == 0 {
			return t.begin()
		}
		if err != nil {
			return err
		}
		if resumed && alreadyReceived(event, lastReceived) {
			if skipped += len(event); skipped > maxSkippedBytes {
				return errors.Errorf("stream repeats %d bytes of events", skipped)
			}
			continue
		}
		if err := t.writeChunk(event); err != nil {
			return err
		}
		last = t.recordEvent(last)
	}
}

// recordEvent counts a delivered event and reports the interval since the last one. It
// returns the time of the event.
func (t *attempt) recordEvent(last time.Time) time.Time {
	now := time.Now()
	t.eventsSent++
	t.silent = false
	if t.pause.ended() {
		return time.Time{} // the interval would be the caller's
	}
	if !last.IsZero() && t.client.cfg.Observer != nil {
		t.client.cfg.Observer.EventReceived(t.endpoint, now.Sub(last), now)
	}
	return now
}

// alreadyReceived reports whether an event's number is not above that of the last
// event that the caller received.
func alreadyReceived(event []byte, lastReceived uint64) bool {
	id, ok := EventID(event)
	if !ok {
		return false
	}
	n, ok := parseEventNumber(id)
	return ok && n <= lastReceived
}

// EventID returns the id of an event, and false if it has none.
func EventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		name, value, ok := bytes.Cut(line, []byte(":"))
		if ok && string(name) == "id" {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}

// parseEventNumber parses the event ids of routed streams, which are numbers.
func parseEventNumber(id string) (uint64, bool) {
	n, err := strconv.ParseUint(id, 10, 64)
	return n, err == nil
}

// streamID is the endpoint's id of the stream: the id of the request that opened it, which
// is this request unless it resumes a stream.
func (t *attempt) streamID() string {
	if t.req.ResumeAt.Stream != "" {
		return t.req.ResumeAt.Stream
	}
	return t.req.ID
}

// qualifyID puts the endpoint and the stream before the number in an event's id, as
// FormatPosition does. Events whose first line is no id stay unchanged.
func (t *attempt) qualifyID(event []byte, stream string) []byte {
	prefix := []byte("id: ")
	if !bytes.HasPrefix(event, prefix) {
		return event
	}
	out := make([]byte, 0, len(event)+len(t.endpoint.Name)+len(stream)+2)
	out = append(out, prefix...)
	out = append(out, t.endpoint.Name+positionSeparator+stream+positionSeparator...)
	return append(out, event[len(prefix):]...)
}

// readEvent reads the lines of an event, including the empty line that ends it. The bytes of an
// event that is larger than the read buffer are counted until the next event is read.
func (t *attempt) readEvent(ctx context.Context, reader *bufio.Reader) ([]byte, error) {
	t.releaseEvent()
	var event []byte
	for {
		line, err := reader.ReadSlice('\n')
		if err := t.countEvent(ctx, len(event)+len(line)); err != nil {
			return nil, err
		}
		event = append(event, line...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return event, unexpectedEnd(err, event)
		}
		if len(event) > maxEventBytes {
			return nil, errors.Errorf("event is over %d bytes", maxEventBytes)
		}
		if err == nil && len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, t.countEmpty(event)
		}
	}
}

// countEmpty counts the bytes of events in a row that have neither an id nor data, such as comments.
func (t *attempt) countEmpty(event []byte) error {
	if hasField(event, "id") || hasField(event, "data") {
		t.emptyEvents = 0
		return nil
	}
	if t.emptyEvents += len(event); t.emptyEvents > maxEventBytes {
		return errors.Errorf("stream has %d bytes without an event", t.emptyEvents)
	}
	return nil
}

// hasField reports whether an event has a line with a field.
func hasField(event []byte, field string) bool {
	for line := range bytes.Lines(event) {
		name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if string(name) == field {
			return true
		}
	}
	return false
}

// countEvent counts an event that has grown to n bytes, unless it is small.
func (t *attempt) countEvent(ctx context.Context, n int) error {
	if t.account == nil || n <= max(t.uncountedEvent, t.eventCounted) {
		return nil
	}
	deadline := t.req.Deadline
	if t.req.Route == "" {
		deadline = t.nextPartBy(time.Now())
	}
	if err := t.reserve(ctx, eventStep, deadline); err != nil {
		return err
	}
	t.eventCounted += eventStep
	return nil
}

// releaseEvent ends the counting of the last event.
func (t *attempt) releaseEvent() {
	if t.eventCounted > 0 {
		t.account.Release(t.eventCounted)
		t.eventCounted = 0
	}
}

// unexpectedEnd turns an end of the stream within an event into an error.
func unexpectedEnd(err error, event []byte) error {
	if response.IsEnd(err) && len(event) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}
