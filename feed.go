package vetchtrail

import (
	"context"
	"slices"
	"strings"
	"time"
)

// Snapshot is the whole configuration at a revision, as the edits that create it from an
// empty one.
type Snapshot struct {
	Revision uint64
	Edits    []Edit
}

// Feed passes the platform's data to a Sink: the configuration, the endpoints and the hosts.
// Run returns when ctx ends. It keeps running during outages of the platform.
type Feed interface {
	Run(ctx context.Context, s Sink)
}

// Following decides which part a host takes in polling the platform. Calls to the platform
// are rate-limited and billed, so few hosts poll it and the others fetch the listing from
// them.
type Following interface {
	// Reads returns whether this host polls the platform's listing now.
	Reads() bool
	// Pace returns the interval between two polls.
	Pace() time.Duration
	// WatchesConfiguration returns whether this host watches the configuration, independently
	// of polling the listing.
	WatchesConfiguration() bool
	// Asking is called when a call to the platform begins, and Answered when it has ended; ok
	// reports whether the platform answered. Other hosts poll in place of a host that the
	// platform rejects.
	Asking(now time.Time)
	Answered(ok bool)
	// Listing returns the newest listing that the host holds, read by itself or fetched from
	// a peer; nil: none.
	Listing() *Listing
}

// Sink receives the data of a Feed. Its methods don't block.
type Sink interface {
	// Configured offers a configuration. A configuration that is older than the current one
	// is ignored. If the configuration is not valid, Configured returns an error and the
	// current one stays in force.
	Configured(s Snapshot) error
	// Listed replaces the listing.
	Listed(l Listing)
}

// Listing is a snapshot of the platform's service discovery data.
type Listing struct {
	Revision uint64    // platform revision of the newest change that the listing contains
	Seen     uint64    // platform revision up to which there was no further change
	At       time.Time // when the platform was read
	// Endpoints are sorted by name. Listings share the endpoints that did not change between
	// them, so an endpoint must not be modified once a listing contains it.
	Endpoints []*Endpoint
	Hosts     []Host // registered hosts, including some that have ended lately
	// Holds are the persisted quarantine entries, with times of the boot-time clock
	// (process/clock).
	Holds []Hold
}

// Endpoint returns the endpoint with a name; nil: it is not listed.
func (l *Listing) Endpoint(name string) *Endpoint {
	at, ok := slices.BinarySearchFunc(l.Endpoints, name, func(e *Endpoint, name string) int { return strings.Compare(e.Name, name) })
	if !ok {
		return nil
	}
	return l.Endpoints[at]
}

// SortEndpoints sorts endpoints by name, as a Listing needs them.
func SortEndpoints(endpoints []*Endpoint) {
	slices.SortFunc(endpoints, func(a, b *Endpoint) int { return strings.Compare(a.Name, b.Name) })
}

// Registry keeps a host registered in the platform's list of hosts until ctx ends. While the
// host is not registered, Register waits for due to return true; then it writes the host's
// entry and renews it.
type Registry interface {
	Register(ctx context.Context, h Host, due func() bool)
}
