package vetchtrail

import "time"

// Observation is what one request showed of the endpoint that ran it.
type Observation struct {
	Request string // id
	// Born is the start of the endpoint's life that ran it; zero: not told.
	Born    time.Time
	Outcome Outcome
	Timing  Timing
	Route   string
	Tokens  int // of the prompt
	// Predicted is the time to the first of the answer that the decision was made by;
	// 0: none was.
	Predicted time.Duration
	Cancel    bool // the caller left: says nothing of the endpoint
}

// Endpoints is what a host believes of the endpoints that it may call.
type Endpoints interface {
	// Fill appends those of a request's service to a view.
	Fill(v *View, r *Request, now time.Time)
	// Acquire takes room for a request; false: there is none.
	Acquire(name string, r *Request, now time.Time) bool
	// Release gives the room back and learns from what the request showed.
	Release(name string, o Observation, now time.Time)
	// Known returns one that requests were placed on, whatever became of it.
	Known(name string) (Endpoint, bool)
	// Bars says why nothing new may leave for one, and until when if that is known; empty: it may.
	Bars(name string, now time.Time) (why Reason, until time.Time)
	// Freed returns a channel that is closed when a service may have room.
	Freed(service string) <-chan struct{}
}

// Hosts is what a host believes of the others.
type Hosts interface {
	Self() Host
	Find(name string, now time.Time) (Host, bool)
	// Fill appends the other data centres that serve a service to a view; place gives
	// the id of a region.
	Fill(v *View, service string, place func(region string) (RegionID, bool), now time.Time)
	// Pick returns a host of a data centre and counts a forward to it.
	Pick(dataCentre, service string, now time.Time) (Host, bool)
	// Returned counts the forward's end and learns from it.
	Returned(dataCentre, service string, o Outcome, now time.Time)
}
