package vetchtrail

import "time"

// Observation is what one attempt showed about the endpoint that it ran on.
type Observation struct {
	Request string // id
	// StartedAt is the start time of the process instance that the attempt was sent to; zero:
	// not known.
	StartedAt    time.Time
	Outcome      Outcome
	Timing       Timing
	Route        string
	PromptTokens int
	// PredictedFirstByte is the time to the first byte of the response that the decision
	// expected; 0: there was no prediction.
	PredictedFirstByte time.Duration
	Cancelled          bool // it ended for its caller or for this host's memory, so the attempt shows nothing about the endpoint
}

// EndpointTable is the state of the endpoints that a host may call.
type EndpointTable interface {
	// Fill appends the endpoints of a request's service to a view.
	Fill(v *View, r *Request, now time.Time)
	// Acquire counts a request as in flight at an endpoint. It returns false if none may be sent
	// there now.
	Acquire(name string, r *Request, now time.Time) bool
	// Release frees the capacity, and updates the endpoint's statistics and state by what the
	// attempt showed.
	Release(name string, o Observation, now time.Time)
	// Find returns a listed endpoint by its name, whether or not it can be used now.
	Find(name string) (Endpoint, bool)
	// Blocked returns the reason why no new request may be sent to an endpoint (it is leaving,
	// paused or no longer listed), and until when if that is known. The reason is empty if a
	// request may be sent.
	Blocked(name string, now time.Time) (reason Reason, until time.Time)
	// CapacityFreed returns a channel that is closed when an endpoint of a service may have
	// capacity again.
	CapacityFreed(service string) <-chan struct{}
}

// HostTable is the state of the other hosts.
type HostTable interface {
	// Self returns this host.
	Self() Host
	// Find returns a host by its name.
	Find(name string, now time.Time) (Host, bool)
	// AppendRemotes appends the remote data centres that run a service to a view, and those with
	// peers that call the same endpoints if the view has endpoints that only peers reach. regionID
	// returns the id of a region.
	AppendRemotes(v *View, service string, regionID func(region string) (RegionID, bool), now time.Time)
	// Pick chooses another host of a data centre and counts a request in flight there.
	Pick(dataCentre, service string, now time.Time) (Host, bool)
	// ForwardEnded counts the end of a forwarded request, and updates the state of the data
	// centre and its host by the outcome.
	ForwardEnded(dataCentre, service string, o Outcome, now time.Time)
}
