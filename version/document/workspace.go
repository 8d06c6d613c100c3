package document

import (
	"github.com/go-faster/errors"

	"vetchtrail"
)

// Workspace is a customer's account.
type Workspace struct {
	Name     string               `yaml:"name"`
	Home     string               `yaml:"home,omitempty"`       // region that it belongs to; empty: the region where a request is received
	Allowed  []string             `yaml:"allowed,omitempty"`    // the only regions that may process its requests; empty: no limit
	Priority int8                 `yaml:"priority,omitempty"`   // higher is more urgent
	Keys     []vetchtrail.KeyHash `yaml:"key_hashes,omitempty"` // as `vetchtrail workspace key` prints them
	Locked   bool                 `yaml:"locked,omitempty"`     // its callers need a key, even if the workspace has none
	Quota    *Quota               `yaml:"quota,omitempty"`      // absent: no limit
}

// Quota limits the requests that all hosts together run for a workspace.
type Quota struct {
	Rate  float64 `yaml:"rate"`            // units per second
	Burst float64 `yaml:"burst,omitempty"` // units at once in addition to the rate
	Unit  string  `yaml:"unit"`            // requests or tokens
	Plain float64 `yaml:"plain,omitempty"` // cost, in units, of a request that states no tokens
}

// check reports an unknown quota unit. The other fields are checked in package
// rules.
func (w *Workspace) check() error {
	if w.Quota == nil {
		return nil
	}
	if _, ok := vetchtrail.ParseQuotaUnit(w.Quota.Unit); !ok {
		return errors.Errorf("document.Parse: workspace %s: quota: unit %q must be requests or tokens", w.Name, w.Quota.Unit)
	}
	return nil
}

func (w *Workspace) workspace() vetchtrail.Workspace {
	out := vetchtrail.Workspace{Name: w.Name, Home: w.Home, Allowed: w.Allowed, Priority: w.Priority, Keys: w.Keys, Locked: w.Locked}
	if q := w.Quota; q != nil {
		unit, _ := vetchtrail.ParseQuotaUnit(q.Unit)
		out.Quota = vetchtrail.Quota{Rate: q.Rate, Burst: q.Burst, Unit: unit, Plain: q.Plain}
	}
	return out
}

// FromWorkspace returns a workspace as a document describes it.
func FromWorkspace(w vetchtrail.Workspace) Workspace {
	out := Workspace{Name: w.Name, Home: w.Home, Allowed: w.Allowed, Priority: w.Priority, Keys: w.Keys, Locked: w.Locked}
	if q := w.Quota; q != (vetchtrail.Quota{}) {
		out.Quota = &Quota{Rate: q.Rate, Burst: q.Burst, Unit: q.Unit.String(), Plain: q.Plain}
	}
	return out
}
