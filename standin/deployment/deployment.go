// Package deployment describes whole deployments of the system on loopback
// addresses: hosts, endpoints, services, the platform's services and the links
// between regions. The example files, the demo, the scenarios, the soak and the load
// runs use these descriptions. The package starts no process: packages fleet and world
// do.
package deployment

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail/process/settings"
	"vetchtrail/standin/link"
	"vetchtrail/version/document"
)

// Ports of the addresses.
const (
	portCallers  = 8080
	portPeers    = 7070
	portEngine   = 9000
	portPlatform = 8500
	portControl  = 8600
)

// Last byte of the first address of each kind in a data centre's network.
const (
	firstHostNumber   = 1
	firstEngineNumber = 20
	firstPlainNumber  = 120
)

// All addresses are 127.N.S.x, where S is the deployment's subnet. N is the number of
// a region, from 1, or one of the network numbers below. A link has a network of its own,
// with the addresses on which it accepts connections.
const (
	platformNetwork   = 20
	firstLinkNetwork  = 40 // of the links between regions: + maxRegions × index of the origin + index of the destination
	firstStoreNetwork = 30 // of the links to the store: + index of the origin region
)

// Spec is the size of a deployment and its services.
type Spec struct {
	Subnet  int // third byte of all addresses; deployments on one machine must differ in it
	Regions []RegionSpec
	Model   ServiceSpec
	Plain   ServiceSpec
	Delay   time.Duration // of the links between regions, in each direction
}

// RegionSpec is a region with one data centre.
type RegionSpec struct {
	Name           string
	DataCentre     string
	Hosts          int
	Engines        int // endpoints of the model service
	PlainEndpoints int // endpoints of the plain service
}

// ServiceSpec is a service.
type ServiceSpec struct {
	Name         string
	Weights      document.Weights
	Slots        int           // of each endpoint
	AnswerWithin time.Duration // time limit of a request whose caller sets no deadline
	QueueLimit   int           // maximum number of requests that one host queues for the service
}

// Deployment holds the settings, the configuration and the addresses of a deployment.
type Deployment struct {
	Spec         Spec
	Hosts        []settings.Settings
	Document     document.Document // configuration
	Store        netip.AddrPort
	EndpointList netip.AddrPort
	Directory    netip.AddrPort
	LinkControl  netip.AddrPort // where the faults of the links are set
	Pipes        []link.Pipe    // of all links
}

// Wycena returns a deployment of three regions. Its weights favour a short time to the
// first token: the cost of leaving the region of the host that decides is low.
func Wycena(subnet int) Spec {
	return Spec{
		Subnet: subnet, Delay: 20 * time.Millisecond,
		Regions: []RegionSpec{
			{Name: "pl-south", DataCentre: "krk-hala", Hosts: 3, Engines: 4, PlainEndpoints: 1},
			{Name: "pl-central", DataCentre: "lodz-hala", Hosts: 3, Engines: 4, PlainEndpoints: 1},
			{Name: "pl-north", DataCentre: "gdn-hala", Hosts: 2, Engines: 4, PlainEndpoints: 1},
		},
		Model: ServiceSpec{Name: "quote-model", Weights: document.Weights{Tail: 1, Away: 0.1, Cost: 0.01}, Slots: 8, AnswerWithin: 20 * time.Second, QueueLimit: 64},
		Plain: ServiceSpec{Name: "portal-app", Weights: document.Weights{Tail: 1, Away: 0.1, Cost: 0.01}, Slots: 64, AnswerWithin: 5 * time.Second, QueueLimit: 64},
	}
}

// Cadastral returns a deployment of three regions. Its weights add a high cost
// for leaving the region of the host that decides.
func Cadastral(subnet int) Spec {
	return Spec{
		Subnet: subnet, Delay: 25 * time.Millisecond,
		Regions: []RegionSpec{
			{Name: "ardeal", DataCentre: "cluj-hall", Hosts: 3, Engines: 4, PlainEndpoints: 1},
			{Name: "moldova", DataCentre: "iasi-hall", Hosts: 2, Engines: 4, PlainEndpoints: 1},
			{Name: "muntenia", DataCentre: "ploiesti-hall", Hosts: 2, Engines: 4, PlainEndpoints: 1},
		},
		Model: ServiceSpec{Name: "deed-reader", Weights: document.Weights{Tail: 1, Away: 3, Cost: 0.01}, Slots: 8, AnswerWithin: 20 * time.Second, QueueLimit: 64},
		Plain: ServiceSpec{Name: "map-viewer", Weights: document.Weights{Tail: 1, Away: 3, Cost: 0.01}, Slots: 64, AnswerWithin: 5 * time.Second, QueueLimit: 64},
	}
}

// Small returns a deployment for tests: three regions with the given numbers of
// hosts and engines each.
func Small(subnet, hosts, engines int) Spec {
	s := Wycena(subnet)
	for i := range s.Regions {
		s.Regions[i].Hosts, s.Regions[i].Engines = hosts, engines
	}
	s.Delay = 5 * time.Millisecond
	return s
}

// maxRegions bounds the regions of a deployment. Each ordered pair of regions needs
// a network for its link, and the numbers of networks must fit into a byte.
const maxRegions = 10

// Sized returns a deployment for tests of the given number of regions, with the
// given numbers of hosts and engines each.
func Sized(subnet, regions, hosts, engines int) (Spec, error) {
	if regions < 1 || regions > maxRegions || hosts < 1 || engines < 1 {
		return Spec{}, errors.Errorf("deployment.Sized: %d regions (1 to %d) of %d hosts and %d engines (1 or more)", regions, maxRegions, hosts, engines)
	}
	s := Small(subnet, hosts, engines)
	region := s.Regions[0]
	s.Regions = nil
	for i := range regions {
		region.Name, region.DataCentre = fmt.Sprintf("region-%d", i+1), fmt.Sprintf("centre-%d", i+1)
		s.Regions = append(s.Regions, region)
	}
	return s, nil
}

// Build returns the deployment that a spec describes.
func Build(s Spec) Deployment {
	d := Deployment{
		Spec:         s,
		Store:        addr(platformNetwork, s.Subnet, 1, portPlatform),
		EndpointList: addr(platformNetwork, s.Subnet, 2, portPlatform), Directory: addr(platformNetwork, s.Subnet, 3, portPlatform),
		LinkControl: addr(platformNetwork, s.Subnet, 4, portControl),
	}
	d.addRegionsAndServices()
	for i := range s.Regions {
		d.addEndpointsAndHosts(i)
		d.addLinks(i)
	}
	return d
}

// addr returns the address 127.number.subnet.last with a port.
func addr(number, subnet, last, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(number), byte(subnet), byte(last)}), uint16(port))
}

// network returns 127.number.subnet.0/24.
func network(number, subnet int) netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{127, byte(number), byte(subnet), 0}), 24)
}

// addRegionsAndServices adds the regions and the services to the configuration.
func (d *Deployment) addRegionsAndServices() {
	var all []string
	for _, r := range d.Spec.Regions {
		all = append(all, r.Name)
		d.Document.Regions = append(d.Document.Regions, document.Region{Name: r.Name, DataCentres: []string{r.DataCentre}})
	}
	for _, v := range []struct {
		ServiceSpec
		kind string
	}{{d.Spec.Model, "model"}, {d.Spec.Plain, "plain"}} {
		d.Document.Services = append(d.Document.Services, document.Service{
			Name: v.Name, Kind: v.kind, Allowed: all, Weights: v.Weights, AnswerWithin: v.AnswerWithin, QueueLimit: v.QueueLimit,
		})
	}
}

// addEndpointsAndHosts adds the endpoints and hosts of a region, and a workspace whose
// requests may run in this region only.
func (d *Deployment) addEndpointsAndHosts(i int) {
	r := d.Spec.Regions[i]
	for n := range r.Engines {
		d.addEndpoint(r, d.Spec.Model, fmt.Sprintf("%s-engine-%d", r.DataCentre, n+1), addr(i+1, d.Spec.Subnet, firstEngineNumber+n, portEngine))
	}
	for n := range r.PlainEndpoints {
		d.addEndpoint(r, d.Spec.Plain, fmt.Sprintf("%s-app-%d", r.DataCentre, n+1), addr(i+1, d.Spec.Subnet, firstPlainNumber+n, portEngine))
	}
	d.Document.Workspaces = append(d.Document.Workspaces, document.Workspace{
		Name: r.Name + "-bound", Home: r.Name, Allowed: []string{r.Name},
	})
	for n := range r.Hosts {
		d.Hosts = append(d.Hosts, d.hostSettings(i, n))
	}
}

// addEndpoint adds an endpoint of a service in a region to the configuration.
func (d *Deployment) addEndpoint(r RegionSpec, s ServiceSpec, name string, at netip.AddrPort) {
	d.Document.Endpoints = append(d.Document.Endpoints, document.Endpoint{
		Name: name, Service: s.Name, Region: r.Name, DataCentre: r.DataCentre, Addr: at, Slots: s.Slots,
	})
}

// hostSettings returns the settings of host n, from 0, of a region. All other hosts are
// its seeds. Its setting Translate maps the networks of the other regions to those of
// the links, so that the host connects to the other regions through the links.
func (d *Deployment) hostSettings(region, n int) settings.Settings {
	r := d.Spec.Regions[region]
	s := settings.Default()
	s.Host = fmt.Sprintf("%s-%d", r.DataCentre, n+1)
	s.Region, s.DataCentre = r.Name, r.DataCentre
	s.Listen.Callers = addr(region+1, d.Spec.Subnet, firstHostNumber+n, portCallers)
	s.Listen.Peers = addr(region+1, d.Spec.Subnet, firstHostNumber+n, portPeers)
	s.Platform.Store = addr(firstStoreNetwork+region, d.Spec.Subnet, 1, portPlatform)
	s.Platform.Hosts = d.EndpointList
	for other := range d.Spec.Regions {
		for k := range d.Spec.Regions[other].Hosts {
			if seed := addr(other+1, d.Spec.Subnet, firstHostNumber+k, portPeers); seed != s.Listen.Peers {
				s.Seeds = append(s.Seeds, seed)
			}
		}
		if other != region {
			s.Translate = append(s.Translate, settings.Translation{
				From: network(other+1, d.Spec.Subnet), To: network(firstLinkNetwork+maxRegions*region+other, d.Spec.Subnet),
			})
		}
	}
	return s
}

// LinkName returns the name of the link from a region to another, or to the
// platform.
func LinkName(from, to string) string { return from + ">" + to }

// PlatformName is the name of the platform for LinkName.
const PlatformName = "platform"

// addLinks adds the pipes from a region: to the hosts of all other regions, and to
// the store.
func (d *Deployment) addLinks(from int) {
	for to := range d.Spec.Regions {
		if to == from {
			continue
		}
		for k := range d.Spec.Regions[to].Hosts {
			d.Pipes = append(d.Pipes, link.Pipe{
				Link:   LinkName(d.Spec.Regions[from].Name, d.Spec.Regions[to].Name),
				Listen: addr(firstLinkNetwork+maxRegions*from+to, d.Spec.Subnet, firstHostNumber+k, portPeers),
				To:     addr(to+1, d.Spec.Subnet, firstHostNumber+k, portPeers),
				Delay:  d.Spec.Delay,
			})
		}
	}
	d.Pipes = append(d.Pipes, link.Pipe{
		Link:   LinkName(d.Spec.Regions[from].Name, PlatformName),
		Listen: addr(firstStoreNetwork+from, d.Spec.Subnet, 1, portPlatform), To: d.Store, Delay: time.Millisecond,
	})
}
