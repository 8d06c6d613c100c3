// Package document is the operators' written form of the whole configuration:
// the YAML file that `vetchtrail config apply` takes and `config show` gives.
package document

import (
	"bytes"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"

	"vetchtrail"
	"vetchtrail/version/rules"
)

// Document is the whole configuration.
type Document struct {
	Regions    []Region    `yaml:"regions"`
	Services   []Service   `yaml:"services"`
	Endpoints  []Endpoint  `yaml:"endpoints"`
	Routes     []Route     `yaml:"routes,omitempty"`
	Workspaces []Workspace `yaml:"workspaces,omitempty"`
}

// Region is a region; its id is its place in the list unless it is given.
type Region struct {
	Name        string   `yaml:"name"`
	ID          *uint8   `yaml:"id,omitempty"`
	DataCentres []string `yaml:"data_centres"`
}

// Service is a service.
type Service struct {
	Name         string        `yaml:"name"`
	Kind         string        `yaml:"kind"` // model or plain
	Allowed      []string      `yaml:"allowed,omitempty"`
	Weights      Weights       `yaml:"weights"`
	AnswerWithin time.Duration `yaml:"answer_within"`
	QueueLimit   int           `yaml:"queue_limit"`
	EventTokens  int           `yaml:"event_tokens,omitempty"`
}

// Weights are a service's weights.
type Weights struct {
	Tail float64 `yaml:"tail"`
	Away float64 `yaml:"away"`
	Cost float64 `yaml:"cost"`
	Read float64 `yaml:"read,omitempty"`
}

// Endpoint is an endpoint.
type Endpoint struct {
	Name       string         `yaml:"name"`
	Service    string         `yaml:"service"`
	Region     string         `yaml:"region"`
	DataCentre string         `yaml:"data_centre"`
	Addr       netip.AddrPort `yaml:"address"`
	Slots      int            `yaml:"slots"`
	Draining   bool           `yaml:"draining,omitempty"`
	Fenced     bool           `yaml:"fenced,omitempty"`
}

// Route is a route.
type Route struct {
	Name         string        `yaml:"name"`
	Host         string        `yaml:"host"`
	PathPrefix   string        `yaml:"path_prefix"`
	Kind         string        `yaml:"kind"` // unsafe, safe or stream
	Targets      []Target      `yaml:"targets"`
	Attempts     int           `yaml:"attempts"`
	AnswerWithin time.Duration `yaml:"answer_within"`
	Goal         time.Duration `yaml:"goal"`
	Rank         int8          `yaml:"rank"`
	Homes        []string      `yaml:"homes,omitempty"`
	Sticky       bool          `yaml:"sticky,omitempty"`
	Resumable    bool          `yaml:"resumable,omitempty"`
	Keyed        bool          `yaml:"keyed,omitempty"` // its callers must show a workspace's key
	Pause        time.Duration `yaml:"pause,omitempty"` // longest between two events of a stream in time
}

// Target is a service that takes a share of a route's requests.
type Target struct {
	Service string `yaml:"service"`
	Weight  int    `yaml:"weight"`
}

// Parse reads a document. Unknown keys are errors that name the line.
func Parse(text []byte) (Document, error) {
	var d Document
	if err := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict()).Decode(&d); err != nil {
		return d, errors.New(yaml.FormatError(err, false, true))
	}
	for i := range d.Services {
		if _, ok := vetchtrail.ParseServiceKind(d.Services[i].Kind); !ok {
			return d, errors.Errorf("document.Parse: service %s: kind %q is not model or plain", d.Services[i].Name, d.Services[i].Kind)
		}
	}
	for i := range d.Routes {
		if _, ok := vetchtrail.ParseRouteKind(d.Routes[i].Kind); !ok {
			return d, errors.Errorf("document.Parse: route %s: kind %q is not unsafe, safe or stream", d.Routes[i].Name, d.Routes[i].Kind)
		}
	}
	for i := range d.Workspaces {
		if err := d.Workspaces[i].check(); err != nil {
			return d, err
		}
	}
	return d, nil
}

// Rules returns the configuration that the document describes.
func (d *Document) Rules() (*rules.Rules, error) {
	return rules.Empty().Apply(vetchtrail.Change{Edits: d.edits()})
}

func (d *Document) edits() []vetchtrail.Edit {
	var out []vetchtrail.Edit
	for i, g := range d.Regions {
		id := vetchtrail.RegionID(i)
		if g.ID != nil {
			id = vetchtrail.RegionID(*g.ID)
		}
		out = append(out, vetchtrail.PutRegion{Region: vetchtrail.Region{ID: id, Name: g.Name, DataCentres: g.DataCentres}})
	}
	for _, s := range d.Services {
		kind, _ := vetchtrail.ParseServiceKind(s.Kind)
		out = append(out, vetchtrail.PutService{Service: vetchtrail.Service{
			Name: s.Name, Kind: kind, Allowed: s.Allowed, Weights: vetchtrail.Weights(s.Weights),
			AnswerWithin: s.AnswerWithin, QueueLimit: s.QueueLimit, EventTokens: s.EventTokens,
		}})
	}
	for _, e := range d.Endpoints {
		out = append(out, vetchtrail.PutEndpoint{Endpoint: e.endpoint()})
	}
	for i := range d.Routes {
		out = append(out, vetchtrail.PutRoute{Route: d.Routes[i].route()})
	}
	for _, w := range d.Workspaces {
		out = append(out, vetchtrail.PutWorkspace{Workspace: w.workspace()})
	}
	return out
}

// Of returns the document of a configuration.
func Of(r *rules.Rules) Document {
	var d Document
	for _, edit := range r.Edits() {
		switch e := edit.(type) {
		case vetchtrail.PutRegion:
			id := uint8(e.Region.ID)
			d.Regions = append(d.Regions, Region{Name: e.Region.Name, ID: &id, DataCentres: e.Region.DataCentres})
		case vetchtrail.PutService:
			s := e.Service
			d.Services = append(d.Services, Service{
				Name: s.Name, Kind: s.Kind.String(), Allowed: s.Allowed, Weights: Weights(s.Weights),
				AnswerWithin: s.AnswerWithin, QueueLimit: s.QueueLimit, EventTokens: s.EventTokens,
			})
		case vetchtrail.PutEndpoint:
			d.Endpoints = append(d.Endpoints, endpointOf(e.Endpoint))
		case vetchtrail.PutRoute:
			d.Routes = append(d.Routes, routeOf(e.Route))
		case vetchtrail.PutWorkspace:
			d.Workspaces = append(d.Workspaces, OfWorkspace(e.Workspace))
		}
	}
	return d
}

func (e *Endpoint) endpoint() vetchtrail.Endpoint {
	return vetchtrail.Endpoint{
		Name: e.Name, Service: e.Service, Region: e.Region, DataCentre: e.DataCentre, Addr: e.Addr, Slots: e.Slots,
		Draining: e.Draining, Fenced: e.Fenced,
	}
}

func endpointOf(e vetchtrail.Endpoint) Endpoint {
	return Endpoint{
		Name: e.Name, Service: e.Service, Region: e.Region, DataCentre: e.DataCentre, Addr: e.Addr, Slots: e.Slots,
		Draining: e.Draining, Fenced: e.Fenced,
	}
}

func (r *Route) route() vetchtrail.Route {
	kind, _ := vetchtrail.ParseRouteKind(r.Kind)
	out := vetchtrail.Route{
		Name: r.Name, Host: r.Host, PathPrefix: r.PathPrefix, Kind: kind, Attempts: r.Attempts, AnswerWithin: r.AnswerWithin,
		Goal: r.Goal, Rank: r.Rank, Homes: r.Homes, Sticky: r.Sticky, Resumable: r.Resumable, Keyed: r.Keyed, Pause: r.Pause,
	}
	for _, t := range r.Targets {
		out.Targets = append(out.Targets, vetchtrail.Target(t))
	}
	return out
}

func routeOf(r vetchtrail.Route) Route {
	out := Route{
		Name: r.Name, Host: r.Host, PathPrefix: r.PathPrefix, Kind: r.Kind.String(), Attempts: r.Attempts,
		AnswerWithin: r.AnswerWithin, Goal: r.Goal, Rank: r.Rank, Homes: r.Homes, Sticky: r.Sticky, Resumable: r.Resumable, Keyed: r.Keyed, Pause: r.Pause,
	}
	for _, t := range r.Targets {
		out.Targets = append(out.Targets, Target(t))
	}
	return out
}

// YAML returns the document as a file.
func (d *Document) YAML() ([]byte, error) {
	out, err := yaml.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "document.YAML")
	}
	return out, nil
}
