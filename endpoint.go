package vetchtrail

import (
	"net/netip"
	"time"
)

// Endpoint is a back end: a model engine or a plain service's process.
type Endpoint struct {
	Name       string
	Service    string
	Region     string
	DataCentre string
	Addr       netip.AddrPort
	Slots      int  // requests it runs at once
	Draining   bool // operators take it out of use
	Fenced     bool // it checks the fencing token of orders

	// Instance is the id of the endpoint's process, which it checks when it is
	// named in a request; empty: it does not.
	Instance string
	// Born is when the life of its process began: an endpoint may start again under its name,
	// and then holds and knows nothing. Zero: not told.
	Born time.Time
	// ColdUntil is until when the endpoint is cold after its start and bears no
	// more than ColdRate requests a second.
	ColdUntil time.Time
	ColdRate  float64
	// MoveToken is the seconds that taking over one token of a kept prompt from
	// another endpoint takes; 0: the endpoint can't.
	MoveToken float64
}

// LoadReport is what an endpoint last said of itself.
type LoadReport struct {
	At      time.Time // when the report was fetched
	Running int       // requests it runs
	Queued  int       // requests it holds back
	Leaving bool
	Slots   int // as the endpoint tells them; 0: it doesn't
	// Started is when the endpoint's process started, by the clock of the host that fetched the report;
	// zero: not told.
	Started time.Time
}
