package schema

import (
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
)

// FromListing returns the message for a listing, the platform's service discovery
// snapshot. Times are sent as their difference from now, and those of quarantine
// entries as their difference from bootNow: now by the boot clock
// (process/clock), which also runs while the host is suspended.
func FromListing(l *vetchtrail.Listing, now, bootNow time.Time) *Listing {
	m := &Listing{Revision: l.Revision, Seen: l.ConfirmedRevision, Age: int64(now.Sub(l.ReadAt)), Polled: PollAge(l, now)}
	m.setEndpoints(l.Endpoints, now)
	m.Holds = FromQuarantineEntries(l.Quarantined, bootNow)
	for _, h := range l.Hosts {
		m.Hosts = append(m.Hosts, &ListedHost{Name: h.Name, Region: h.Region, DataCentre: h.DataCentre, Peers: h.PeerAddr.String()})
	}
	return m
}

// PollAge returns the field polled of a listing.
func PollAge(l *vetchtrail.Listing, now time.Time) int64 {
	if !l.PolledAt.After(l.ReadAt) {
		return 0
	}
	return max(1, int64(now.Sub(l.PolledAt)))
}

// listedKind is a ListedKind in a form that can be a map key: the properties that
// many endpoints have in common.
type listedKind struct {
	service, region, dataCentre string
	slots                       int
	coldRate, moveToken         float64
	softwareVersion             string
}

// setEndpoints sets the endpoints and kinds of a message that has none. The
// properties that many endpoints have in common are sent once, as a kind, which
// makes the listing of 10,000 endpoints about a third as long.
func (x *Listing) setEndpoints(endpoints []*vetchtrail.Endpoint, now time.Time) {
	indexes := map[listedKind]uint32{}
	x.Endpoints = make([]*Listed, 0, len(endpoints))
	for _, e := range endpoints {
		kind := listedKind{e.Service, e.Region, e.DataCentre, e.Slots, e.ColdRate, e.MoveToken, e.SoftwareVersion}
		index, ok := indexes[kind]
		if !ok {
			index = uint32(len(x.Kinds))
			indexes[kind] = index
			x.Kinds = append(x.Kinds, &ListedKind{
				Service: e.Service, Region: e.Region, DataCentre: e.DataCentre, Slots: int32(e.Slots),
				ColdRate: e.ColdRate, MoveToken: e.MoveToken, SoftwareVersion: e.SoftwareVersion,
			})
		}
		addr, _ := e.Addr.MarshalBinary() // it never returns an error
		listed := &Listed{
			Name: e.Name, Kind: index, Address: addr, Draining: e.Draining, Fenced: e.Fenced,
			ColdRemaining: remaining(e.ColdUntil, now), Born: FromTime(e.Born),
		}
		if e.Instance != e.Name {
			listed.Instance = &e.Instance
		}
		x.Endpoints = append(x.Endpoints, listed)
	}
}

// ErrInvalidListing means that an endpoint of a listing message is malformed.
var ErrInvalidListing = errors.New("schema: invalid listing")

// ToListing returns the listing of a message that arrived now. If the message is a
// diff (Since is not 0), its endpoints are only those that differ from the listing
// of that revision.
func ToListing(m *Listing, now, bootNow time.Time) (vetchtrail.Listing, error) {
	l := vetchtrail.Listing{Revision: m.GetRevision(), ConfirmedRevision: m.GetSeen(), ReadAt: now.Add(-time.Duration(m.GetAge()))}
	if m.GetPolled() > 0 {
		l.PolledAt = now.Add(-time.Duration(m.GetPolled()))
	}
	l.Endpoints = make([]*vetchtrail.Endpoint, 0, len(m.GetEndpoints()))
	for _, listed := range m.GetEndpoints() {
		e, err := toListed(listed, m.GetKinds(), now)
		if err != nil {
			return l, err
		}
		l.Endpoints = append(l.Endpoints, e)
	}
	var err error
	if l.Quarantined, err = ToQuarantineEntries(m.GetHolds(), bootNow); err != nil {
		return l, errors.Wrap(err, "schema.ToListing")
	}
	for _, listed := range m.GetHosts() {
		addr, err := netip.ParseAddrPort(listed.GetPeers())
		if err != nil {
			return l, errors.Wrapf(err, "schema.ToListing: peer address of host %s", listed.GetName())
		}
		l.Hosts = append(l.Hosts, vetchtrail.Host{
			Name: listed.GetName(), Region: listed.GetRegion(), DataCentre: listed.GetDataCentre(), PeerAddr: addr,
		})
	}
	return l, nil
}

// toListed returns an endpoint of a listing message. An endpoint without an
// instance id in the message uses its name as the id.
func toListed(listed *Listed, kinds []*ListedKind, now time.Time) (*vetchtrail.Endpoint, error) {
	if int(listed.GetKind()) >= len(kinds) {
		return nil, errors.Wrapf(ErrInvalidListing, "endpoint %.64q refers to kind %d of %d", listed.GetName(), listed.GetKind(), len(kinds))
	}
	kind := kinds[listed.GetKind()]
	e := &vetchtrail.Endpoint{
		Name: listed.GetName(), Instance: listed.GetInstance(), Draining: listed.GetDraining(), Fenced: listed.GetFenced(),
		Service: kind.GetService(), Region: kind.GetRegion(), DataCentre: kind.GetDataCentre(), Slots: int(kind.GetSlots()),
		ColdUntil: timeAfter(listed.GetColdRemaining(), now), ColdRate: kind.GetColdRate(), MoveToken: kind.GetMoveToken(), SoftwareVersion: kind.GetSoftwareVersion(),
		Born: ToTime(listed.GetBorn()),
	}
	if listed.Instance == nil {
		e.Instance = e.Name
	}
	if err := e.Addr.UnmarshalBinary(listed.GetAddress()); err != nil || !e.Addr.IsValid() || e.Name == "" {
		return nil, errors.Wrapf(ErrInvalidListing, "endpoint %.64q with an address of %d bytes: %v", e.Name, len(listed.GetAddress()), err)
	}
	return e, nil
}
