// Package document defines the YAML file in which operators write and read the
// whole configuration: `vetchtrail config apply` reads it, `config show` writes
// it. It parses the file and converts it to and from the configuration that
// daemons use. Whether the configuration is valid is checked in package rules.
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

// Document is the content of the file.
type Document struct {
	Regions    []Region    `yaml:"regions"`
	Services   []Service   `yaml:"services"`
	Endpoints  []Endpoint  `yaml:"endpoints"`
	Routes     []Route     `yaml:"routes,omitempty"`
	Workspaces []Workspace `yaml:"workspaces,omitempty"`
}

// Region is a region with its data centres.
type Region struct {
	Name        string   `yaml:"name"`
	ID          *uint8   `yaml:"id,omitempty"` // absent: the region's index in the list
	DataCentres []string `yaml:"data_centres"`
}

// Service is a model or a plain HTTP service.
type Service struct {
	Name         string        `yaml:"name"`
	Kind         string        `yaml:"kind"`              // model or plain
	Allowed      []string      `yaml:"allowed,omitempty"` // regions that may process its requests; empty: only the caller's home
	Weights      Weights       `yaml:"weights"`
	AnswerWithin time.Duration `yaml:"answer_within"`          // time limit of a request whose caller sets no deadline
	QueueLimit   int           `yaml:"queue_limit"`            // maximum number of requests that wait for the service on one host
	EventTokens  int           `yaml:"event_tokens,omitempty"` // tokens per event of a streamed response; 0: not known
}

// Weights are the terms of the cost by which an endpoint is chosen for a
// request. A weight of 0 switches its term off.
type Weights struct {
	Tail float64 `yaml:"tail"`           // factor on the predicted seconds to the first token
	Away float64 `yaml:"away"`           // seconds added for leaving the region of the host that decides
	Cost float64 `yaml:"cost"`           // factor on the seconds of engine time
	Read float64 `yaml:"read,omitempty"` // factor on the seconds of processing prompt tokens that the endpoint has not cached
}

// Endpoint is a back end of a service: a model engine or a plain HTTP server.
type Endpoint struct {
	Name       string         `yaml:"name"`
	Service    string         `yaml:"service"`
	Region     string         `yaml:"region"`
	DataCentre string         `yaml:"data_centre"`
	Addr       netip.AddrPort `yaml:"address"`
	Slots      int            `yaml:"slots"`              // requests that it runs at once
	Draining   bool           `yaml:"draining,omitempty"` // it gets no new requests
	Fenced     bool           `yaml:"fenced,omitempty"`   // it checks fencing tokens
}

// Route selects requests by host name and path and defines which services receive
// them and how they may be handled.
type Route struct {
	Name         string        `yaml:"name"`
	Host         string        `yaml:"host"`        // value of the request's Host field
	PathPrefix   string        `yaml:"path_prefix"` // begins and ends with a slash
	Kind         string        `yaml:"kind"`        // unsafe, safe or stream
	Targets      []Target      `yaml:"targets"`
	Attempts     int           `yaml:"attempts"`            // maximum number of endpoints that one request may be sent to
	AnswerWithin time.Duration `yaml:"answer_within"`       // time limit of a request
	Goal         time.Duration `yaml:"goal"`                // latency objective
	Rank         int8          `yaml:"rank"`                // 0 is the most urgent
	Homes        []string      `yaml:"homes,omitempty"`     // regions that may process its requests; empty: all
	Sticky       bool          `yaml:"sticky,omitempty"`    // requests state the parts of their prompts
	Resumable    bool          `yaml:"resumable,omitempty"` // a stream may continue at another endpoint
	Keyed        bool          `yaml:"keyed,omitempty"`     // callers must send a workspace's key
	Pause        time.Duration `yaml:"pause,omitempty"`     // longest interval between two events of a stream that is in time
}

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string `yaml:"service"`
	Weight  int    `yaml:"weight"` // share, relative to the sum of the route's weights
}

// Parse reads a document. An unknown key is an error that gives its line.
func Parse(text []byte) (Document, error) {
	var d Document
	if err := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict()).Decode(&d); err != nil {
		return d, errors.New(yaml.FormatError(err, false, true))
	}
	for i := range d.Services {
		if _, ok := vetchtrail.ParseServiceKind(d.Services[i].Kind); !ok {
			return d, errors.Errorf("document.Parse: service %s: kind %q must be model or plain", d.Services[i].Name, d.Services[i].Kind)
		}
	}
	for i := range d.Routes {
		if _, ok := vetchtrail.ParseRouteKind(d.Routes[i].Kind); !ok {
			return d, errors.Errorf("document.Parse: route %s: kind %q must be unsafe, safe or stream", d.Routes[i].Name, d.Routes[i].Kind)
		}
	}
	for i := range d.Workspaces {
		if err := d.Workspaces[i].check(); err != nil {
			return d, err
		}
	}
	return d, nil
}

// Rules returns the configuration that the document describes, or what makes
// it invalid.
func (d *Document) Rules() (*rules.Rules, error) {
	return rules.Empty().Apply(vetchtrail.Change{Edits: d.edits()})
}

// edits returns the edits that create the document's configuration from an empty
// one. Each edit refers to items of earlier edits only.
func (d *Document) edits() []vetchtrail.Edit {
	var out []vetchtrail.Edit
	for i, r := range d.Regions {
		id := vetchtrail.RegionID(i)
		if r.ID != nil {
			id = vetchtrail.RegionID(*r.ID)
		}
		out = append(out, vetchtrail.PutRegion{Region: vetchtrail.Region{ID: id, Name: r.Name, DataCentres: r.DataCentres}})
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

// FromRules returns the document that describes a configuration.
func FromRules(r *rules.Rules) Document {
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
			d.Workspaces = append(d.Workspaces, FromWorkspace(e.Workspace))
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

// YAML returns the content of the file.
func (d *Document) YAML() ([]byte, error) {
	out, err := yaml.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "document.YAML")
	}
	return out, nil
}
