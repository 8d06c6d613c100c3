package vetchtrail

import "time"

// Fields returns the value of a header field by its name; empty: the field is absent.
type Fields func(name string) string

// Dialect translates between the header fields of a deployment's callers and endpoints and
// the system's own types. It only translates: what follows from a value is decided
// elsewhere.
type Dialect interface {
	// Parse reads the header of a caller's request into r: its id, its deadline, the parts of
	// its prompt, and the id of the last event that the caller received.
	Parse(get Fields, r *Request, now time.Time) error
	// Key returns the caller's workspace key after CheckKey has accepted it.
	Key(get Fields) (string, error)
	// Own returns whether a request header field is reserved for the system. The values that
	// callers send in such fields are not forwarded.
	Own(name string) bool
	// Tell sets the header fields that describe a request to an endpoint.
	Tell(set func(name, value string), e Endpoint, r *Request, now time.Time)
	// Read interprets the head of an endpoint's response.
	Read(status int, get Fields, r *Request) Reading
	// Knows returns whether a response header field is known: either it is read, or it is
	// known to contain nothing about the endpoint.
	Knows(name string) bool
	// Sign sets the header fields of a response that the system creates itself.
	Sign(set func(name, value string), r *Request)
}

// Reading is what a response head states.
type Reading struct {
	Kind ReadingKind
	Load LoadReport // valid if Told; At is not set
	Told bool       // the response states the endpoint's load
	// Cold is the remaining time of the endpoint's cold start; negative: not stated.
	Cold   time.Duration
	Rate   RateReading   // the endpoint's rate limit
	Notice NoticeReading // the endpoint's availability
}

// ReadingKind classifies a response by whose it is and whether the request ran.
type ReadingKind uint8

// Kinds of responses.
const (
	ReadingGenuine  ReadingKind = iota // the endpoint's response to the request
	ReadingRefused                     // the endpoint has not run the request and won't
	ReadingMisled                      // another process has the endpoint's address; the request has not run
	ReadingForeign                     // it belongs to another request on the connection
	ReadingDoubtful                    // it can't be verified to be from the endpoint
)
