package schema

import (
	"net/netip"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
)

// FromChange returns the message for a change of the configuration.
func FromChange(c vetchtrail.Change) *Change {
	return &Change{
		Id:       c.ID,
		Revision: c.Revision,
		Author:   c.Author,
		Reason:   c.Reason,
		At:       FromTime(c.At),
		Expect:   c.Expect,
		Edits:    FromEdits(c.Edits),
	}
}

// ToChange returns the change that a message contains.
func ToChange(m *Change) (vetchtrail.Change, error) {
	edits, err := ToEdits(m.GetEdits())
	if err != nil {
		return vetchtrail.Change{}, err
	}
	return vetchtrail.Change{
		ID:       m.GetId(),
		Revision: m.GetRevision(),
		Author:   m.GetAuthor(),
		Reason:   m.GetReason(),
		At:       ToTime(m.GetAt()),
		Expect:   m.GetExpect(),
		Edits:    edits,
	}, nil
}

// FromEdits returns the messages for edits.
func FromEdits(edits []vetchtrail.Edit) []*Edit {
	out := make([]*Edit, 0, len(edits))
	for _, e := range edits {
		out = append(out, fromEdit(e))
	}
	return out
}

// ToEdits returns the edits that messages contain.
func ToEdits(in []*Edit) ([]vetchtrail.Edit, error) {
	out := make([]vetchtrail.Edit, 0, len(in))
	for i, m := range in {
		e, err := toEdit(m)
		if err != nil {
			return nil, errors.Wrapf(err, "schema.ToEdits: edit %d", i+1)
		}
		out = append(out, e)
	}
	return out, nil
}

func fromEdit(e vetchtrail.Edit) *Edit {
	switch e := e.(type) {
	case vetchtrail.PutRegion:
		return &Edit{Edit: &Edit_PutRegion{PutRegion: &Region{
			Id: uint32(e.Region.ID), Name: e.Region.Name, DataCentres: e.Region.DataCentres,
		}}}
	case vetchtrail.PutService:
		return &Edit{Edit: &Edit_PutService{PutService: fromService(e.Service)}}
	case vetchtrail.PutEndpoint:
		return &Edit{Edit: &Edit_PutEndpoint{PutEndpoint: fromEndpoint(e.Endpoint)}}
	case vetchtrail.PutWorkspace:
		return &Edit{Edit: &Edit_PutWorkspace{PutWorkspace: fromWorkspace(e.Workspace)}}
	case vetchtrail.PutRoute:
		return &Edit{Edit: &Edit_PutRoute{PutRoute: fromRoute(e.Route)}}
	case vetchtrail.DrainEndpoint:
		return &Edit{Edit: &Edit_DrainEndpoint{DrainEndpoint: &DrainEndpoint{Endpoint: e.Endpoint, Draining: e.Draining}}}
	case vetchtrail.Remove:
		return &Edit{Edit: &Edit_Remove{Remove: &Remove{Kind: string(e.Kind), Name: e.Name}}}
	}
	return &Edit{}
}

func toEdit(m *Edit) (vetchtrail.Edit, error) {
	switch e := m.GetEdit().(type) {
	case *Edit_PutRegion:
		p := e.PutRegion
		if p.GetId() >= vetchtrail.MaxRegions {
			return nil, errors.Errorf("region id %d is above %d", p.GetId(), vetchtrail.MaxRegions-1)
		}
		return vetchtrail.PutRegion{Region: vetchtrail.Region{
			ID: vetchtrail.RegionID(p.GetId()), Name: p.GetName(), DataCentres: p.GetDataCentres(),
		}}, nil
	case *Edit_PutService:
		return vetchtrail.PutService{Service: toService(e.PutService)}, nil
	case *Edit_PutEndpoint:
		endpoint, err := toEndpoint(e.PutEndpoint)
		return vetchtrail.PutEndpoint{Endpoint: endpoint}, err
	case *Edit_PutWorkspace:
		w, err := toWorkspace(e.PutWorkspace)
		return vetchtrail.PutWorkspace{Workspace: w}, err
	case *Edit_PutRoute:
		return vetchtrail.PutRoute{Route: toRoute(e.PutRoute)}, nil
	case *Edit_DrainEndpoint:
		return vetchtrail.DrainEndpoint{Endpoint: e.DrainEndpoint.GetEndpoint(), Draining: e.DrainEndpoint.GetDraining()}, nil
	case *Edit_Remove:
		return vetchtrail.Remove{Kind: vetchtrail.ItemKind(e.Remove.GetKind()), Name: e.Remove.GetName()}, nil
	}
	return nil, errors.New("unknown kind of edit: it may come from a newer version")
}

func fromRoute(r vetchtrail.Route) *Route {
	m := &Route{
		Name: r.Name, Host: r.Host, PathPrefix: r.PathPrefix, Kind: uint32(r.Kind), Attempts: int32(r.Attempts),
		AnswerWithin: int64(r.AnswerWithin), Goal: int64(r.Goal), Rank: int32(r.Rank), Homes: r.Homes,
		Sticky: r.Sticky, Resumable: r.Resumable, Keyed: r.Keyed, Pause: int64(r.Pause),
	}
	for _, t := range r.Targets {
		m.Targets = append(m.Targets, &Target{Service: t.Service, Weight: int32(t.Weight)})
	}
	return m
}

func toRoute(m *Route) vetchtrail.Route {
	r := vetchtrail.Route{
		Name: m.GetName(), Host: m.GetHost(), PathPrefix: m.GetPathPrefix(), Kind: vetchtrail.RouteKind(m.GetKind()),
		Attempts: int(m.GetAttempts()), AnswerWithin: time.Duration(m.GetAnswerWithin()), Goal: time.Duration(m.GetGoal()),
		Rank: int8(m.GetRank()), Homes: m.GetHomes(), Sticky: m.GetSticky(), Resumable: m.GetResumable(), Keyed: m.GetKeyed(), Pause: time.Duration(m.GetPause()),
	}
	for _, t := range m.GetTargets() {
		r.Targets = append(r.Targets, vetchtrail.Target{Service: t.GetService(), Weight: int(t.GetWeight())})
	}
	return r
}

func fromWorkspace(w vetchtrail.Workspace) *Workspace {
	m := &Workspace{Name: w.Name, Home: w.Home, Allowed: w.Allowed, Priority: int32(w.Priority), Locked: w.Locked}
	for _, k := range w.Keys {
		m.KeyHashes = append(m.KeyHashes, k[:])
	}
	if w.Quota != (vetchtrail.Quota{}) {
		m.Quota = &Quota{Rate: w.Quota.Rate, Burst: w.Quota.Burst, Unit: uint32(w.Quota.Unit), Plain: w.Quota.Plain}
	}
	return m
}

func toWorkspace(m *Workspace) (vetchtrail.Workspace, error) {
	w := vetchtrail.Workspace{
		Name: m.GetName(), Home: m.GetHome(), Allowed: m.GetAllowed(), Priority: int8(m.GetPriority()), Locked: m.GetLocked(),
	}
	for _, k := range m.GetKeyHashes() {
		if len(k) != len(vetchtrail.KeyHash{}) {
			return w, errors.Errorf("workspace %s: a key hash has %d bytes", m.GetName(), len(k))
		}
		w.Keys = append(w.Keys, vetchtrail.KeyHash(k))
	}
	if q := m.GetQuota(); q != nil {
		w.Quota = vetchtrail.Quota{Rate: q.GetRate(), Burst: q.GetBurst(), Unit: vetchtrail.QuotaUnit(q.GetUnit()), Plain: q.GetPlain()}
	}
	return w, nil
}

func fromService(s vetchtrail.Service) *Service {
	return &Service{
		Name: s.Name, Kind: uint32(s.Kind), Allowed: s.Allowed,
		Weights:      &Weights{Tail: s.Weights.Tail, Away: s.Weights.Away, Cost: s.Weights.Cost, Read: s.Weights.Read},
		AnswerWithin: int64(s.AnswerWithin), QueueLimit: int32(s.QueueLimit), EventTokens: int32(s.EventTokens),
	}
}

func toService(m *Service) vetchtrail.Service {
	w := m.GetWeights()
	return vetchtrail.Service{
		Name: m.GetName(), Kind: vetchtrail.ServiceKind(m.GetKind()), Allowed: m.GetAllowed(),
		Weights:      vetchtrail.Weights{Tail: w.GetTail(), Away: w.GetAway(), Cost: w.GetCost(), Read: w.GetRead()},
		AnswerWithin: time.Duration(m.GetAnswerWithin()), QueueLimit: int(m.GetQueueLimit()), EventTokens: int(m.GetEventTokens()),
	}
}

func fromEndpoint(e vetchtrail.Endpoint) *Endpoint {
	return &Endpoint{
		Name: e.Name, Service: e.Service, Region: e.Region, DataCentre: e.DataCentre,
		Addr: e.Addr.String(), Slots: int32(e.Slots), Draining: e.Draining, Fenced: e.Fenced,
	}
}

func toEndpoint(m *Endpoint) (vetchtrail.Endpoint, error) {
	addr, err := netip.ParseAddrPort(m.GetAddr())
	if err != nil {
		return vetchtrail.Endpoint{}, errors.Wrapf(err, "address of endpoint %s", m.GetName())
	}
	return vetchtrail.Endpoint{
		Name: m.GetName(), Service: m.GetService(), Region: m.GetRegion(), DataCentre: m.GetDataCentre(),
		Addr: addr, Slots: int(m.GetSlots()), Draining: m.GetDraining(), Fenced: m.GetFenced(),
	}, nil
}

// FromRequest returns the message that forwards a request to another host.
// Deadlines are sent as the time that remains at now, since hosts' clocks differ.
// The hash of the workspace key is not sent: the receiver relies on the sender for
// the workspace.
func FromRequest(r *vetchtrail.Request, now time.Time) *ForwardRequest {
	m := &ForwardRequest{
		Id: []byte(r.ID), Service: r.Service, Kind: uint32(r.Kind), Workspace: r.Workspace,
		Home: uint32(r.HomeRegion), Entry: uint32(r.EntryRegion), Allowed: uint64(r.AllowedRegions),
		Priority: int32(r.Priority), Remaining: int64(r.Deadline.Sub(now)), Hops: int32(r.Hops), Revision: r.Revision,
		Method: r.Method, Path: []byte(r.Path), Header: FromHeader(r.Header), Body: r.Body,
		Stream: r.Stream, Tokens: int32(r.EstimatedTokens), Key: []byte(r.IdempotencyKey), Repeats: r.Repeatable,
		Resume: &StreamPosition{Endpoint: r.ResumeAt.Endpoint, Stream: r.ResumeAt.Stream, Offset: int32(r.ResumeAt.Offset)},
		Route:  r.Route, GoalRemaining: remaining(r.Goal, now), Prompt: fromPrompt(r.Prompt), Resumable: r.Resumable, LastEvent: []byte(r.LastEventID),
		Begun: r.ResponseStarted, PatienceRemaining: remaining(r.QueueUntil, now),
		AnswerTokens: uint32(r.ExpectedTokens), MostTokens: uint32(r.MaxTokens), Fresh: r.CallerCanRetry,
		BeginRemaining: remaining(r.FirstEventBy, now), Digest: contentHashOf(r), Final: r.Final, Avoid: r.Avoid,
	}
	if r.StreamVersion.Known {
		m.StreamVersion, m.Service, m.ContinuedService = FromStreamVersion(r.StreamVersion), "", r.Service
	}
	return m
}

// FromStreamVersion returns the field of a message for a version; nil: not known.
func FromStreamVersion(v vetchtrail.StreamVersion) *string {
	if !v.Known {
		return nil
	}
	return &v.Version
}

// ToStreamVersion returns the version in a field of a message.
func ToStreamVersion(version *string) vetchtrail.StreamVersion {
	if version == nil {
		return vetchtrail.StreamVersion{}
	}
	return vetchtrail.StreamVersion{Known: true, Version: *version}
}

// contentHashOf returns the content hash of a request if it is known already, so
// that the receiver need not compute it again.
func contentHashOf(r *vetchtrail.Request) []byte {
	hash, ok := r.KnownContentHash()
	if !ok {
		return nil
	}
	return hash[:]
}

func fromPrompt(in []vetchtrail.PromptPart) []*PromptPart {
	out := make([]*PromptPart, 0, len(in))
	for _, p := range in {
		out = append(out, &PromptPart{Id: p.ID, Tokens: uint32(p.Tokens)})
	}
	return out
}

func toPrompt(in []*PromptPart) []vetchtrail.PromptPart {
	out := make([]vetchtrail.PromptPart, 0, len(in))
	for _, p := range in {
		out = append(out, vetchtrail.PromptPart{ID: p.GetId(), Tokens: int(p.GetTokens())})
	}
	return out
}

// remaining returns the nanoseconds from now to t, or 0 for the zero time.
func remaining(t, now time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return int64(t.Sub(now))
}

// timeAfter reverses remaining: it returns the time some nanoseconds after now, or
// the zero time for 0.
func timeAfter(nanos int64, now time.Time) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(nanos))
}

// ToRequest returns the request of a message that arrived now. A content hash of
// the wrong length is ignored, and is then computed again when it is needed.
func ToRequest(m *ForwardRequest, now time.Time) (*vetchtrail.Request, error) {
	if m.GetHome() >= vetchtrail.MaxRegions || m.GetEntry() >= vetchtrail.MaxRegions {
		return nil, errors.New("schema.ToRequest: region id out of range")
	}
	resume := m.GetResume()
	r := &vetchtrail.Request{
		ID: string(m.GetId()), Service: m.GetService(), Kind: vetchtrail.ServiceKind(m.GetKind()), Workspace: m.GetWorkspace(),
		HomeRegion: vetchtrail.RegionID(m.GetHome()), EntryRegion: vetchtrail.RegionID(m.GetEntry()),
		AllowedRegions: vetchtrail.RegionSet(m.GetAllowed()), Priority: int8(m.GetPriority()),
		Deadline: now.Add(time.Duration(m.GetRemaining())), Hops: int(m.GetHops()), Revision: m.GetRevision(),
		Method: m.GetMethod(), Path: string(m.GetPath()), Header: ToHeader(m.GetHeader()), Body: m.GetBody(),
		Stream: m.GetStream(), EstimatedTokens: int(m.GetTokens()), IdempotencyKey: string(m.GetKey()), Repeatable: m.GetRepeats(),
		ResumeAt: vetchtrail.StreamPosition{Endpoint: resume.GetEndpoint(), Stream: resume.GetStream(), Offset: int(resume.GetOffset())},
		Route:    m.GetRoute(), Goal: timeAfter(m.GetGoalRemaining(), now), Prompt: toPrompt(m.GetPrompt()),
		Resumable: m.GetResumable(), LastEventID: string(m.GetLastEvent()),
		ResponseStarted: m.GetBegun(), QueueUntil: timeAfter(m.GetPatienceRemaining(), now),
		ExpectedTokens: int(m.GetAnswerTokens()), MaxTokens: int(m.GetMostTokens()), CallerCanRetry: m.GetFresh(),
		FirstEventBy: timeAfter(m.GetBeginRemaining(), now), Final: m.GetFinal(), Avoid: m.GetAvoid(), StreamVersion: ToStreamVersion(m.StreamVersion),
	}
	if r.StreamVersion.Known {
		r.Service = m.GetContinuedService()
	}
	if hash, err := ToContentHash(m.GetDigest()); err == nil {
		r.SetContentHash(hash)
	}
	return r, nil
}

// FromHeader returns the messages for header fields.
func FromHeader(in []vetchtrail.HeaderField) []*HeaderField {
	size := 0
	for _, f := range in {
		size += len(f.Value)
	}
	values := make([]byte, 0, size)
	fields, out := make([]HeaderField, len(in)), make([]*HeaderField, len(in))
	for i, f := range in {
		begin := len(values)
		values = append(values, f.Value...)
		fields[i].Name, fields[i].Value = f.Name, values[begin:len(values):len(values)]
		out[i] = &fields[i]
	}
	return out
}

// ToHeader returns the header fields that messages contain.
func ToHeader(in []*HeaderField) []vetchtrail.HeaderField {
	var all strings.Builder
	size := 0
	for _, f := range in {
		size += len(f.GetValue())
	}
	all.Grow(size)
	for _, f := range in {
		_, _ = all.Write(f.GetValue())
	}
	values := all.String()
	out := make([]vetchtrail.HeaderField, 0, len(in))
	for _, f := range in {
		n := len(f.GetValue())
		out = append(out, vetchtrail.HeaderField{Name: f.GetName(), Value: values[:n]})
		values = values[n:]
	}
	return out
}

// FromOutcome returns the message for the outcome of a forwarded request.
func FromOutcome(o vetchtrail.Outcome, now time.Time) *Outcome {
	m := &Outcome{
		Kind: uint32(o.Kind), Status: int32(o.Status), Step: string(o.Step), Peer: o.Peer,
		Reason: string(o.Reason), RetryAfter: remaining(o.RetryAt, now), Begun: o.ResponseStarted, Silent: o.EndpointSilent,
	}
	if o.Err != nil {
		m.Error = strings.ToValidUTF8(o.Err.Error(), "\uFFFD")
	}
	return m
}

// ToOutcome returns the outcome of a message that arrived now.
func ToOutcome(m *Outcome, now time.Time) vetchtrail.Outcome {
	o := vetchtrail.Outcome{
		Kind: vetchtrail.OutcomeKind(m.GetKind()), Status: int(m.GetStatus()), Step: vetchtrail.Step(m.GetStep()),
		Peer: m.GetPeer(), Reason: vetchtrail.Reason(m.GetReason()), RetryAt: timeAfter(m.GetRetryAfter(), now), ResponseStarted: m.GetBegun(),
		EndpointSilent: m.GetSilent(),
	}
	if m.GetError() != "" {
		o.Err = errors.New(m.GetError())
	}
	return o
}

// FromTime returns a time as messages contain it: Unix nanoseconds, or 0 for the
// zero time.
func FromTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// ToTime reverses FromTime.
func ToTime(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}
