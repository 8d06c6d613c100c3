package daemon

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
	"vetchtrail/process/clock"
	"vetchtrail/process/load"
	"vetchtrail/schema"
	"vetchtrail/version/changelog"
)

const (
	// proposeTimeout bounds the time that writing a proposed change to the store may take.
	proposeTimeout = 12 * time.Second
	// maxDecisions bounds the records in one reply to Decisions.
	maxDecisions = 1000
)

// operatorServer implements schema.DRPCOperatorsServer: it serves the calls of operators.
type operatorServer struct{ d *Daemon }

// applyChanges applies a peer's reply: the snapshot, if it is newer, and then the changes.
func (d *Daemon) applyChanges(reply *schema.ChangesReply) error {
	if err := d.changes.ApplySnapshot(reply.GetSnapshot()); err != nil {
		return err
	}
	for _, m := range reply.GetChanges() {
		c, err := schema.ToChange(m)
		if err != nil {
			return err
		}
		if err := d.changes.Apply([]vetchtrail.Change{c}); err != nil {
			return err
		}
	}
	return nil
}

// Propose implements schema.DRPCOperatorsServer.
func (o *operatorServer) Propose(ctx context.Context, q *schema.ProposeRequest) (*schema.ProposeReply, error) {
	c, err := schema.ToChange(q.GetChange())
	if err == nil {
		err = checkChange(c)
	}
	if err != nil {
		return &schema.ProposeReply{Result: schema.ProposeReply_INVALID, Text: err.Error()}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if q.GetDryRun() {
		return proposeReply(o.d.changes.Revision(), o.d.changes.Check(c)), nil
	}
	revision, err := o.d.changes.Propose(ctx, c)
	o.d.log.Info("change proposed", "id", c.ID, "author", c.Author, "reason", c.Reason, "revision", revision, "error", err)
	return proposeReply(revision, err), nil
}

// checkChange checks that a proposed change has an id, an author and edits.
func checkChange(c vetchtrail.Change) error {
	switch {
	case c.ID == "":
		return errors.New("change has no id")
	case c.Author == "":
		return errors.New("change has no author")
	case len(c.Edits) == 0:
		return errors.New("change has no edits")
	}
	return nil
}

// proposeReply returns the reply to a proposal with the given result.
func proposeReply(revision uint64, err error) *schema.ProposeReply {
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
		r.Result, r.Revision = schema.ProposeReply_CONFLICT, conflict.Current
	case errors.Is(err, changelog.ErrOutcomeUnknown):
		r.Result = schema.ProposeReply_UNKNOWN
	default:
		r.Result = schema.ProposeReply_UNAVAILABLE
	}
	r.Text = err.Error()
	return r
}

// Configuration implements schema.DRPCOperatorsServer.
func (o *operatorServer) Configuration(context.Context, *schema.ConfigurationRequest) (*schema.ConfigurationReply, error) {
	rules := o.d.changes.Rules()
	return &schema.ConfigurationReply{Snapshot: &schema.Snapshot{
		Revision: rules.Revision(), Edits: schema.FromEdits(rules.Edits()),
	}}, nil
}

// History implements schema.DRPCOperatorsServer.
func (o *operatorServer) History(_ context.Context, q *schema.HistoryRequest) (*schema.HistoryReply, error) {
	out := &schema.HistoryReply{}
	for _, c := range o.d.changes.Recent(q.GetFrom(), int(q.GetMost())) {
		out.Changes = append(out.Changes, schema.FromChange(c))
	}
	return out, nil
}

// Status implements schema.DRPCOperatorsServer.
func (o *operatorServer) Status(context.Context, *schema.StatusRequest) (*schema.StatusReply, error) {
	now := time.Now()
	out := &schema.StatusReply{Host: o.d.self.Name, Revision: o.d.changes.Revision(), StoreHeard: unixNanos(o.d.changes.LastStoreResponse())}
	for _, h := range o.d.membership.LocalHosts(now) {
		out.Hosts = append(out.Hosts, &schema.HostStatus{
			Name: h.Name, Region: h.Region, DataCentre: h.DataCentre, Callers: h.CallerAddr.String(), Peers: h.PeerAddr.String(),
			Revision: h.Revision, State: h.State.String(), Heard: unixNanos(h.LastSeen),
		})
	}
	for _, status := range o.d.table.EndpointStatuses(now) {
		e := endpointStatus(status)
		e.Permits = o.d.rateLimits.ReservationsUsed(status.Name)
		out.Endpoints = append(out.Endpoints, e)
	}
	slices.SortFunc(out.Endpoints, func(a, b *schema.EndpointStatus) int { return cmp.Compare(a.GetName(), b.GetName()) })
	for _, c := range o.d.membership.DataCentres(now) {
		out.DataCentres = append(out.DataCentres, &schema.DataCentreStatus{
			Name: c.Name, Region: c.Region, Revision: c.Revision, Heard: unixNanos(c.DigestTime), Reachable: c.Reachable,
		})
	}
	return out, nil
}

// endpointStatus converts the status of an endpoint to a message.
func endpointStatus(status load.EndpointStatus) *schema.EndpointStatus {
	state := "in-use"
	if status.View.Unavailable {
		state = string(status.View.UnavailableReason)
	}
	return &schema.EndpointStatus{
		Name: status.Name, Service: status.Service, Running: int32(status.Report.Running), Queued: int32(status.Report.Queued),
		Own: int32(status.View.InFlight), Limit: int32(status.View.InFlightLimit), State: state, Reported: unixNanos(status.Report.TakenAt),
		Limited: status.View.RateLimited, Rate: status.View.Rate, RateSince: unixNanos(status.RateLimitedSince),
		LeavingBy: string(status.LeavingBy), LeavingSince: unixNanos(status.LeavingSince), PausedUntil: unixNanos(status.PausedUntil),
	}
}

// unixNanos returns t in nanoseconds of Unix time; 0 for the zero time.
func unixNanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// Decisions implements schema.DRPCOperatorsServer.
func (o *operatorServer) Decisions(_ context.Context, q *schema.DecisionsRequest) (*schema.DecisionsReply, error) {
	limit := int(q.GetMost())
	if limit <= 0 || limit > maxDecisions {
		limit = maxDecisions
	}
	out := &schema.DecisionsReply{}
	for _, r := range o.d.journal.Recent(limit, func(r *vetchtrail.JournalRecord) bool { return matchesQuery(q, r) }) {
		out.Records = append(out.Records, toDecisionRecord(r))
	}
	return out, nil
}

// matchesQuery reports whether a record matches all fields that are set in q.
func matchesQuery(q *schema.DecisionsRequest, r *vetchtrail.JournalRecord) bool {
	return (q.GetRequest() == "" || q.GetRequest() == r.Request) &&
		(q.GetService() == "" || q.GetService() == r.Service) &&
		(q.GetOutcome() == "" || (r.Ended && q.GetOutcome() == r.Outcome.Kind.String()))
}

// toDecisionRecord converts a journal record, of a decision or of an outcome, to a message.
func toDecisionRecord(r vetchtrail.JournalRecord) *schema.DecisionRecord {
	m := &schema.DecisionRecord{
		Request: strings.ToValidUTF8(r.Request, "\uFFFD"), Service: r.Service, Workspace: r.Workspace, Home: r.Home, Revision: r.Revision,
		Hops: int32(r.Hops), Attempt: int32(r.Attempt), At: unixNanos(r.At),
	}
	if r.Ended {
		m.Outcome, m.Step, m.Target, m.Reason = r.Outcome.Kind.String(), string(r.Outcome.Step), r.Outcome.Peer, string(r.Outcome.Reason)
		if r.Outcome.RetryPlan != "" {
			m.RetryPlan, m.RetryIn = string(r.Outcome.RetryPlan), int64(r.Outcome.RetryAt.Sub(r.At.Add(r.Took)))
		}
		return m
	}
	m.Decision, m.Target, m.Reason = r.Decision.Kind.String(), r.Decision.Name, string(r.Decision.Reason)
	m.Cost, m.Looked = r.Decision.Cost, int32(r.Decision.Considered)
	for _, c := range r.Decision.Candidates[:r.Decision.Recorded] {
		m.Candidates = append(m.Candidates, &schema.Candidate{Name: c.Name, Cost: c.Cost, Reason: string(c.Reason)})
	}
	return m
}

// DrainHost implements schema.DRPCOperatorsServer.
func (o *operatorServer) DrainHost(context.Context, *schema.DrainHostRequest) (*schema.DrainHostReply, error) {
	o.d.Leave()
	return &schema.DrainHostReply{InFlight: int32(o.d.dispatcher.InFlight())}, nil
}

// Quarantine implements schema.DRPCOperatorsServer.
func (o *operatorServer) Quarantine(context.Context, *schema.QuarantineRequest) (*schema.QuarantineReply, error) {
	entries, suspects := o.d.quarantines.Entries()
	out := &schema.QuarantineReply{Holds: schema.FromQuarantineEntries(entries, clock.Boot())}
	for _, s := range suspects {
		out.Suspects = append(out.Suspects, &schema.Suspect{Digest: s.ContentHash[:], Part: s.Part, Ends: uint32(s.Crashes)})
	}
	return out, nil
}

// Release implements schema.DRPCOperatorsServer.
func (o *operatorServer) Release(_ context.Context, m *schema.ReleaseRequest) (*schema.ReleaseReply, error) {
	d, err := schema.ToContentHash(m.GetDigest())
	if err != nil {
		return nil, err
	}
	entry, ok := o.d.quarantines.Release(d)
	return &schema.ReleaseReply{Hold: schema.FromQuarantineEntry(entry, clock.Boot()), Released: ok}, nil
}
