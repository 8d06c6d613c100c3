// Package availability logs and counts the availability that endpoints announce: that they are leaving, or that
// they are paused and accept no requests from this host for a time. The announcements themselves are kept by
// package load. The state of this package, which prevents repeated log lines, ends with the process.
package availability

import (
	"log/slog"
	"sync"
	"time"

	"vetchtrail"
	"vetchtrail/process/load"
	"vetchtrail/process/logs"
	"vetchtrail/schema"
)

// Table records announcements of endpoints. *load.Table implements it.
type Table interface {
	// RecordAnnouncement records the announcement in an endpoint's response, and returns the part of it that is new.
	RecordAnnouncement(name string, startedAt time.Time, a vetchtrail.Availability) load.AnnouncementChange
	// RecordAnnouncementByHash does the same for an announcement that another host received. The endpoint is given
	// by load.NameHash of its name.
	RecordAnnouncementByHash(nameHash uint32, startedAt time.Time, a vetchtrail.Availability, now time.Time) load.AnnouncementChange
}

// Config configures an Observer.
type Config struct {
	Observer vetchtrail.Observer // receives all other observations
	Table    Table
	Log      *slog.Logger
}

// Observer is a vetchtrail.Observer that logs and counts announcements and unknown fields, and forwards all other
// observations to Config.Observer. It is safe for concurrent use.
type Observer struct {
	vetchtrail.Observer
	cfg        Config
	logLimiter logs.Throttle // by endpoint

	slowdownLogLimiter logs.Throttle // by endpoint, for slowdowns that can't be parsed

	mu            sync.Mutex
	unknownFields map[string]bool // names that were logged
}

// New returns an Observer.
func New(c Config) *Observer {
	return &Observer{Observer: c.Observer, cfg: c, unknownFields: map[string]bool{}}
}

// AvailabilityReported implements vetchtrail.Observer.
func (o *Observer) AvailabilityReported(e vetchtrail.Endpoint, availability vetchtrail.Availability, err error) {
	if err != nil {
		countAnnouncement("misread")
		if o.logLimiter.Allow(e.Name, availability.ReceivedAt) {
			o.cfg.Log.Warn("endpoint's availability can't be parsed", "endpoint", e.Name, "error", err)
		}
	}
	change := o.cfg.Table.RecordAnnouncement(e.Name, e.Born, availability)
	if change.Brittle {
		countAnnouncement("brittle")
		o.cfg.Log.Info("endpoints are brittle", "endpoint", e.Name, "service", e.Service, "refusals", availability.Brittle)
	}
	if change.Leaving {
		countAnnouncement("leaving")
		o.cfg.Log.Info("endpoint says that it leaves", "endpoint", e.Name, "service", e.Service)
	}
	if change.Paused {
		countAnnouncement("paused")
		if o.logLimiter.Allow(e.Name, availability.ReceivedAt) {
			o.cfg.Log.Info("endpoint wants nothing for a time", "endpoint", e.Name, "service", e.Service, "for", availability.PausedUntil.Sub(availability.ReceivedAt))
		}
	}
}

// SlowdownReported implements vetchtrail.Observer.
func (o *Observer) SlowdownReported(e vetchtrail.Endpoint, err error) {
	if err == nil {
		countSlowdown("valid")
		return
	}
	countSlowdown("invalid")
	if o.slowdownLogLimiter.Allow(e.Name, time.Now()) {
		o.cfg.Log.Warn("endpoint's slowdown can't be parsed", "endpoint", e.Name, "error", err)
	}
}

// RecordFromPeer records another host's message that an endpoint is leaving.
func (o *Observer) RecordFromPeer(from string, m *schema.EndpointLeaves) {
	now := time.Now()
	availability, startedAt := schema.ToLeaving(m, now)
	change := o.cfg.Table.RecordAnnouncementByHash(m.GetEndpoint(), startedAt, availability, now)
	if !change.Leaving {
		return
	}
	countAnnouncement("leaving, told by a host")
	if change.Endpoint != "" {
		o.cfg.Log.Info("endpoint said to another host that it leaves", "endpoint", change.Endpoint, "from", from, "ago", now.Sub(availability.ReceivedAt))
	}
}

const (
	// maxUnknownFields bounds the unknown fields that are logged and counted under their own names.
	maxUnknownFields = 64
	// maxFieldNameBytes bounds the part of an unknown field's name that is logged and counted.
	maxFieldNameBytes = 64
)

// UnknownField implements vetchtrail.Observer. It logs each unknown field once and counts it by its name. Fields
// beyond maxUnknownFields are only counted, together.
func (o *Observer) UnknownField(e vetchtrail.Endpoint, field string) {
	field = field[:min(len(field), maxFieldNameBytes)]
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.unknownFields[field] {
		if len(o.unknownFields) >= maxUnknownFields {
			countUnknownField("other")
			return
		}
		o.unknownFields[field] = true
		o.cfg.Log.Warn("endpoint says what nobody reads", "endpoint", e.Name, "service", e.Service, "field", field)
	}
	countUnknownField(field)
}
