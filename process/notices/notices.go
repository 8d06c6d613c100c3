// Package notices tells operators what endpoints say of whether they want requests: that they leave, that
// they want nothing from this host for a time. It lives for the process.
package notices

import (
	"log/slog"
	"sync"
	"time"

	"vetchtrail"
	"vetchtrail/process/load"
	"vetchtrail/process/logs"
	"vetchtrail/schema"
)

// Table is what the host believes of its endpoints.
type Table interface {
	// HearNotice takes what an answer said, and returns what of it is news.
	HearNotice(name string, born time.Time, n vetchtrail.Notice) load.NoticeNews
	// HearNoticeShort takes what one said to another host, by the short form of its name.
	HearNoticeShort(short uint32, born time.Time, n vetchtrail.Notice, now time.Time) load.NoticeNews
}

// Config is what Notices need.
type Config struct {
	Observer vetchtrail.Observer // hears all else that is observed
	Table    Table
	Log      *slog.Logger
}

// Notices is a vetchtrail.Observer. It is safe for use by many.
type Notices struct {
	vetchtrail.Observer
	cfg   Config
	lines logs.Sparse // by endpoint

	mu      sync.Mutex
	unknown map[string]bool // names of fields that nobody reads
}

// New returns notices of which none was heard.
func New(c Config) *Notices {
	return &Notices{Observer: c.Observer, cfg: c, unknown: map[string]bool{}}
}

// Noticed implements vetchtrail.Observer.
func (n *Notices) Noticed(e vetchtrail.Endpoint, said vetchtrail.Notice, err error) {
	if err != nil {
		count("misread")
		if n.lines.May(e.Name, said.Heard) {
			n.cfg.Log.Warn("endpoint says what can't be read of whether it wants requests", "endpoint", e.Name, "error", err)
		}
	}
	news := n.cfg.Table.HearNotice(e.Name, e.Born, said)
	if news.Leaves {
		count("leaving")
		n.cfg.Log.Info("endpoint says that it leaves", "endpoint", e.Name, "service", e.Service)
	}
	if news.Paused {
		count("paused")
		if n.lines.May(e.Name, said.Heard) {
			n.cfg.Log.Info("endpoint wants nothing for a time", "endpoint", e.Name, "service", e.Service, "for", said.Until.Sub(said.Heard))
		}
	}
}

// Learn takes what another host tells of an endpoint that leaves.
func (n *Notices) Learn(from string, m *schema.EndpointLeaves) {
	now := time.Now()
	said, born := schema.ToLeaves(m, now)
	news := n.cfg.Table.HearNoticeShort(m.GetEndpoint(), born, said, now)
	if !news.Leaves {
		return
	}
	count("leaving, told by a host")
	if news.Endpoint != "" {
		n.cfg.Log.Info("endpoint said to another host that it leaves", "endpoint", news.Endpoint, "from", from, "ago", now.Sub(said.Heard))
	}
}

const (
	// mostUnknown bounds the fields that are told of and counted by name.
	mostUnknown = 64
	// longestField is the longest name of a field that is told whole, in bytes.
	longestField = 64
)

// Unknown implements vetchtrail.Observer. A field has one line, and is counted by its name.
func (n *Notices) Unknown(e vetchtrail.Endpoint, field string) {
	field = field[:min(len(field), longestField)]
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.unknown[field] {
		if len(n.unknown) >= mostUnknown {
			countUnknown("other")
			return
		}
		n.unknown[field] = true
		n.cfg.Log.Warn("endpoint says what nobody reads", "endpoint", e.Name, "service", e.Service, "field", field)
	}
	countUnknown(field)
}
