package vetchtrail

import "time"

// Fields reads a message's header fields by name; empty: there is none.
type Fields func(name string) string

// Dialect is how the callers and endpoints of a deployment write in header
// fields what the system has to know of requests and answers. It only
// translates; what follows is decided elsewhere.
type Dialect interface {
	// Parse reads what a caller says of its request: its id, the time it has,
	// the parts of its prompt, the event it has seen last.
	Parse(get Fields, r *Request, now time.Time) error
	// Key reads the key by which a caller shows its workspace, checked by CheckKey.
	Key(get Fields) (string, error)
	// Own says whether a field is for the system to set: what a caller writes
	// there is not passed on.
	Own(name string) bool
	// Tell sets the fields that tell an endpoint of a request.
	Tell(set func(name, value string), e Endpoint, r *Request, now time.Time)
	// Read says what an answer of an endpoint is.
	Read(status int, get Fields, r *Request) Reading
	// Knows says whether a field of an answer is read, or known to say nothing of the endpoint.
	Knows(name string) bool
	// Sign sets the fields of an answer that is the system's own.
	Sign(set func(name, value string), r *Request)
}

// Reading is what the head of an endpoint's answer says.
type Reading struct {
	Kind ReadingKind
	Load LoadReport // At is left zero
	Told bool       // Load was told
	// Cold is how much longer the endpoint is cold, as it tells; negative: it
	// does not tell.
	Cold time.Duration
	Rate RateReading // what it says of the requests that the endpoint takes
	// Notice is what it says of whether the endpoint wants requests at all.
	Notice NoticeReading
}

// ReadingKind says what an answer is worth.
type ReadingKind uint8

// Kinds of reading.
const (
	ReadingGenuine  ReadingKind = iota // the endpoint's answer to the request
	ReadingRefused                     // the endpoint has not run it and will not
	ReadingMisled                      // another process has the endpoint's address; not run
	ReadingForeign                     // belongs to another request on the connection
	ReadingDoubtful                    // can't be shown to be the endpoint's
)
