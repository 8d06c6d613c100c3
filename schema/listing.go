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
	for _, e := range l.Endpoints {
		m.Endpoints = append(m.Endpoints, &Listed{
			Endpoint: fromEndpoint(e), Instance: e.Instance, ColdRemaining: left(e.ColdUntil, now), ColdRate: e.ColdRate,
			MoveToken: e.MoveToken, Born: Nanos(e.Born),
		})
	}
	m.Holds = FromHolds(l.Holds, boot)
	for _, h := range l.Hosts {
		m.Hosts = append(m.Hosts, &ListedHost{Name: h.Name, Region: h.Region, DataCentre: h.DataCentre, Peers: h.Peers.String()})
	}
	return m
}

// ToListing returns the lists of a message that arrived now.
func ToListing(m *Listing, now, boot time.Time) (vetchtrail.Listing, error) {
	l := vetchtrail.Listing{Revision: m.GetRevision(), Seen: m.GetSeen(), At: now.Add(-time.Duration(m.GetAge()))}
	for _, line := range m.GetEndpoints() {
		e, err := toEndpoint(line.GetEndpoint())
		if err != nil {
			return l, errors.Wrap(err, "schema.ToListing")
		}
		e.Instance, e.ColdUntil = line.GetInstance(), after(line.GetColdRemaining(), now)
		e.ColdRate, e.MoveToken, e.Born = line.GetColdRate(), line.GetMoveToken(), Moment(line.GetBorn())
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
