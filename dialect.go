package vetchtrail

import "time"

// HeaderGetter returns the value of a header field by its name; empty: the field is absent.
type HeaderGetter func(name string) string

// Dialect translates between the header fields of a deployment's callers and endpoints and
// the system's own types. It only translates: what follows from a value is decided
// elsewhere.
type Dialect interface {
	// ParseRequest reads the header of a caller's request into r: its id, its deadline, the
	// parts of its prompt, and the id of the last event that the caller received.
	ParseRequest(get HeaderGetter, r *Request, now time.Time) error
	// ParseKey returns the caller's workspace key after CheckKey has accepted it.
	ParseKey(get HeaderGetter) (string, error)
	// IsReserved returns whether a request header field is reserved for the system. The
	// values that callers send in such fields are not forwarded.
	IsReserved(name string) bool
	// SetRequestHeader sets the header fields that describe a request to an endpoint.
	SetRequestHeader(set func(name, value string), e Endpoint, r *Request, now time.Time)
	// ParseResponse interprets the head of an endpoint's response.
	ParseResponse(status int, get HeaderGetter, r *Request) ResponseHead
	// IsKnown returns whether a response header field is known: either it is read, or it is
	// known to contain nothing about the endpoint.
	IsKnown(name string) bool
	// SetResponseHeader sets the header fields of a response that the system creates itself.
	SetResponseHeader(set func(name, value string), r *Request)
}

// ResponseHead is what a response head states.
type ResponseHead struct {
	Kind    ResponseKind
	Load    LoadReport // valid if HasLoad; TakenAt is not set
	HasLoad bool       // the response states the endpoint's load
	// SlowdownErr is set if the load report contains a slowdown that can't be parsed; the
	// rest of the report is valid.
	SlowdownErr error
	// ColdStart is the remaining time of the endpoint's cold start; negative: not stated.
	ColdStart    time.Duration
	Rate         ParsedRateLimit    // the endpoint's rate limit
	Availability ParsedAvailability // the endpoint's availability
}

// ResponseKind classifies a response by whose it is and whether the request ran.
type ResponseKind uint8

// Kinds of responses.
const (
	ResponseGenuine     ResponseKind = iota // the endpoint's response to the request
	ResponseRefused                         // the endpoint has not run the request and won't
	ResponseMisdirected                     // another process has the endpoint's address; the request has not run
	ResponseForeign                         // it belongs to another request on the connection
	ResponseUnverified                      // it can't be verified to be from the endpoint
)
