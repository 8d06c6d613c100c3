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

// PollCoordinator decides whether and how often a host polls the platform. Calls to the
// platform are rate-limited and billed, so few hosts poll it and the others fetch the listing
// from them.
type PollCoordinator interface {
	// ShouldPoll returns whether this host polls the platform's listing now.
	ShouldPoll() bool
	// PollInterval returns the interval between two polls.
	PollInterval() time.Duration
	// WatchTimeout returns how long a poll waits for a change.
	WatchTimeout() time.Duration
	// RoleCheckInterval returns the interval between two calls of ShouldPoll on a host that is
	// not to poll.
	RoleCheckInterval() time.Duration
	// ShouldWatchConfiguration returns whether this host watches the configuration,
	// independently of polling the listing.
	ShouldWatchConfiguration() bool
	// CallStarted is called when a call to the platform begins, and CallEnded when it has
	// ended; ok reports whether the call succeeded. Other hosts poll in place of a host
	// that the platform rejects.
	CallStarted(now time.Time)
	CallEnded(ok bool)
	// Listing returns the newest listing that the host holds, read by itself or fetched from
	// a peer; nil: none.
	Listing() *Listing
}

// Sink receives the data of a Feed. Its methods don't block.
type Sink interface {
	// OfferConfiguration offers a configuration. A configuration that is older than the
	// current one is ignored. If the configuration is not valid, OfferConfiguration returns
	// an error and the current one stays in force.
	OfferConfiguration(s Snapshot) error
	// ReplaceListing replaces the listing.
	ReplaceListing(l Listing)
}

// Listing is a snapshot of the platform's service discovery data.
type Listing struct {
	Revision          uint64    // platform revision of the newest change that the listing contains
	ConfirmedRevision uint64    // platform revision up to which there was no further change
	ReadAt            time.Time // when the platform was read
	// PolledAt is when the platform was last polled for the listing, if that is later than ReadAt: a
	// host reads many changes in parts, and the listing is as old as ReadAt until the last one.
	PolledAt time.Time
	// Endpoints are sorted by name. Listings share the endpoints that did not change between
	// them, so an endpoint must not be modified once a listing contains it.
	Endpoints []*Endpoint
	Hosts     []Host // registered hosts, including some that have ended lately
	// Quarantined are the persisted quarantine entries, with times of the boot clock
	// (process/clock).
	Quarantined []QuarantineEntry
}

// LastPoll returns when the platform was last polled for the listing.
func (l *Listing) LastPoll() time.Time { return Later(l.ReadAt, l.PolledAt) }

// Endpoint returns the endpoint with a name; nil: it is not listed.
func (l *Listing) Endpoint(name string) *Endpoint {
	i, ok := slices.BinarySearchFunc(l.Endpoints, name, func(e *Endpoint, name string) int { return strings.Compare(e.Name, name) })
	if !ok {
		return nil
	}
	return l.Endpoints[i]
}

// SortEndpoints sorts endpoints by name, as a Listing needs them.
func SortEndpoints(endpoints []*Endpoint) {
	slices.SortFunc(endpoints, func(a, b *Endpoint) int { return strings.Compare(a.Name, b.Name) })
}

// HostRegistry keeps a host registered in the platform's list of hosts until ctx ends. While
// the host is not registered, Register waits for due to return true; then it writes the
// host's entry and renews it.
type HostRegistry interface {
	Register(ctx context.Context, h Host, due func() bool)
}
