package endpoint

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

// endOfStream is the data of a model stream's last event.
var endOfStream = []byte("data: [DONE]")

// positionMark parts the fields of an event's id as callers see it.
const positionMark = "~"

// FormatPosition returns the event id that callers see: endpoint, stream and
// number, so that any host knows where to resume.
func FormatPosition(p vetchtrail.StreamPosition) string {
	return p.Endpoint + positionMark + p.Stream + positionMark + strconv.Itoa(p.Offset)
}

// ParsePosition reads an event id of FormatPosition.
func ParsePosition(s string) (vetchtrail.StreamPosition, error) {
	parts := strings.Split(s, positionMark)
	if len(parts) != 3 || parts[0] == "" || parts[1] == "" {
		return vetchtrail.StreamPosition{}, errors.Errorf("endpoint.ParsePosition: %q is not the id of an event", s)
	}
	n, err := strconv.Atoi(parts[2])
	if err != nil || n < 0 {
		return vetchtrail.StreamPosition{}, errors.Errorf("endpoint.ParsePosition: %q has no event number", s)
	}
	return vetchtrail.StreamPosition{Endpoint: parts[0], Stream: parts[1], Offset: n}, nil
}

// passEvents hands on whole events with their ids made global. A stream that
// ends without its last event is broken.
func (t *attempt) passEvents() error {
	if t.req.Route != "" {
		return t.passRouted()
	}
	in := bufio.NewReaderSize(t.body, readBuffer)
	stream := t.streamName()
	done := false
	var last time.Time
	for {
		_ = t.conn.SetDeadline(time.Now().Add(stallTime))
		event, err := readEvent(in)
		if isEnd(err) && len(event) == 0 {
			break
		}
		if err != nil {
			return err
		}
		done = done || bytes.HasPrefix(event, endOfStream) || bytes.Contains(event, append([]byte("\n"), endOfStream...))
		if err := t.part(t.globalID(event, stream)); err != nil {
			return err
		}
		last = t.paced(last)
	}
	if !done {
		return errors.New("the stream ended without its last event")
	}
	return nil
}

// passRouted hands on the whole events of a route's stream as they are. The
// framing tells its end. Events that the caller has already, as its stream went
// on from another endpoint, are passed over.
func (t *attempt) passRouted() error {
	in := bufio.NewReaderSize(t.body, readBuffer)
	had, resumed := eventNumber(t.req.LastEvent)
	var last time.Time
	for {
		event, err := readEvent(in)
		if isEnd(err) && len(event) == 0 {
			return t.begin()
		}
		if err != nil {
			return err
		}
		if resumed && alreadyHad(event, had) {
			continue
		}
		if err := t.part(event); err != nil {
			return err
		}
		last = t.paced(last)
	}
}

// paced counts an event and tells the time since the one before.
func (t *attempt) paced(last time.Time) time.Time {
	now := time.Now()
	t.passed++
	if !last.IsZero() && t.of.cfg.Observer != nil {
		t.of.cfg.Observer.Paced(t.to, now.Sub(last), now)
	}
	return now
}

// alreadyHad says whether an event's number is not above the last one had.
func alreadyHad(event []byte, had uint64) bool {
	id, ok := EventID(event)
	if !ok {
		return false
	}
	n, ok := eventNumber(id)
	return ok && n <= had
}

// EventID returns the id of an event.
func EventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		name, value, ok := bytes.Cut(line, []byte(":"))
		if ok && string(name) == "id" {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}

func eventNumber(id string) (uint64, bool) {
	n, err := strconv.ParseUint(id, 10, 64)
	return n, err == nil
}

// streamName is the endpoint's name for the stream: the request's id, which it
// was given, or that of the request that began it.
func (t *attempt) streamName() string {
	if t.req.Resume.Stream != "" {
		return t.req.Resume.Stream
	}
	return t.req.ID
}

// globalID puts the endpoint and stream before the number in an event's id.
func (t *attempt) globalID(event []byte, stream string) []byte {
	prefix := []byte("id: ")
	if !bytes.HasPrefix(event, prefix) {
		return event
	}
	out := make([]byte, 0, len(event)+len(t.to.Name)+len(stream)+2)
	out = append(out, prefix...)
	out = append(out, t.to.Name+positionMark+stream+positionMark...)
	return append(out, event[len(prefix):]...)
}

// readEvent reads lines up to and with the empty one that ends an event.
func readEvent(in *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := in.ReadSlice('\n')
		event = append(event, line...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return event, endOf(err, event)
		}
		if len(event) > maxEvent {
			return nil, errors.Errorf("an event is over %d bytes", maxEvent)
		}
		if err == nil && len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, nil
		}
	}
}

// endOf makes an end within an event an error.
func endOf(err error, event []byte) error {
	if isEnd(err) && len(event) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// isEnd tells the end of an answer from an end of the connection within it,
// which the library wraps.
func isEnd(err error) bool { return err == io.EOF } //nolint:errorlint // a wrapped EOF is a cut
