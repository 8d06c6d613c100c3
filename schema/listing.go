package schema

import (
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
)

// FromListing returns the message for the platform's lists. Boot is now by the clock of
// suspensions.
func FromListing(l *vetchtrail.Listing, now, boot time.Time) *Listing {
	m := &Listing{Revision: l.Revision, Seen: l.Seen, Age: int64(now.Sub(l.At))}
	m.PutEndpoints(l.Endpoints, now)
	m.Holds = FromHolds(l.Holds, boot)
	for _, h := range l.Hosts {
		m.Hosts = append(m.Hosts, &ListedHost{Name: h.Name, Region: h.Region, DataCentre: h.DataCentre, Peers: h.Peers.String()})
	}
	return m
}

// kindOf is what an endpoint has in common with others.
type kindOf struct {
	service, region, dataCentre string
	slots                       int
	coldRate, moveToken         float64
}

// PutEndpoints puts endpoints into a message that has none. What many have in common stands there once: the
// lists of ten thousand are a third as long.
func (x *Listing) PutEndpoints(endpoints []*vetchtrail.Endpoint, now time.Time) {
	places := map[kindOf]uint32{}
	x.Endpoints = make([]*Listed, 0, len(endpoints))
	for _, e := range endpoints {
		kind := kindOf{e.Service, e.Region, e.DataCentre, e.Slots, e.ColdRate, e.MoveToken}
		at, ok := places[kind]
		if !ok {
			at = uint32(len(x.Kinds))
			places[kind] = at
			x.Kinds = append(x.Kinds, &ListedKind{
				Service: e.Service, Region: e.Region, DataCentre: e.DataCentre, Slots: int32(e.Slots),
				ColdRate: e.ColdRate, MoveToken: e.MoveToken,
			})
		}
		addr, _ := e.Addr.MarshalBinary() // no error is possible
		line := &Listed{
			Name: e.Name, Kind: at, Address: addr, Draining: e.Draining, Fenced: e.Fenced,
			ColdRemaining: left(e.ColdUntil, now), Born: Nanos(e.Born),
		}
		if e.Instance != e.Name {
			line.Instance = &e.Instance
		}
		x.Endpoints = append(x.Endpoints, line)
	}
}

// ErrListing is a message of lists that can't be read.
var ErrListing = errors.New("schema: lists not readable")

// ToListing returns the lists of a message that arrived now. With Since it holds the endpoints that differ
// only.
func ToListing(m *Listing, now, boot time.Time) (vetchtrail.Listing, error) {
	l := vetchtrail.Listing{Revision: m.GetRevision(), Seen: m.GetSeen(), At: now.Add(-time.Duration(m.GetAge()))}
	l.Endpoints = make([]*vetchtrail.Endpoint, 0, len(m.GetEndpoints()))
	for _, line := range m.GetEndpoints() {
		e, err := toListed(line, m.GetKinds(), now)
		if err != nil {
			return l, err
		}
		l.Endpoints = append(l.Endpoints, e)
	}
	var err error
	if l.Holds, err = ToHolds(m.GetHolds(), boot); err != nil {
		return l, errors.Wrap(err, "schema.ToListing")
	}
	for _, line := range m.GetHosts() {
		addr, err := netip.ParseAddrPort(line.GetPeers())
		if err != nil {
			return l, errors.Wrapf(err, "schema.ToListing: host %s", line.GetName())
		}
		l.Hosts = append(l.Hosts, vetchtrail.Host{
			Name: line.GetName(), Region: line.GetRegion(), DataCentre: line.GetDataCentre(), Peers: addr,
		})
	}
	return l, nil
}

func toListed(line *Listed, kinds []*ListedKind, now time.Time) (*vetchtrail.Endpoint, error) {
	if int(line.GetKind()) >= len(kinds) {
		return nil, errors.Wrapf(ErrListing, "endpoint %.64q is of kind %d of %d", line.GetName(), line.GetKind(), len(kinds))
	}
	kind := kinds[line.GetKind()]
	e := &vetchtrail.Endpoint{
		Name: line.GetName(), Instance: line.GetInstance(), Draining: line.GetDraining(), Fenced: line.GetFenced(),
		Service: kind.GetService(), Region: kind.GetRegion(), DataCentre: kind.GetDataCentre(), Slots: int(kind.GetSlots()),
		ColdUntil: after(line.GetColdRemaining(), now), ColdRate: kind.GetColdRate(), MoveToken: kind.GetMoveToken(),
		Born: Moment(line.GetBorn()),
	}
	if line.Instance == nil {
		e.Instance = e.Name
	}
	if err := e.Addr.UnmarshalBinary(line.GetAddress()); err != nil || !e.Addr.IsValid() || e.Name == "" {
		return nil, errors.Wrapf(ErrListing, "endpoint %.64q at an address of %d bytes: %v", e.Name, len(line.GetAddress()), err)
	}
	return e, nil
}
