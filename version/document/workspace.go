package document

import (
	"github.com/go-faster/errors"

	"vetchtrail"
)

// Workspace is a workspace.
type Workspace struct {
	Name     string               `yaml:"name"`
	Home     string               `yaml:"home,omitempty"`
	Allowed  []string             `yaml:"allowed,omitempty"`
	Priority int8                 `yaml:"priority,omitempty"`
	Keys     []vetchtrail.KeyHash `yaml:"key_hashes,omitempty"` // as `vetchtrail workspace key` gives them
	Locked   bool                 `yaml:"locked,omitempty"`     // it needs a key, also when it has none
	Quota    *Quota               `yaml:"quota,omitempty"`
}

// Quota bounds what all hosts together run for a workspace.
type Quota struct {
	Rate  float64 `yaml:"rate"`            // units a second
	Burst float64 `yaml:"burst,omitempty"` // units at once beside it
	Unit  string  `yaml:"unit"`            // requests or tokens
	Plain float64 `yaml:"plain,omitempty"` // units of a request that names no tokens
}

func (w *Workspace) check() error {
	if w.Quota == nil {
		return nil
	}
	if _, ok := vetchtrail.ParseQuotaUnit(w.Quota.Unit); !ok {
		return errors.Errorf("document.Parse: workspace %s: quota: unit %q is not requests or tokens", w.Name, w.Quota.Unit)
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

// OfWorkspace returns the document of a workspace.
func OfWorkspace(w vetchtrail.Workspace) Workspace {
	out := Workspace{Name: w.Name, Home: w.Home, Allowed: w.Allowed, Priority: w.Priority, Keys: w.Keys, Locked: w.Locked}
	if q := w.Quota; q != (vetchtrail.Quota{}) {
		out.Quota = &Quota{Rate: q.Rate, Burst: q.Burst, Unit: q.Unit.String(), Plain: q.Plain}
	}
	return out
}
