package demand

import (
	"math"
	"slices"
	"time"

	"vetchtrail"
	"vetchtrail/request/admission"
	"vetchtrail/schema"
)

// HeartbeatDemands implements membership.Demands. A service without demand is sent without
// classes: the mean over the hosts includes those whose callers ask for nothing.
func (t *Table) HeartbeatDemands(now time.Time) []*schema.ServiceDemand {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*schema.ServiceDemand
	for name, s := range t.services {
		if !t.Measures(name, now) {
			continue
		}
		t.refresh(s, now)
		classes := s.toSend(s.meter.Append(nil, now), heartbeatClasses)
		out = append(out, &schema.ServiceDemand{Service: name, Classes: toMessages(classes)})
	}
	return out
}

// RecordHeartbeat implements membership.Demands.
func (t *Table) RecordHeartbeat(from string, demands []*schema.ServiceDemand, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, d := range demands {
		t.service(d.GetService()).hosts.Record(from, fromMessages(d.GetClasses()), now)
	}
}

// DigestDemand implements membership.Demands.
func (t *Table) DigestDemand(name string, now time.Time, d *schema.ServiceDigest) {
	if !t.Measures(name, now) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	t.refresh(s, now)
	d.Supply, d.Asked = toRate(s.supply.Rate), toRate(totalAsked(s.local))
	d.Demands = toMessages(s.toSend(slices.Clone(s.local), admission.MaxClasses))
}

// RecordDigest implements membership.Demands.
func (t *Table) RecordDigest(region, dataCentre string, d *schema.ServiceDigest, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, known := t.services[d.GetService()]
	if !known && len(d.GetDemands()) == 0 && d.GetSupply() == 0 {
		return
	}
	if !known {
		s = t.service(d.GetService())
	}
	if region != t.cfg.Region {
		s.recordRemote(region, dataCentre, d, at)
		return
	}
	s.dataCentres.Record(dataCentre, fromMessages(d.GetDemands()), at)
}

// toSend returns the classes to send of a measurement: without workspaces while the demand is far
// from the supply, as the workspaces' shares count only in a shortage.
func (s *service) toSend(classes []vetchtrail.ClassDemand, limit int) []vetchtrail.ClassDemand {
	f := s.controller.Figures()
	if f.Asked < detailShare*f.Supply || f.Supply == 0 {
		limit = 0
	}
	return admission.Fold(classes, limit)
}

func toMessages(classes []vetchtrail.ClassDemand) []*schema.ClassDemand {
	out := make([]*schema.ClassDemand, 0, len(classes))
	for _, c := range classes {
		out = append(out, &schema.ClassDemand{
			Priority: int32(c.Priority), Workspace: c.Workspace, Returned: c.Return, Asked: toRate(c.Asked), Workspaces: uint32(c.Weight),
		})
	}
	return out
}

func fromMessages(messages []*schema.ClassDemand) []vetchtrail.ClassDemand {
	out := make([]vetchtrail.ClassDemand, 0, min(len(messages), admission.MaxClasses))
	for _, m := range messages[:min(len(messages), admission.MaxClasses)] {
		out = append(out, vetchtrail.ClassDemand{
			Priority: int8(max(math.MinInt8, min(math.MaxInt8, m.GetPriority()))), Workspace: m.GetWorkspace(), Return: m.GetReturned(),
			Asked: float64(m.GetAsked()), Weight: float64(m.GetWorkspaces()),
		})
	}
	return out
}

// toRate rounds a rate to the range of a message.
func toRate(r float64) uint32 { return uint32(max(0, min(math.MaxUint32, math.Round(r)))) }
