package vetchtrail

import "time"

// Service is what callers send requests to: a model, or a plain HTTP service.
type Service struct {
	Name    string
	Kind    ServiceKind
	Allowed []string // regions that may process its requests; empty: only the caller's home
	Weights Weights
	// AnswerWithin is the time to the deadline of a request whose caller sets none, counted
	// from its arrival.
	AnswerWithin time.Duration
	EventTokens  int // number of tokens in one event of a response; 0: not known
	QueueLimit   int // maximum number of requests that wait for this service on one host
}

// ServiceKind distinguishes model engines from plain services.
type ServiceKind uint8

// Kinds of services.
const (
	ServiceModel ServiceKind = iota
	ServicePlain
)

var serviceKindNames = [...]string{"model", "plain"}

// String returns the kind in lower case.
func (k ServiceKind) String() string { return nameAt(serviceKindNames[:], int(k)) }

// ParseServiceKind parses the name of a kind.
func ParseServiceKind(s string) (ServiceKind, bool) {
	for i, n := range serviceKindNames {
		if n == s {
			return ServiceKind(i), true
		}
	}
	return 0, false
}

// Weights are the operators' priorities for a service. Each is a factor of one term of a
// candidate's cost; 0 ignores the term.
type Weights struct {
	Tail float64 // of the predicted seconds to the first token
	Away float64 // seconds added for leaving this host's region
	Cost float64 // of the seconds of engine time that the request uses
	Read float64 // of the seconds to process the prompt tokens that the endpoint has not cached
}
