package vetchtrail

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// RateLimit is what an endpoint advertised about its rate limit, which holds for the requests
// of all hosts together. The endpoint wrote it at an unknown time between RequestedAt and
// ReceivedAt.
type RateLimit struct {
	Advertised  bool      // it advertised a rate limit; false: it has none
	Rate        float64   // in requests per second
	RequestedAt time.Time // when the request with this response was sent
	ReceivedAt  time.Time // when the response head was received; zero: there was no response yet
}

// Update returns the rate limit that counts after a further response. A response that was
// certainly written earlier than l changes nothing, and one that was certainly written later
// replaces l. If the order is not certain, the stricter one counts: a response that was long
// in transit must not lift a limit that the endpoint has advertised since.
func (l RateLimit) Update(next RateLimit) RateLimit {
	switch {
	case l.ReceivedAt.IsZero():
		return next
	case next.ReceivedAt.Before(l.RequestedAt):
		return l
	case next.RequestedAt.After(l.ReceivedAt), next.allowedRate() <= l.allowedRate():
		return next
	}
	return l
}

// allowedRate returns the requests per second that l allows; infinity without a limit.
func (l RateLimit) allowedRate() float64 {
	if !l.Advertised {
		return math.Inf(1)
	}
	return l.Rate
}

// ParsedRateLimit is the parsed rate limit from one response head.
type ParsedRateLimit struct {
	// Valid is set if the field was read without an error. Advertised false then means that the
	// endpoint has no rate limit.
	Valid      bool
	Advertised bool    // the response advertises a rate limit
	Rate       float64 // in requests per second
	Err        error   // the error of a field that can't be parsed and was ignored; nil: none
}

// ErrInvalidRateLimit is the error of a rate limit that can't be parsed.
var ErrInvalidRateLimit = errors.New("rate limit is not a number of requests per second, 0 or more")

const (
	// maxRateFieldBytes bounds the length of a field that is parsed. A number has about ten
	// bytes.
	maxRateFieldBytes = 64
	// unlimitedRate is the rate, in requests per second, from which on a limit is treated as
	// none. All hosts of the largest deployment together send a fortieth of it.
	unlimitedRate = 1e6
)

// ParseRateLimit parses the field by which an endpoint advertises a rate limit; empty: it has
// none. A field that occurs more than once arrives as a comma-separated list; the lowest rate
// counts.
func ParseRateLimit(text string) ParsedRateLimit {
	if text == "" {
		return ParsedRateLimit{Valid: true}
	}
	if len(text) > maxRateFieldBytes {
		return ParsedRateLimit{Err: errors.Wrapf(ErrInvalidRateLimit, "%d bytes", len(text))}
	}
	out := ParsedRateLimit{Valid: true, Rate: math.Inf(1)}
	for part := range strings.SplitSeq(text, ",") {
		rate, err := strconv.ParseFloat(strings.TrimSpace(part), 64)
		if err != nil || !(rate >= 0) || math.IsInf(rate, 0) {
			return ParsedRateLimit{Err: errors.Wrapf(ErrInvalidRateLimit, "%q", text)}
		}
		out.Rate = min(out.Rate, rate)
	}
	if out.Rate >= unlimitedRate {
		return ParsedRateLimit{Valid: true}
	}
	out.Advertised = true
	return out
}
