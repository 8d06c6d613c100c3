// Package policy holds the pure policies that decide where a request runs.
// None does I/O or reads a clock.
package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"vetchtrail"
)

const (
	// maxScored bounds the endpoints scored for one decision; a data centre of
	// the size designed for has 270 for all services together.
	maxScored = 512
	// boundedLoad is how far over the mean an endpoint's load may be and still
	// take the requests with its prefixes.
	boundedLoad = 1.25
	// cachedShare is how much of a prompt is taken to be cached at the endpoint
	// that its prefix belongs to.
	cachedShare = 0.7
	// batchDrag is the share of a request's service time that a full batch
	// adds to the time to its first token.
	batchDrag = 0.1
	// wholeShare is how much the whole answer weighs beside its first token.
	wholeShare = 0.1
	// spreadPerSecond is how much of a request's service time two candidates'
	// costs may differ by and still be taken as equal, for each second of the
	// reports' age. It keeps hosts with the same late reports from all
	// choosing the same endpoint.
	spreadPerSecond = 0.25
	minSpread       = 0.02
	maxSpread       = 0.5
	// staleAfter is the age after which a report says nothing.
	staleAfter = 10 * time.Second
	// awayMargin is the share by which another data centre must be better, so
	// that small errors of lagging digests don't send requests away.
	awayMargin = 0.8
	// refusedPenalty is what staying costs, in seconds, after an endpoint here
	// refused: where load is balanced, the next one is as full, and a second
	// refusal is final.
	refusedPenalty = 4.0
	// minRetry and maxRetry bound the time to come back that a refusal names.
	minRetry = 200 * time.Millisecond
	maxRetry = 30 * time.Second
)

// Weighted is the policy of the system: it weighs the predicted time to the
// first token, leaving the region, and engine time by the service's weights.
type Weighted struct{}

// scored is what is found on the first pass over the endpoints.
type scored struct {
	costs [maxScored]float64
	best  float64
	open  int // endpoints that may take a request now
	full  int // that may not for their limit only
	wait  float64
}

// Decide implements vetchtrail.Policy.
func (Weighted) Decide(now time.Time, r *vetchtrail.Request, v *vetchtrail.View, rnd *rand.Rand) vetchtrail.Decision {
	var d vetchtrail.Decision
	var s scored
	if !now.Before(r.Deadline) {
		return refuse(&d, vetchtrail.ReasonDeadline, now, 0)
	}
	score(&s, &d, r, v)
	remote, remoteCost := bestRemote(&d, r, v)
	if s.open > 0 && (remote < 0 || s.best*awayMargin <= remoteCost) {
		return runHere(&d, &s, now, r, v, rnd)
	}
	if remote >= 0 && (s.full == 0 || worthLeaving(&s, v, remoteCost)) {
		return runElsewhere(&d, remote, remoteCost, now, r, v)
	}
	if s.full > 0 {
		return waitHere(&d, &s, now, r, v)
	}
	return refuse(&d, refusal(r, v), now, minRetry)
}

// score finds the cost of each endpoint.
func score(s *scored, d *vetchtrail.Decision, r *vetchtrail.Request, v *vetchtrail.View) {
	s.best, s.wait = math.Inf(1), math.Inf(1)
	affine := affineEndpoint(r, v)
	for i := range min(len(v.Endpoints), maxScored) {
		e := &v.Endpoints[i]
		s.costs[i] = math.Inf(1)
		if why := unfit(e, r, v); why != "" {
			d.Note(e.Name, 0, why)
			continue
		}
		wait := waitAt(e)
		if e.Own >= e.Limit {
			s.full++
			s.wait = min(s.wait, wait+e.Service/float64(max(e.Slots, 1)))
			d.Note(e.Name, wait, vetchtrail.ReasonFull)
			continue
		}
		s.open++
		s.costs[i] = costOf(e, r, v, wait, i == affine)
		if v.Refused {
			s.costs[i] += refusedPenalty
		}
		s.best = min(s.best, s.costs[i])
	}
}

// unfit says why an endpoint can't be used at all; empty: it can.
func unfit(e *vetchtrail.EndpointView, r *vetchtrail.Request, v *vetchtrail.View) vetchtrail.Reason {
	switch {
	case !r.Allowed.Has(e.Region):
		return vetchtrail.ReasonResidency
	case e.Away:
		return e.Why
	case len(v.Excluded) > 0 && slices.Contains(v.Excluded, e.Name):
		return vetchtrail.ReasonExcluded
	}
	return ""
}

// load estimates the requests at an endpoint: its late report, corrected by
// what this host has started and finished since.
func load(e *vetchtrail.EndpointView) float64 {
	if e.Age < 0 || e.Age > staleAfter {
		return float64(e.Own)
	}
	return math.Max(float64(e.Own), float64(e.Running+e.Queued+e.OwnSince))
}

// waitAt predicts the seconds until an endpoint starts one more request.
func waitAt(e *vetchtrail.EndpointView) float64 {
	slots := float64(max(e.Slots, 1))
	n := load(e)
	wait := e.Service * batchDrag * math.Min(n/slots, 1)
	if n >= slots {
		wait += (n - slots + 1) * e.Service / slots
	}
	return wait
}

func costOf(e *vetchtrail.EndpointView, r *vetchtrail.Request, v *vetchtrail.View, wait float64, affine bool) float64 {
	uncached := float64(r.Tokens)
	if affine {
		uncached *= 1 - cachedShare
	}
	prefill := uncached * e.Prefill
	first := wait + prefill + e.Service*wholeShare
	return v.Weights.Tail*first + v.Weights.Cost*(prefill+e.Service)
}

// affineEndpoint returns the endpoint that the request's prefix belongs to, by
// rendezvous hashing over those whose load is bounded; -1: none.
func affineEndpoint(r *vetchtrail.Request, v *vetchtrail.View) int {
	if r.Prefix == 0 {
		return -1
	}
	var sum float64
	n := 0
	for i := range v.Endpoints {
		if unfit(&v.Endpoints[i], r, v) == "" {
			sum += load(&v.Endpoints[i])
			n++
		}
	}
	bound := math.Ceil(boundedLoad * (sum + 1) / float64(max(n, 1)))
	best, at := uint64(0), -1
	for i := range v.Endpoints {
		e := &v.Endpoints[i]
		if h := mix(r.Prefix ^ e.Affine); (at < 0 || h > best) && unfit(e, r, v) == "" && load(e) < bound {
			best, at = h, i
		}
	}
	return at
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// runHere draws one of the endpoints whose costs are about the best.
func runHere(d *vetchtrail.Decision, s *scored, now time.Time, r *vetchtrail.Request, v *vetchtrail.View, rnd *rand.Rand) vetchtrail.Decision {
	chosen, total := -1, 0.0
	for i := range min(len(v.Endpoints), maxScored) {
		if math.IsInf(s.costs[i], 1) {
			continue
		}
		weight := math.Exp((s.best - s.costs[i]) / spread(&v.Endpoints[i], v.Weights.Tail))
		total += weight
		if rnd.Float64()*total < weight {
			chosen = i
		}
	}
	e := &v.Endpoints[chosen]
	for i := range min(len(v.Endpoints), maxScored) {
		if i != chosen && !math.IsInf(s.costs[i], 1) {
			d.Note(v.Endpoints[i].Name, s.costs[i], vetchtrail.ReasonCost)
		}
	}
	d.Wait = seconds(waitAt(e) + float64(r.Tokens)*e.Prefill)
	if now.Add(d.Wait).After(r.Deadline) {
		return refuse(d, vetchtrail.ReasonDeadline, now, d.Wait)
	}
	d.Kind, d.Target, d.Name, d.Cost = vetchtrail.RunHere, chosen, e.Name, s.costs[chosen]
	d.Reason = vetchtrail.ReasonChosen
	return *d
}

func spread(e *vetchtrail.EndpointView, tail float64) float64 {
	share := spreadPerSecond * e.Age.Seconds()
	share = math.Min(math.Max(share, minSpread), maxSpread)
	return math.Max(share*e.Service*math.Max(tail, 0.1), 1e-6)
}

// bestRemote returns the data centre with the lowest cost; -1: none.
func bestRemote(d *vetchtrail.Decision, r *vetchtrail.Request, v *vetchtrail.View) (at int, cost float64) {
	at, cost = -1, math.Inf(1)
	for i := range v.Remotes {
		m := &v.Remotes[i]
		if why := unfitRemote(m, r, v); why != "" {
			d.Note(m.DataCentre, 0, why)
			continue
		}
		c := v.Weights.Tail*(2*m.Delay.Seconds()+m.Wait) + awayCost(m, v)
		d.Note(m.DataCentre, c, vetchtrail.ReasonCost)
		if c < cost {
			at, cost = i, c
		}
	}
	return at, cost
}

// awayCost is what leaving the region costs; going to another data centre of
// the same region is not leaving it.
func awayCost(m *vetchtrail.RemoteView, v *vetchtrail.View) float64 {
	if m.Region == v.Region {
		return 0
	}
	return v.Weights.Away
}

func unfitRemote(m *vetchtrail.RemoteView, r *vetchtrail.Request, v *vetchtrail.View) vetchtrail.Reason {
	switch {
	case r.Hops >= vetchtrail.MaxHops:
		return vetchtrail.ReasonHops
	case !r.Allowed.Has(m.Region):
		return vetchtrail.ReasonResidency
	case !m.Reachable:
		return vetchtrail.ReasonUnreachable
	case m.Age > staleAfter:
		return vetchtrail.ReasonStale
	case len(v.Excluded) > 0 && slices.Contains(v.Excluded, m.DataCentre):
		return vetchtrail.ReasonExcluded
	case float64(m.Own) >= float64(m.Free)*m.Warmth:
		return vetchtrail.ReasonFull
	}
	return ""
}

// worthLeaving compares waiting here with going elsewhere.
func worthLeaving(s *scored, v *vetchtrail.View, remoteCost float64) bool {
	return s.open > 0 || v.Weights.Tail*s.wait*awayMargin > remoteCost
}

func runElsewhere(d *vetchtrail.Decision, at int, cost float64, now time.Time, r *vetchtrail.Request, v *vetchtrail.View) vetchtrail.Decision {
	m := &v.Remotes[at]
	d.Wait = 2*m.Delay + seconds(m.Wait)
	if now.Add(d.Wait).After(r.Deadline) {
		return refuse(d, vetchtrail.ReasonDeadline, now, d.Wait)
	}
	d.Kind, d.Target, d.Name, d.Cost = vetchtrail.RunElsewhere, at, m.DataCentre, cost
	d.Reason = vetchtrail.ReasonChosen
	return *d
}

func waitHere(d *vetchtrail.Decision, s *scored, now time.Time, r *vetchtrail.Request, v *vetchtrail.View) vetchtrail.Decision {
	d.Wait = seconds(s.wait)
	if now.Add(d.Wait).After(r.Deadline) {
		return refuse(d, vetchtrail.ReasonDeadline, now, d.Wait)
	}
	d.Kind, d.Reason, d.Cost = vetchtrail.WaitHere, vetchtrail.ReasonFull, v.Weights.Tail*s.wait
	return *d
}

// refusal finds the reason that a caller is told when nothing is fit.
func refusal(r *vetchtrail.Request, v *vetchtrail.View) vetchtrail.Reason {
	if r.Allowed == 0 {
		return vetchtrail.ReasonResidency
	}
	for i := range v.Endpoints {
		if r.Allowed.Has(v.Endpoints[i].Region) {
			return vetchtrail.ReasonOverCapacity
		}
	}
	for i := range v.Remotes {
		if r.Allowed.Has(v.Remotes[i].Region) {
			return vetchtrail.ReasonUnreachable
		}
	}
	return vetchtrail.ReasonNoEndpoint
}

func refuse(d *vetchtrail.Decision, why vetchtrail.Reason, now time.Time, after time.Duration) vetchtrail.Decision {
	d.Kind, d.Reason = vetchtrail.Refuse, why
	d.RetryAt = now.Add(min(max(after, minRetry), maxRetry))
	return *d
}

func seconds(s float64) time.Duration {
	if math.IsInf(s, 1) || s > maxRetry.Seconds()*10 {
		return maxRetry * 10
	}
	return time.Duration(s * float64(time.Second))
}
