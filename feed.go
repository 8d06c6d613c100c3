package vetchtrail

import (
	"context"
	"slices"
	"strings"
	"time"
)

// Snapshot is the whole configuration at a revision, as the edits that make it
// from nothing.
type Snapshot struct {
	Revision uint64
	Edits    []Edit
}

// Feed tells a host what its platform knows: the configuration, the endpoints
// and the other hosts. It runs until ctx ends and outlives any outage of the
// platform.
type Feed interface {
	Run(ctx context.Context, s Sink)
}

// Following says what part a host has in following its platform, whose calls are limited
// and priced.
type Following interface {
	// Reads says whether the platform's lists are to be read now, at the pace.
	Reads() bool
	Pace() time.Duration
	// WatchesConfiguration says whether configurations are to be waited for beside it.
	WatchesConfiguration() bool
	// Asking tells that a call of the platform begins, and Answered whether it was answered:
	// other hosts read the lists for one that the platform turns away.
	Asking(now time.Time)
	Answered(ok bool)
	// Listing returns the lists that the host holds, its own or a peer's; nil: none.
	Listing() *Listing
}

// Sink takes what a Feed tells. Its methods don't block.
type Sink interface {
	// Configured offers a configuration. One older than what is held is passed
	// over; one that is not valid is an error and leaves what is held in force.
	Configured(s Snapshot) error
	// Listed replaces what is known of the platform's lists.
	Listed(l Listing)
}

// Listing is the platform's lists.
type Listing struct {
	Revision uint64    // of the platform at the last change of the lists
	Seen     uint64    // of the platform up to which no other change was made
	At       time.Time // when the platform was asked
	// Endpoints are in the order of their names. Lists share those that did not change, so none is
	// written to once a listing holds it.
	Endpoints []*Endpoint
	Hosts     []Host // that have registered themselves, live or not long dead
	// Holds are the requests held back that the platform keeps, by the clock of suspensions.
	Holds []Hold
}

// Endpoint returns a listed endpoint; nil: it is not listed.
func (l *Listing) Endpoint(name string) *Endpoint {
	at, ok := slices.BinarySearchFunc(l.Endpoints, name, func(e *Endpoint, name string) int { return strings.Compare(e.Name, name) })
	if !ok {
		return nil
	}
	return l.Endpoints[at]
}

// SortEndpoints brings endpoints into the order that a Listing has.
func SortEndpoints(endpoints []*Endpoint) {
	slices.SortFunc(endpoints, func(a, b *Endpoint) int { return strings.Compare(a.Name, b.Name) })
}

// Registry keeps a host in the platform's list of hosts while ctx lasts, from when it is
// due.
type Registry interface {
	Register(ctx context.Context, h Host, due func() bool)
}
