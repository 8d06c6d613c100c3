package dispatch

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/request/idempotency"
	"vetchtrail/version/rules"
)

// fakeQuarantine quarantines every request after a number of checks, and records the
// attempts that are reported to it.
type fakeQuarantine struct {
	passFirst int // checks that find the request not quarantined
	checks    int
	lost      []string // endpoints of attempts reported as lost
	answered  int      // attempts reported as answered
}

func (q *fakeQuarantine) Quarantined(r *vetchtrail.Request) (vetchtrail.QuarantineEntry, bool) {
	q.checks++
	return vetchtrail.QuarantineEntry{ContentHash: r.ContentHash(), Crashes: 3}, q.checks > q.passFirst
}

func (q *fakeQuarantine) ResponseLost(e vetchtrail.Endpoint, _ *vetchtrail.Request, _ vetchtrail.Outcome, _ vetchtrail.Timing) {
	q.lost = append(q.lost, e.Name)
}

func (q *fakeQuarantine) Answered(*vetchtrail.Request, vetchtrail.Timing) { q.answered++ }

// TestQuarantinedRefused checks that a quarantined request reaches no endpoint on any
// path, and is refused without a retry time. A path without the check would let a poison
// request crash further endpoints.
func TestQuarantinedRefused(t *testing.T) {
	repeatable := func(r *vetchtrail.Request) { r.Repeatable, r.MaxAttempts = true, 2 }
	cases := map[string]struct {
		modify    func(*vetchtrail.Request)
		passFirst int
		replies   []reply
		kind      vetchtrail.OutcomeKind
		status    int
		reason    vetchtrail.Reason
		reached   int
		lost      int
		answered  int
	}{
		"on arrival": {nil, 0, nil, vetchtrail.OutcomeNotRun, 503, vetchtrail.ReasonQuarantined, 0, 0, 0},
		"forwarded":  {func(r *vetchtrail.Request) { r.Hops, r.AllowedRegions = 1, vetchtrail.AllRegions }, 0, nil, vetchtrail.OutcomeNotRun, 503, vetchtrail.ReasonQuarantined, 0, 0, 0},
		"resumed stream": {func(r *vetchtrail.Request) { r.ResumeAt = vetchtrail.StreamPosition{Endpoint: "1", Stream: "x"} }, 0, nil,
			vetchtrail.OutcomeNotRun, 503, vetchtrail.ReasonQuarantined, 0, 0, 0},
		"key of another issuer":   {func(r *vetchtrail.Request) { r.IdempotencyKey = "v1.other.1.9999999999.00" }, 0, nil, vetchtrail.OutcomeUnknown, 503, vetchtrail.ReasonQuarantined, 0, 0, 0},
		"before a second attempt": {repeatable, 1, []reply{breakAfter("")}, vetchtrail.OutcomeUnknown, 502, vetchtrail.ReasonResponseBroken, 1, 1, 0},
		"not quarantined":         {repeatable, 9, []reply{breakAfter(""), respondWith("ok")}, vetchtrail.OutcomeAnswered, 200, "", 2, 1, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			targets, q := &scriptedTargets{replies: c.replies}, &fakeQuarantine{passFirst: c.passFirst}
			d := newDispatcher(t, targets, 2)
			d.cfg.Quarantine = q
			r := &vetchtrail.Request{ID: "x", Service: "s", Route: "r", MaxAttempts: 1, Deadline: time.Now().Add(10 * time.Second)}
			if c.modify != nil {
				c.modify(r)
			}
			var got responseRecorder
			o := d.Run(context.Background(), r, &got)
			assert.Equal(t, o.Kind, c.kind, "%v", o)
			assert.Equal(t, o.Status, c.status)
			assert.Equal(t, o.Reason, c.reason)
			assert.Assert(t, o.RetryAt.IsZero(), "a quarantined request got a time to retry")
			assert.Equal(t, len(targets.called), c.reached)
			assert.Equal(t, len(q.lost), c.lost)
			assert.Equal(t, q.answered, c.answered)
		})
	}
}

// enableQueue replaces the configuration by one in which requests may queue for the service.
// Only region a may run them.
func enableQueue(t *testing.T, d *Dispatcher) {
	t.Helper()
	ruleSet, err := rules.Restore([]vetchtrail.Edit{
		vetchtrail.PutRegion{Region: vetchtrail.Region{ID: 0, Name: "a", DataCentres: []string{"a-1"}}},
		vetchtrail.PutService{Service: vetchtrail.Service{Name: "s", Allowed: []string{"a"}, AnswerWithin: time.Minute, QueueLimit: 4}},
		vetchtrail.PutRoute{Route: vetchtrail.Route{
			Name: "r", Host: "h", PathPrefix: "/", Attempts: 1, AnswerWithin: time.Minute, Targets: []vetchtrail.Target{{Service: "s", Weight: 1}},
		}},
	}, 8)
	assert.NilError(t, err)
	d.cfg.Rules = func() *rules.Rules { return ruleSet }
}

// TestQuarantinedWhileQueued checks that a request which is quarantined while it waits
// for capacity is refused at the head of the queue. The check on arrival is too early
// for that.
func TestQuarantinedWhileQueued(t *testing.T) {
	targets, q := &scriptedTargets{}, &fakeQuarantine{passFirst: 1}
	d := newDispatcher(t, targets, 1)
	d.cfg.Quarantine = q
	enableQueue(t, d)
	for i := range 8 {
		d.cfg.Endpoints.Acquire("1", &vetchtrail.Request{ID: string(rune('a' + i)), Service: "s"}, time.Now())
	}
	r := &vetchtrail.Request{ID: "x", Service: "s", Route: "r", MaxAttempts: 1, Hops: 1, AllowedRegions: vetchtrail.AllRegions, Deadline: time.Now().Add(5 * time.Second)}
	time.AfterFunc(20*time.Millisecond, func() { d.cfg.Endpoints.Release("1", vetchtrail.Observation{Request: "a"}, time.Now()) })
	var got responseRecorder
	o := d.Run(context.Background(), r, &got)
	assert.Equal(t, o.Reason, vetchtrail.ReasonQuarantined, "%v", o)
	assert.Equal(t, len(targets.called), 0)
}

// TestQuarantinedBeforeSend checks that a request which is quarantined after its endpoint
// was chosen is refused just before its first byte is sent.
func TestQuarantinedBeforeSend(t *testing.T) {
	d := newDispatcher(t, &scriptedTargets{}, 1)
	d.cfg.Quarantine = &fakeQuarantine{}
	r := &vetchtrail.Request{ID: "x", Service: "s", Route: "r", AllowedRegions: vetchtrail.AllRegions, Deadline: time.Now().Add(time.Second)}
	e, _ := d.cfg.Endpoints.Find("1")
	assert.Equal(t, d.CheckBeforeSend(e, r), vetchtrail.ReasonQuarantined)
}

// TestQuarantinedAfterRun checks that a quarantined request with an idempotency key is
// not reported as not run if an earlier request with the key may have run. Otherwise its
// caller would consider it safe to send the request again.
func TestQuarantinedAfterRun(t *testing.T) {
	targets := &scriptedTargets{replies: []reply{breakAfter("")}}
	d := newDispatcher(t, targets, 1)
	q := &fakeQuarantine{passFirst: 9}
	d.cfg.Quarantine = q
	d.cfg.IssuedKeys = idempotency.New(idempotency.Config{Host: "self", KeyTime: time.Minute, MaxBytes: 1 << 20})
	key := d.cfg.IssuedKeys.Issue(time.Now()).String()
	send := func() vetchtrail.Outcome {
		r := &vetchtrail.Request{ID: "x", Service: "s", Route: "r", MaxAttempts: 1, IdempotencyKey: key, Deadline: time.Now().Add(5 * time.Second)}
		var got responseRecorder
		return d.Run(context.Background(), r, &got)
	}
	first := send()
	assert.Equal(t, first.Kind, vetchtrail.OutcomeUnknown, "%v", first)
	q.passFirst = 0
	o := send()
	assert.Equal(t, o.Kind, vetchtrail.OutcomeUnknown, "the first request may have run: %v", o)
	assert.Equal(t, o.Reason, vetchtrail.ReasonQuarantined)
	assert.Equal(t, len(targets.called), 1)
}

// TestEvidenceOfAnswer guards against a poison request, or a part of its prompt, that counts as sound by a response that shows nothing about it.
func TestEvidenceOfAnswer(t *testing.T) {
	answered := func(status int, endUnmarked bool) reply {
		return func(_ *vetchtrail.Request, w vetchtrail.ResponseWriter) vetchtrail.Outcome {
			_ = w.Begin(status, nil)
			return vetchtrail.Outcome{Kind: vetchtrail.OutcomeAnswered, Status: status, Step: vetchtrail.StepResponse, ResponseStarted: true, EndUnmarked: endUnmarked}
		}
	}
	cases := map[string]struct {
		reply    reply
		answered int
		lost     int
	}{
		"whole response":            {answered(200, false), 1, 0},
		"end of the connection":     {answered(200, true), 0, 1},
		"failure of the endpoint":   {answered(500, false), 0, 0},
		"rejected by the endpoint":  {answered(400, false), 0, 0},
		"failure, unmarked end too": {answered(500, true), 0, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := &fakeQuarantine{passFirst: 9}
			d := newDispatcher(t, &scriptedTargets{replies: []reply{c.reply}}, 1)
			d.cfg.Quarantine = q
			r := &vetchtrail.Request{ID: "x", Service: "s", Route: "r", MaxAttempts: 1, Deadline: time.Now().Add(time.Second)}
			_ = d.Run(context.Background(), r, &responseRecorder{})
			assert.Equal(t, q.answered, c.answered)
			assert.Equal(t, len(q.lost), c.lost)
		})
	}
}
