package vetchtrail

import "time"

// Service is what callers ask for: a model, or a plain HTTP service.
type Service struct {
	Name    string
	Kind    ServiceKind
	Allowed []string // regions that may process it; empty: only the caller's home
	Weights Weights
	// AnswerWithin bounds the time a request may take when its caller sets no
	// deadline. It is configuration, not a stored deadline.
	AnswerWithin time.Duration
	EventTokens  int // tokens that an event of an answer holds; 0: not known
	QueueLimit   int // requests one host lets wait for this service
}

// ServiceKind tells model engines from plain services.
type ServiceKind uint8

// Kinds of service.
const (
	KindModel ServiceKind = iota
	KindPlain
)

var serviceKindNames = [...]string{"model", "plain"}

// String returns the kind in lower case.
func (k ServiceKind) String() string { return nameOf(serviceKindNames[:], int(k)) }

// ParseServiceKind reads the name of a kind.
func ParseServiceKind(s string) (ServiceKind, bool) {
	for i, n := range serviceKindNames {
		if n == s {
			return ServiceKind(i), true
		}
	}
	return 0, false
}

// Weights say what the operators want of a service. Each is a factor on a
// term of a candidate's cost; zero ignores the term.
type Weights struct {
	Tail float64 // on the predicted seconds to the first token
	Away float64 // seconds added for leaving the caller's region
	Cost float64 // on the seconds of engine time used
	Read float64 // on the seconds of reading prompts that an endpoint doesn't hold
}
