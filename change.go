package vetchtrail

import "time"

// Change is an operator's change to the configuration. Each accepted change is one entry of
// the configuration log.
type Change struct {
	ID       string // chosen by the proposer; a change is not accepted again if a recent one has its ID
	Revision uint64 // position in the log; 0 until the change is accepted
	Author   string
	Reason   string
	At       time.Time
	Expect   uint64 // revision that the change was written against; 0: any
	Edits    []Edit
}

// Edit is one part of a Change. The types that implement it are declared below.
type Edit interface{ edit() }

// PutRegion adds or replaces a region.
type PutRegion struct{ Region Region }

// PutService adds or replaces a service.
type PutService struct{ Service Service }

// PutEndpoint adds or replaces an endpoint.
type PutEndpoint struct{ Endpoint Endpoint }

// PutRoute adds or replaces a route.
type PutRoute struct{ Route Route }

// PutWorkspace adds or replaces a workspace.
type PutWorkspace struct{ Workspace Workspace }

// DrainEndpoint sets whether an endpoint is drained.
type DrainEndpoint struct {
	Endpoint string
	Draining bool
}

// Remove removes an item from the configuration.
type Remove struct {
	Kind ItemKind
	Name string
}

// ItemKind is a kind of item in the configuration.
type ItemKind string

// Kinds of items in the configuration.
const (
	ItemRegion    ItemKind = "region"
	ItemService   ItemKind = "service"
	ItemEndpoint  ItemKind = "endpoint"
	ItemWorkspace ItemKind = "workspace"
	ItemRoute     ItemKind = "route"
)

func (PutRegion) edit()     {}
func (PutService) edit()    {}
func (PutEndpoint) edit()   {}
func (PutRoute) edit()      {}
func (PutWorkspace) edit()  {}
func (DrainEndpoint) edit() {}
func (Remove) edit()        {}
