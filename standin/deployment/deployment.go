// Package deployment describes whole deployments on loopback addresses: the
// users' two of today, and small ones for tests. The same description makes the
// example files, the demo, the scenarios and the load runs.
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

// Last numbers of the addresses in a data centre's network.
const (
	firstHost   = 1
	firstEngine = 20
	firstPlain  = 120
)

// Networks are 127.N.S.0/24 with S the deployment's slot: N is the number of a
// region from 1, or one of these.
const (
	platformNet = 20
	linkNet     = 40 // + mostRegions × from + to
	storeNet    = 30 // + from
)

// Spec says how large a deployment is.
type Spec struct {
	Slot    int // sets the deployment's addresses apart from others'
	Regions []RegionSpec
	Model   ServiceSpec
	Plain   ServiceSpec
	Delay   time.Duration // one way between regions
}

// RegionSpec is a region with one data centre.
type RegionSpec struct {
	Name       string
	DataCentre string
	Hosts      int
	Engines    int
	Plains     int
}

// ServiceSpec is a service.
type ServiceSpec struct {
	Name    string
	Weights document.Weights
	Slots   int
	Within  time.Duration
	Queue   int
}

// Deployment is all that is needed to start one.
type Deployment struct {
	Spec      Spec
	Hosts     []settings.Settings
	Document  document.Document
	Store     netip.AddrPort
	HostList  netip.AddrPort
	Directory netip.AddrPort
	Control   netip.AddrPort // of the link
	Pipes     []link.Pipe
}

// Wycena is Wycena WO's deployment of today: its tail weighs most.
func Wycena(slot int) Spec {
	return Spec{
		Slot: slot, Delay: 20 * time.Millisecond,
		Regions: []RegionSpec{
			{Name: "pl-south", DataCentre: "krk-hala", Hosts: 3, Engines: 4, Plains: 1},
			{Name: "pl-central", DataCentre: "lodz-hala", Hosts: 3, Engines: 4, Plains: 1},
			{Name: "pl-north", DataCentre: "gdn-hala", Hosts: 2, Engines: 4, Plains: 1},
		},
		Model: ServiceSpec{Name: "quote-model", Weights: document.Weights{Tail: 1, Away: 0.1, Cost: 0.01}, Slots: 8, Within: 20 * time.Second, Queue: 64},
		Plain: ServiceSpec{Name: "portal-app", Weights: document.Weights{Tail: 1, Away: 0.1, Cost: 0.01}, Slots: 64, Within: 5 * time.Second, Queue: 64},
	}
}

// Cadastral is the Cadastral Co-operative's deployment of today: the share
// sent away weighs most.
func Cadastral(slot int) Spec {
	return Spec{
		Slot: slot, Delay: 25 * time.Millisecond,
		Regions: []RegionSpec{
			{Name: "ardeal", DataCentre: "cluj-hall", Hosts: 3, Engines: 4, Plains: 1},
			{Name: "moldova", DataCentre: "iasi-hall", Hosts: 2, Engines: 4, Plains: 1},
			{Name: "muntenia", DataCentre: "ploiesti-hall", Hosts: 2, Engines: 4, Plains: 1},
		},
		Model: ServiceSpec{Name: "deed-reader", Weights: document.Weights{Tail: 1, Away: 3, Cost: 0.01}, Slots: 8, Within: 20 * time.Second, Queue: 64},
		Plain: ServiceSpec{Name: "map-viewer", Weights: document.Weights{Tail: 1, Away: 3, Cost: 0.01}, Slots: 64, Within: 5 * time.Second, Queue: 64},
	}
}

// Small is a deployment for tests: three regions of a few hosts and endpoints.
func Small(slot, hosts, engines int) Spec {
	s := Wycena(slot)
	for i := range s.Regions {
		s.Regions[i].Hosts, s.Regions[i].Engines = hosts, engines
	}
	s.Delay = 5 * time.Millisecond
	return s
}

// Regions that a deployment of a given size may have: each pair of them has a
// network for its link.
const mostRegions = 10

// Sized is a deployment for tests of so many regions, with hosts and engines each.
func Sized(slot, regions, hosts, engines int) (Spec, error) {
	if regions < 1 || regions > mostRegions || hosts < 1 || engines < 1 {
		return Spec{}, errors.Errorf("deployment.Sized: %d regions (1 to %d) of %d hosts and %d engines (1 or more)", regions, mostRegions, hosts, engines)
	}
	s := Small(slot, hosts, engines)
	one := s.Regions[0]
	s.Regions = nil
	for i := range regions {
		one.Name, one.DataCentre = fmt.Sprintf("region-%d", i+1), fmt.Sprintf("centre-%d", i+1)
		s.Regions = append(s.Regions, one)
	}
	return s, nil
}

// Build returns the deployment of a spec.
func Build(s Spec) Deployment {
	d := Deployment{
		Spec:     s,
		Store:    addr(platformNet, s.Slot, 1, portPlatform),
		HostList: addr(platformNet, s.Slot, 2, portPlatform), Directory: addr(platformNet, s.Slot, 3, portPlatform),
		Control: addr(platformNet, s.Slot, 4, portControl),
	}
	d.services()
	for i := range s.Regions {
		d.region(i)
		d.links(i)
	}
	return d
}

func addr(net, slot, host, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(net), byte(slot), byte(host)}), uint16(port))
}

func network(net, slot int) netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{127, byte(net), byte(slot), 0}), 24)
}

func (d *Deployment) services() {
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
			Name: v.Name, Kind: v.kind, Allowed: all, Weights: v.Weights, AnswerWithin: v.Within, QueueLimit: v.Queue,
		})
	}
}

func (d *Deployment) region(i int) {
	r := d.Spec.Regions[i]
	for n := range r.Engines {
		d.endpoint(r, d.Spec.Model, fmt.Sprintf("%s-engine-%d", r.DataCentre, n+1), addr(i+1, d.Spec.Slot, firstEngine+n, portEngine))
	}
	for n := range r.Plains {
		d.endpoint(r, d.Spec.Plain, fmt.Sprintf("%s-app-%d", r.DataCentre, n+1), addr(i+1, d.Spec.Slot, firstPlain+n, portEngine))
	}
	d.Document.Workspaces = append(d.Document.Workspaces, document.Workspace{
		Name: r.Name + "-bound", Home: r.Name, Allowed: []string{r.Name},
	})
	for n := range r.Hosts {
		d.Hosts = append(d.Hosts, d.host(i, n))
	}
}

func (d *Deployment) endpoint(r RegionSpec, s ServiceSpec, name string, at netip.AddrPort) {
	d.Document.Endpoints = append(d.Document.Endpoints, document.Endpoint{
		Name: name, Service: s.Name, Region: r.Name, DataCentre: r.DataCentre, Addr: at, Slots: s.Slots,
	})
}

func (d *Deployment) host(region, n int) settings.Settings {
	r := d.Spec.Regions[region]
	s := settings.Default()
	s.Host = fmt.Sprintf("%s-%d", r.DataCentre, n+1)
	s.Region, s.DataCentre = r.Name, r.DataCentre
	s.Listen.Callers = addr(region+1, d.Spec.Slot, firstHost+n, portCallers)
	s.Listen.Peers = addr(region+1, d.Spec.Slot, firstHost+n, portPeers)
	s.Platform.Store = addr(storeNet+region, d.Spec.Slot, 1, portPlatform)
	s.Platform.Hosts = d.HostList
	for other := range d.Spec.Regions {
		for k := range d.Spec.Regions[other].Hosts {
			if seed := addr(other+1, d.Spec.Slot, firstHost+k, portPeers); seed != s.Listen.Peers {
				s.Seeds = append(s.Seeds, seed)
			}
		}
		if other != region {
			s.Translate = append(s.Translate, settings.Translation{
				From: network(other+1, d.Spec.Slot), To: network(linkNet+mostRegions*region+other, d.Spec.Slot),
			})
		}
	}
	return s
}

// LinkName names the link from one region to another, or to the platform.
func LinkName(from, to string) string { return from + ">" + to }

// PlatformName stands for the platform in LinkName.
const PlatformName = "platform"

func (d *Deployment) links(from int) {
	for to := range d.Spec.Regions {
		if to == from {
			continue
		}
		for k := range d.Spec.Regions[to].Hosts {
			d.Pipes = append(d.Pipes, link.Pipe{
				Link:   LinkName(d.Spec.Regions[from].Name, d.Spec.Regions[to].Name),
				Listen: addr(linkNet+mostRegions*from+to, d.Spec.Slot, firstHost+k, portPeers),
				To:     addr(to+1, d.Spec.Slot, firstHost+k, portPeers),
				Delay:  d.Spec.Delay,
			})
		}
	}
	d.Pipes = append(d.Pipes, link.Pipe{
		Link:   LinkName(d.Spec.Regions[from].Name, PlatformName),
		Listen: addr(storeNet+from, d.Spec.Slot, 1, portPlatform), To: d.Store, Delay: time.Millisecond,
	})
}
