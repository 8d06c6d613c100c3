package daemon

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
	"vetchtrail/process/clock"
	"vetchtrail/process/load"
	"vetchtrail/schema"
	"vetchtrail/version/changelog"
)

const (
	proposeTime   = 12 * time.Second
	mostDecisions = 1000
)

// operators answers the operators' calls of the schema.
type operators struct{ d *Daemon }

func (d *Daemon) learn(reply *schema.ChangesReply) error {
	if err := d.changes.LearnSnapshot(reply.GetSnapshot()); err != nil {
		return err
	}
	for _, m := range reply.GetChanges() {
		c, err := schema.ToChange(m)
		if err != nil {
			return err
		}
		if err := d.changes.Learn([]vetchtrail.Change{c}); err != nil {
			return err
		}
	}
	return nil
}

// Propose implements schema.DRPCOperatorsServer.
func (o *operators) Propose(ctx context.Context, q *schema.ProposeRequest) (*schema.ProposeReply, error) {
	c, err := schema.ToChange(q.GetChange())
	if err == nil {
		err = checkChange(c)
	}
	if err != nil {
		return &schema.ProposeReply{Result: schema.ProposeReply_INVALID, Text: err.Error()}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTime)
	defer cancel()
	if q.GetDryRun() {
		return reply(o.d.changes.Revision(), o.d.changes.Check(c)), nil
	}
	revision, err := o.d.changes.Propose(ctx, c)
	o.d.log.Info("change proposed", "id", c.ID, "author", c.Author, "reason", c.Reason, "revision", revision, "error", err)
	return reply(revision, err), nil
}

func checkChange(c vetchtrail.Change) error {
	switch {
	case c.ID == "":
		return errors.New("the change has no id")
	case c.Author == "":
		return errors.New("the change has no author")
	case len(c.Edits) == 0:
		return errors.New("the change has no edits")
	}
	return nil
}

// reply tells the end of a proposal.
func reply(revision uint64, err error) *schema.ProposeReply {
	var invalid *vetchtrail.ChangeError
	var conflict *vetchtrail.ConflictError
	r := &schema.ProposeReply{Revision: revision}
	switch {
	case err == nil:
		r.Result = schema.ProposeReply_ACCEPTED
		return r
	case errors.As(err, &invalid):
		r.Result = schema.ProposeReply_INVALID
	case errors.As(err, &conflict):
		r.Result, r.Revision = schema.ProposeReply_CONFLICT, conflict.Now
	case errors.Is(err, changelog.ErrUnsettled):
		r.Result = schema.ProposeReply_UNKNOWN
	default:
		r.Result = schema.ProposeReply_UNAVAILABLE
	}
	r.Text = err.Error()
	return r
}

// Configuration implements schema.DRPCOperatorsServer.
func (o *operators) Configuration(context.Context, *schema.ConfigurationRequest) (*schema.ConfigurationReply, error) {
	held := o.d.changes.Rules()
	return &schema.ConfigurationReply{Snapshot: &schema.Snapshot{
		Revision: held.Revision(), Edits: schema.FromEdits(held.Edits()),
	}}, nil
}

// History implements schema.DRPCOperatorsServer.
func (o *operators) History(_ context.Context, q *schema.HistoryRequest) (*schema.HistoryReply, error) {
	out := &schema.HistoryReply{}
	for _, c := range o.d.changes.Recent(q.GetFrom(), int(q.GetMost())) {
		out.Changes = append(out.Changes, schema.FromChange(c))
	}
	return out, nil
}

// Status implements schema.DRPCOperatorsServer.
func (o *operators) Status(context.Context, *schema.StatusRequest) (*schema.StatusReply, error) {
	now := time.Now()
	out := &schema.StatusReply{Host: o.d.self.Name, Revision: o.d.changes.Revision(), StoreHeard: stamp(o.d.changes.StoreHeard())}
	for _, h := range o.d.membership.Hosts(now) {
		out.Hosts = append(out.Hosts, &schema.HostStatus{
			Name: h.Name, Region: h.Region, DataCentre: h.DataCentre, Callers: h.Callers.String(), Peers: h.Peers.String(),
			Revision: h.Revision, State: h.State.String(), Heard: stamp(h.Heard),
		})
	}
	for _, row := range o.d.table.Rows(now) {
		e := endpointStatus(row)
		e.Permits = o.d.rateLimits.Sent(row.Name)
		out.Endpoints = append(out.Endpoints, e)
	}
	slices.SortFunc(out.Endpoints, func(a, b *schema.EndpointStatus) int { return cmp.Compare(a.GetName(), b.GetName()) })
	for _, c := range o.d.membership.DataCentres(now) {
		out.DataCentres = append(out.DataCentres, &schema.DataCentreStatus{
			Name: c.Name, Region: c.Region, Revision: c.Revision, Heard: stamp(c.Heard), Reachable: c.Reachable,
		})
	}
	return out, nil
}

func endpointStatus(row load.Row) *schema.EndpointStatus {
	state := "in-use"
	if row.View.Away {
		state = string(row.View.Why)
	}
	return &schema.EndpointStatus{
		Name: row.Name, Service: row.Service, Running: int32(row.Report.Running), Queued: int32(row.Report.Queued),
		Own: int32(row.View.Own), Limit: int32(row.View.Limit), State: state, Reported: stamp(row.Report.At),
		Limited: row.View.Limited, Rate: row.View.Rate, RateSince: stamp(row.LimitedSince),
		LeavingBy: string(row.LeavingBy), LeavingSince: stamp(row.LeavingSince), PausedUntil: stamp(row.PausedUntil),
	}
}

func stamp(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// Decisions implements schema.DRPCOperatorsServer.
func (o *operators) Decisions(_ context.Context, q *schema.DecisionsRequest) (*schema.DecisionsReply, error) {
	most := int(q.GetMost())
	if most <= 0 || most > mostDecisions {
		most = mostDecisions
	}
	out := &schema.DecisionsReply{}
	for _, r := range o.d.journal.Recent(most, func(r *vetchtrail.Record) bool { return matches(q, r) }) {
		out.Records = append(out.Records, recordOf(r))
	}
	return out, nil
}

func matches(q *schema.DecisionsRequest, r *vetchtrail.Record) bool {
	return (q.GetRequest() == "" || q.GetRequest() == r.Request) &&
		(q.GetService() == "" || q.GetService() == r.Service) &&
		(q.GetOutcome() == "" || (r.Ended && q.GetOutcome() == r.Outcome.Kind.String()))
}

func recordOf(r vetchtrail.Record) *schema.DecisionRecord {
	m := &schema.DecisionRecord{
		Request: r.Request, Service: r.Service, Workspace: r.Workspace, Home: r.Home, Revision: r.Revision,
		Hops: int32(r.Hops), Attempt: int32(r.Attempt), At: stamp(r.At),
	}
	if r.Ended {
		m.Outcome, m.Step, m.Target, m.Reason = r.Outcome.Kind.String(), string(r.Outcome.Step), r.Outcome.Peer, string(r.Outcome.Reason)
		return m
	}
	m.Decision, m.Target, m.Reason = r.Decision.Kind.String(), r.Decision.Name, string(r.Decision.Reason)
	m.Cost, m.Looked = r.Decision.Cost, int32(r.Decision.Looked)
	for _, c := range r.Decision.Candidates[:r.Decision.Kept] {
		m.Candidates = append(m.Candidates, &schema.Candidate{Name: c.Name, Cost: c.Cost, Reason: string(c.Reason)})
	}
	return m
}

// DrainHost implements schema.DRPCOperatorsServer.
func (o *operators) DrainHost(context.Context, *schema.DrainHostRequest) (*schema.DrainHostReply, error) {
	o.d.Leave()
	return &schema.DrainHostReply{InFlight: int32(o.d.dispatcher.InFlight())}, nil
}

// Quarantine implements schema.DRPCOperatorsServer.
func (o *operators) Quarantine(context.Context, *schema.QuarantineRequest) (*schema.QuarantineReply, error) {
	holds, suspects := o.d.quarantines.Holds()
	out := &schema.QuarantineReply{Holds: schema.FromHolds(holds, clock.Boot())}
	for _, s := range suspects {
		out.Suspects = append(out.Suspects, &schema.Suspect{Digest: s.Digest[:], Ends: uint32(s.Ends)})
	}
	return out, nil
}

// Release implements schema.DRPCOperatorsServer.
func (o *operators) Release(_ context.Context, m *schema.ReleaseRequest) (*schema.ReleaseReply, error) {
	d, err := schema.ToDigest(m.GetDigest())
	if err != nil {
		return nil, err
	}
	hold, ok := o.d.quarantines.Release(d)
	return &schema.ReleaseReply{Hold: schema.FromHold(hold, clock.Boot()), Released: ok}, nil
}
