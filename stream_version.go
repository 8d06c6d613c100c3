package vetchtrail

import (
	"context"
	"time"
)

// StreamVersion is the software version of the endpoint that wrote events of a stream.
type StreamVersion struct {
	Known   bool
	Version string // empty: the endpoint states none
}

// VersionOf returns the version of the streams of an endpoint.
func VersionOf(e Endpoint) StreamVersion {
	return StreamVersion{Known: true, Version: e.SoftwareVersion}
}

// StreamOrigins remembers at which software version each stream began, beyond the loss of the host
// that passed it on: a caller mostly resumes a stream because that host is gone.
type StreamOrigins interface {
	// Began records the version of the endpoint that wrote the first event of a stream of a service.
	// attempt is the id of the caller's attempt that brought that event. It doesn't block.
	Began(service, attempt string, v StreamVersion)
	// Find returns the version that began a stream, from this host or from others.
	Find(ctx context.Context, service, attempt string) StreamVersion
	// Only returns the version that began each stream of a service that can be resumed, if this host
	// has listed no other for as long as a stream lasts.
	Only(service string) StreamVersion
}

// AcceptsVersion reports whether an endpoint of a software version may run the request.
func (r *Request) AcceptsVersion(version string) bool {
	return !r.StreamVersion.Known || r.StreamVersion.Version == version
}

// ServiceVersions is which software versions of a service the listings of a region's hosts have shown.
type ServiceVersions struct {
	Service  string
	Versions []string  // of the newest listing, sorted
	Since    time.Time // since when all listings have shown these; zero: since the first one
}

// VersionStore persists the software versions of the services, for hosts that start after the loss of all others.
type VersionStore interface {
	// SaveVersions replaces what the hosts of a region have persisted.
	SaveVersions(ctx context.Context, region string, versions []ServiceVersions) error
	// LoadVersions returns what the hosts of all regions have persisted, by region.
	LoadVersions(ctx context.Context) (map[string][]ServiceVersions, error)
}
