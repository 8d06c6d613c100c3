package vetchtrail

import (
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Notice is what an endpoint said in the head of an answer of whether it wants requests. It was
// true at some moment from Asked to Heard: when the endpoint wrote it is not known.
type Notice struct {
	Leaving bool      // it ends soon, and wants nothing new from anybody
	Until   time.Time // it wants nothing from this host until then; zero: it named no time
	Asked   time.Time // when the request was sent whose answer said so
	Heard   time.Time // when the head of the answer was read
}

// NoticeReading is what an answer says of whether its endpoint wants requests.
type NoticeReading struct {
	Leaving bool
	Pause   time.Duration // for which it wants nothing from this host; 0: it named none
	Err     error         // what stood there can't be read, and says nothing
}

// Errors of fields in which an endpoint says whether it wants requests.
var (
	ErrLeaving = errors.New("says neither 1, that the endpoint leaves, nor 0")
	ErrPause   = errors.New("no time: a number of seconds, 0 or more")
)

const (
	// longestNotice is the longest text of a notice that is read, in bytes: one has some ten.
	longestNotice = 64
	// longestPause bounds the time for which an endpoint can send a host away: one that names more, as
	// by a wrong unit, is asked again after it.
	longestPause = time.Hour
)

// ReadNotice reads the fields of an answer in which its endpoint says whether it wants requests. The time
// is read of an answer that turns its request away only.
func ReadNotice(leaving, pause string, away bool) NoticeReading {
	var out NoticeReading
	var errPause error
	out.Leaving, out.Err = ReadLeaving(leaving)
	if away {
		out.Pause, errPause = ReadPause(pause)
	}
	out.Err = errors.Join(out.Err, errPause)
	return out
}

// ReadLeaving reads whether an endpoint says that it leaves: 1; empty or 0: it doesn't say so. Where the
// field stands there twice, with commas between, one that says so is enough.
func ReadLeaving(text string) (leaving bool, err error) {
	if text == "" {
		return false, nil
	}
	if len(text) > longestNotice {
		return false, errors.Wrapf(ErrLeaving, "%d bytes", len(text))
	}
	for part := range strings.SplitSeq(text, ",") {
		switch strings.TrimSpace(part) {
		case "1":
			leaving = true
		case "0":
		default:
			return false, errors.Wrapf(ErrLeaving, "%q", text)
		}
	}
	return leaving, nil
}

// ReadPause reads the seconds, fractions too, for which an endpoint that turned a request away wants
// nothing from the host; empty: it names none. Of several numbers, separated by commas as where the field
// stands there twice, the longest holds. A date is not read: the clocks of endpoints and hosts differ.
func ReadPause(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	if len(text) > longestNotice {
		return 0, errors.Wrapf(ErrPause, "%d bytes", len(text))
	}
	longest := 0.0
	for part := range strings.SplitSeq(text, ",") {
		n, err := strconv.ParseFloat(strings.TrimSpace(part), 64)
		if err != nil || !(n >= 0) || n > maxSeconds {
			return 0, errors.Wrapf(ErrPause, "%q", text)
		}
		longest = max(longest, n)
	}
	return time.Duration(min(longest, longestPause.Seconds()) * float64(time.Second)), nil
}

// maxSeconds is the largest number of seconds that is read as one: a century. Infinite is none.
const maxSeconds = 100 * 365 * 24 * 3600
