package demand

import (
	"slices"
	"time"

	"vetchtrail"
	"vetchtrail/request/admission"
)

// aloneTime is how long a host that hears from nobody assumes that the others still run. It is
// the time after which membership forgets a silent host.
const aloneTime = time.Minute

// refresh computes the demand, the supply and the shares of a service, at most once in
// refreshInterval. The caller holds the lock.
func (t *Table) refresh(s *service, now time.Time) {
	if now.Sub(s.refreshedAt) < refreshInterval {
		return
	}
	s.refreshedAt = now
	t.cfg.Supplies.SetQueueIntervals(s.name, t.InForce(s.name, now))
	s.supply = t.cfg.Supplies.Supply(s.name, now)
	s.own = s.meter.Append(s.own[:0], now)
	local := t.dataCentreDemand(s, now)
	_, age := s.dataCentres.Heard(now)
	s.age = max(s.age, age)
	s.classes = s.dataCentres.Append(s.classes[:0], local, 1, now)
	t.reserve(s, now)
	t.weigh(s)
	s.scratch = append(s.scratch[:0], s.classes...)
	s.granted, s.grantedTo = t.grant(s, totalAsked(s.classes), now)
	s.controller.Update(admission.State{
		Classes: s.scratch, Supply: s.supply.Rate, Granted: s.granted, GrantedTo: s.grantedTo, Wait: s.supply.Wait, Objective: s.lowestObjective(now), Queued: s.supply.Queued,
	}, now)
	s.setGauges()
	t.logShortage(s, now)
}

// totalAsked returns the rate that all classes ask for.
func totalAsked(classes []vetchtrail.ClassDemand) float64 {
	sum := 0.0
	for _, c := range classes {
		sum += c.Asked
	}
	return sum
}

// dataCentreDemand returns the demand of this data centre's hosts: the mean of the measurements
// of this host and those that it heard from, times the number of live hosts. A host that hears
// from nobody keeps the number that it last knew for aloneTime.
func (t *Table) dataCentreDemand(s *service, now time.Time) []vetchtrail.ClassDemand {
	heard, age := s.hosts.Heard(now)
	live := t.cfg.LiveHosts()
	if heard > 0 {
		s.heardAt = now
	}
	if heard > 0 || live > s.liveHosts || now.Sub(s.heardAt) > aloneTime {
		s.liveHosts = live
	}
	s.age = age
	s.local = s.hosts.Append(s.local[:0], s.own, float64(s.liveHosts)/float64(heard+1), now)
	return s.local
}

// reserveAhead is how far ahead the planned returns count as demand. It is the window over which
// rates are measured, so that work in it is a rate.
const reserveAhead = admission.Window

// reserve raises the demand of returns to what is planned for the next reserveAhead, so that
// capacity is left for them when first attempts are admitted.
func (t *Table) reserve(s *service, now time.Time) {
	if t.cfg.Planned == nil {
		return
	}
	s.planned = t.cfg.Planned(s.name, s.regionHosts(t), now)
	for i := range s.planned {
		p := s.planned[i].Priority
		if slices.ContainsFunc(s.planned[:i], func(r vetchtrail.PlannedReturn) bool { return r.Priority == p }) {
			continue // counted with the first return of the priority
		}
		if missing := plannedRate(s.planned[i:], p, now) - returnRate(s.classes, p); missing > 0 {
			s.classes = append(s.classes, vetchtrail.ClassDemand{Priority: p, Return: true, Workspace: reservedWorkspace, Asked: missing})
		}
	}
}

// reservedWorkspace marks the class of returns that are planned but have not arrived. No
// workspace has this name.
const reservedWorkspace = "\x00planned"

// plannedRate returns the rate of the returns of a priority in the next reserveAhead.
func plannedRate(planned []vetchtrail.PlannedReturn, priority int8, now time.Time) float64 {
	sum := 0.0
	for _, p := range planned {
		if p.Priority == priority && p.At.Before(now.Add(reserveAhead)) {
			sum += p.Work
		}
	}
	return sum / reserveAhead.Seconds()
}

// returnRate returns the measured demand of the returns of a priority.
func returnRate(classes []vetchtrail.ClassDemand, priority int8) float64 {
	sum := 0.0
	for _, c := range classes {
		if c.Priority == priority && c.Return {
			sum += c.Asked
		}
	}
	return sum
}

// weigh sets the weights of the classes by the workspaces' quotas. One that is summed up of
// several workspaces has their number as weight until then.
func (t *Table) weigh(s *service) {
	sum, n := 0.0, 0
	for i := range s.classes {
		c := &s.classes[i]
		if c.Workspace == "" || c.Workspace == reservedWorkspace {
			continue
		}
		if c.Weight = t.quotaWeight(s, c.Workspace); c.Weight > 0 {
			sum += c.Weight
			n++
		}
	}
	usual := 1.0
	if n > 0 {
		usual = sum / float64(n)
	}
	for i := range s.classes {
		if c := &s.classes[i]; c.Workspace == "" || c.Workspace == reservedWorkspace {
			c.Weight = usual * max(1, c.Weight)
		}
	}
}

// quotaWeight returns the rate of a workspace's quota in tokens per second; 0: it has none, or
// the tokens of a request aren't known yet.
func (t *Table) quotaWeight(s *service, workspace string) float64 {
	q := t.cfg.Quota(workspace)
	if q.Unit == vetchtrail.UnitRequests {
		return q.Rate * s.supply.RequestWork
	}
	return q.Rate
}

// logShortage logs the beginning and the end of a shortage.
func (t *Table) logShortage(s *service, now time.Time) {
	f := s.controller.Figures()
	if f.Shortage.Active == s.shortage || !t.logLimiter.Allow(s.name, now) {
		return
	}
	s.shortage = f.Shortage.Active
	message := "shortage ends"
	if s.shortage {
		message = "shortage begins"
	}
	t.cfg.Log.Info(message, "service", s.name, "asked", int(f.Asked), "supply", int(f.Supply), "factor", f.Factor,
		"queued", s.supply.Queued, "wait", s.supply.Wait, "hosts", s.liveHosts, "age", s.age)
}
