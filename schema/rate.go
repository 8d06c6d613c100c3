package schema

import (
	"math"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
)

// maxRateAge limits the age of a rate limit that another host reports. No process
// of an endpoint runs for a year, so an older limit can't be in force.
const maxRateAge = 365 * 24 * time.Hour

// FromRateLimit returns the message for the rate limit that a process instance of
// an endpoint advertised in a response. The times of the request and of the
// response are sent as their ages at now.
func FromRateLimit(name string, startedAt time.Time, l vetchtrail.RateLimit, now time.Time) *EndpointRate {
	m := &EndpointRate{Endpoint: name, Named: l.Advertised, Rate: l.Rate, AskedAge: int64(now.Sub(l.RequestedAt)), HeardAge: int64(now.Sub(l.ReceivedAt))}
	if !startedAt.IsZero() {
		m.Born = startedAt.UnixNano()
	}
	return m
}

// ToRateLimit returns the rate limit of a message that arrived now, and the start
// time of the process instance that advertised it; zero: not known.
func ToRateLimit(m *EndpointRate, now time.Time) (l vetchtrail.RateLimit, startedAt time.Time, err error) {
	requestAge, responseAge := time.Duration(m.GetAskedAge()), time.Duration(m.GetHeardAge())
	if !(m.GetRate() >= 0) || math.IsInf(m.GetRate(), 0) || responseAge < 0 || requestAge < responseAge || requestAge > maxRateAge {
		return l, startedAt, errors.Errorf("schema.ToRateLimit: invalid rate %g, or invalid ages of request (%s) and response (%s)", m.GetRate(), requestAge, responseAge)
	}
	if m.GetBorn() != 0 {
		startedAt = time.Unix(0, m.GetBorn())
	}
	return vetchtrail.RateLimit{Advertised: m.GetNamed(), Rate: m.GetRate(), RequestedAt: now.Add(-requestAge), ReceivedAt: now.Add(-responseAge)}, startedAt, nil
}
