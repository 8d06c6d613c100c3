package vetchtrail

import (
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Availability is what an endpoint announced in a response head about whether it accepts
// requests. The endpoint wrote the head at an unknown time between RequestedAt and ReceivedAt.
type Availability struct {
	Leaving     bool      // it will stop soon and accepts no new requests from any host
	PausedUntil time.Time // it is paused until then, and accepts no requests from this host; zero: not paused
	// Brittle is how many requests a second the endpoints of the service can refuse for lack of room. One that has to
	// refuse more crashes. 0: not stated.
	Brittle     int
	RequestedAt time.Time // when the request with this response was sent
	ReceivedAt  time.Time // when the response head was received
}

// ParsedAvailability is the parsed availability from one response head.
type ParsedAvailability struct {
	Leaving bool
	Pause   time.Duration // for how long it accepts no requests from this host; 0: not paused
	Brittle int           // see Availability
	Err     error         // the error of a field that can't be parsed and was ignored; nil: none
}

// Errors of the header fields that announce availability.
var (
	ErrInvalidLeaving = errors.New("leaving field is neither 0 nor 1")
	ErrInvalidPause   = errors.New("pause is not a number of seconds, 0 or more")
	ErrInvalidBrittle = errors.New("number of refusals a second is not a whole number above 0")
)

const (
	// maxAvailabilityFieldBytes bounds the length of a field that is parsed. Usual values have
	// about ten bytes.
	maxAvailabilityFieldBytes = 64
	// maxPause bounds the pause that an endpoint can announce. After it, the host sends requests
	// again even if the endpoint announced a longer pause, for example in a wrong unit.
	maxPause = time.Hour
)

// ParseAvailability parses the values of the fields by which a response head announces that the
// endpoint is leaving or paused. The pause is parsed only if unavailable is set: the response
// has status 503 (service unavailable).
func ParseAvailability(leaving, pause string, unavailable bool) ParsedAvailability {
	var out ParsedAvailability
	var errPause error
	out.Leaving, out.Err = ParseLeaving(leaving)
	if unavailable {
		out.Pause, errPause = ParsePause(pause)
	}
	out.Err = errors.Join(out.Err, errPause)
	return out
}

// maxBrittle bounds the refusals a second that a field states.
const maxBrittle = 1 << 20

// ParseBrittle parses the field by which an endpoint states how many requests a second it can refuse for lack of
// room; empty means that it states nothing. Of a field that occurs more than once, the lowest number counts.
func ParseBrittle(text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	if len(text) > maxAvailabilityFieldBytes {
		return 0, errors.Wrapf(ErrInvalidBrittle, "%d bytes", len(text))
	}
	lowest := maxBrittle
	for part := range strings.SplitSeq(text, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || n <= 0 {
			return 0, errors.Wrapf(ErrInvalidBrittle, "%q", text)
		}
		lowest = min(lowest, n)
	}
	return lowest, nil
}

// ParseLeaving parses the field by which an endpoint announces that it is leaving: 1 if it is,
// 0 or empty if not. A field that occurs more than once arrives as a comma-separated list;
// one value of 1 is enough.
func ParseLeaving(text string) (leaving bool, err error) {
	if text == "" {
		return false, nil
	}
	if len(text) > maxAvailabilityFieldBytes {
		return false, errors.Wrapf(ErrInvalidLeaving, "%d bytes", len(text))
	}
	for part := range strings.SplitSeq(text, ",") {
		switch strings.TrimSpace(part) {
		case "1":
			leaving = true
		case "0":
		default:
			return false, errors.Wrapf(ErrInvalidLeaving, "%q", text)
		}
	}
	return leaving, nil
}

// ParsePause parses the seconds for which an endpoint that refused a request accepts no
// requests from this host. Fractions are allowed; empty means no pause. A field that occurs
// more than once arrives as a comma-separated list; the longest pause counts. A date is not
// accepted, as the clocks of endpoints and hosts differ.
func ParsePause(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	if len(text) > maxAvailabilityFieldBytes {
		return 0, errors.Wrapf(ErrInvalidPause, "%d bytes", len(text))
	}
	longest := 0.0
	for part := range strings.SplitSeq(text, ",") {
		seconds, err := strconv.ParseFloat(strings.TrimSpace(part), 64)
		if err != nil || !(seconds >= 0) || seconds > maxPlausibleSeconds {
			return 0, errors.Wrapf(ErrInvalidPause, "%q", text)
		}
		longest = max(longest, seconds)
	}
	return time.Duration(min(longest, maxPause.Seconds()) * float64(time.Second)), nil
}

// maxPlausibleSeconds is a century. A pause above it, also an infinite one, is an error; one
// between maxPause and it is shortened to maxPause.
const maxPlausibleSeconds = 100 * 365 * 24 * 3600
