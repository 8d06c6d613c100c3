package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
)

// fakeAdmission admits nothing, or everything, and counts the requests.
type fakeAdmission struct {
	admits bool
	asked  int
}

func (a *fakeAdmission) InForce(string, time.Time) bool { return true }

func (a *fakeAdmission) Admit(*vetchtrail.Request, time.Time) vetchtrail.AdmissionVerdict {
	a.asked++
	return vetchtrail.AdmissionVerdict{Admitted: a.admits, Shortage: true, Share: 0.25}
}

// TestAdmission guards against requests that are refused although admission doesn't apply to them,
// that count more than once, and against demand of requests that may not run: unauthorised ones,
// those over their quota and quarantined ones.
func TestAdmission(t *testing.T) {
	lost := []reply{breakAfter(""), respondWith("ok")}
	for name, test := range map[string]struct {
		admits  bool
		modify  func(*vetchtrail.Request)
		change  func(*Dispatcher)
		replies []reply
		asked   int
		status  int
		reason  vetchtrail.Reason
	}{
		"not admitted":           {asked: 1, status: 503, reason: vetchtrail.ReasonOverCapacity},
		"admitted":               {admits: true, replies: []reply{respondWith("ok")}, asked: 1, status: 200},
		"admitted, two attempts": {admits: true, modify: func(r *vetchtrail.Request) { r.Repeatable, r.MaxAttempts = true, 2 }, replies: lost, asked: 1, status: 200},
		"no route":               {modify: func(r *vetchtrail.Request) { r.Route = "" }, replies: []reply{respondWith("ok")}, status: 200},
		"no stream":              {modify: func(r *vetchtrail.Request) { r.Stream = false }, replies: []reply{respondWith("ok")}, status: 200},
		"no prompt tokens":       {modify: func(r *vetchtrail.Request) { r.EstimatedTokens = 0 }, replies: []reply{respondWith("ok")}, status: 200},
		"forwarded":              {modify: func(r *vetchtrail.Request) { r.Hops, r.AllowedRegions = 1, vetchtrail.AllRegions }, replies: []reply{respondWith("ok")}, status: 200},
		"unauthorised":           {modify: func(r *vetchtrail.Request) { r.CallerKeyHash = vetchtrail.HashKey("other") }, status: 401, reason: vetchtrail.ReasonUnknownKey},
		"over its quota":         {change: func(d *Dispatcher) { d.cfg.Quotas = &fakeQuota{} }, status: 429, reason: vetchtrail.ReasonOverQuota},
		"quarantined":            {change: func(d *Dispatcher) { d.cfg.Quarantine = &fakeQuarantine{} }, status: 503, reason: vetchtrail.ReasonQuarantined},
	} {
		t.Run(name, func(t *testing.T) {
			quota := &fakeQuota{remaining: 1000}
			d, _ := newQuotaDispatcher(t, &scriptedTargets{replies: test.replies}, quota, 2)
			admission := &fakeAdmission{admits: test.admits}
			d.cfg.Admission = admission
			if test.change != nil {
				test.change(d)
			}
			r := &vetchtrail.Request{
				ID: "x", Service: "s", Route: "r", MaxAttempts: 1, Workspace: "w", EstimatedTokens: 200, Stream: true, EntryRegion: 0, CallerCanRetry: true,
				Deadline: time.Now().Add(10 * time.Second),
			}
			if test.modify != nil {
				test.modify(r)
			}
			o := d.Run(t.Context(), r, &responseRecorder{})
			assert.Equal(t, o.Status, test.status)
			assert.Equal(t, o.Reason, test.reason)
			assert.Equal(t, admission.asked, test.asked)
			if test.reason == vetchtrail.ReasonOverCapacity {
				assert.Equal(t, o.Kind, vetchtrail.OutcomeNotRun)
				assert.Assert(t, o.RetryAt.After(time.Now().Add(time.Second)), "a quarter of its time")
				assert.Equal(t, quota.remaining, 1000.0, "the cost of a request that did not run")
			}
		})
	}
}
