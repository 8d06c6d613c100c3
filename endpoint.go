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
}

// LoadReport is what an endpoint last said of itself.
type LoadReport struct {
	At      time.Time // when the report was fetched
	Running int       // requests it runs
	Queued  int       // requests it holds back
	Leaving bool
}
