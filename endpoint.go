package vetchtrail

import (
	"net/netip"
	"time"
)

// Endpoint is a back end: a model engine or a process of a plain service.
type Endpoint struct {
	Name       string
	Service    string
	Region     string
	DataCentre string
	Addr       netip.AddrPort
	Slots      int  // number of requests that it runs at once
	Draining   bool // operators or the platform are taking it out of use
	Fenced     bool // it checks fencing tokens; nothing in this module depends on it

	// Instance is the id of the endpoint's process instance. Requests name it, and the
	// endpoint refuses those that name another; empty: it doesn't check.
	Instance string
	// Born is the start time of the process instance; zero: not known. A new instance under the
	// same name has an empty cache and none of the previous one's requests.
	Born time.Time
	// SoftwareVersion is the version of the process instance's software, with no order; empty: not
	// known. Streams and cached prompts of two versions don't fit together.
	SoftwareVersion string
	// ColdUntil is the end of the cold start. Until then the endpoint accepts no more than
	// ColdRate requests per second from all hosts together.
	ColdUntil time.Time
	ColdRate  float64
	// MoveToken is the duration in seconds of a KV cache transfer from another endpoint, per
	// prompt token; 0: the endpoint can't transfer.
	MoveToken float64
}

// LoadReport is what an endpoint last reported about itself.
type LoadReport struct {
	// TakenAt is when the endpoint took the numbers, or when they were received if it doesn't
	// say.
	TakenAt time.Time
	Running int  // requests that it runs
	Queued  int  // requests in its queue
	Leaving bool // it will stop soon
	Slots   int  // number of requests that it runs at once; 0: not reported
	// Slowdown is how long its work takes at present as a multiple of the usual time; 1: as
	// usual, 0: not reported.
	Slowdown float64
	// StartedAt is the start time of the process instance by the clock of the host that
	// fetched the report; zero: not reported.
	StartedAt time.Time
}
