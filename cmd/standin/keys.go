package main

import (
	"context"
	"fmt"
	"net/http"

	"vetchtrail"
	"vetchtrail/standin/client"
)

const (
	demoWorkspace = "zaklad-nowak"
	demoKey       = "a-key-of-the-demo"
	demoQuota     = 3 // requests at once in a region
)

// keys shows who is served that shows a key, and how much.
func (m *demo) keys(ctx context.Context) error {
	m.step("keys and quota", "A workspace has a key and a quota: its callers are served up to it, others not.")
	w := vetchtrail.Workspace{
		Name: demoWorkspace, Keys: []vetchtrail.KeyHash{vetchtrail.HashKey(demoKey)}, Locked: true,
		Quota: vetchtrail.Quota{Rate: 1, Burst: 4 * demoQuota},
	}
	if err := m.putWorkspace(ctx, "a workspace with a key", w); err != nil {
		return err
	}
	r := m.d.Spec.Regions[0]
	m.expect(ctx, "no key", client.Ask{Workspace: demoWorkspace}, http.StatusUnauthorized)
	m.expect(ctx, "a wrong key", client.Ask{Credential: "guess"}, http.StatusUnauthorized)
	served := 0
	for range 8 * demoQuota {
		res := m.w.Client.Do(ctx, m.keyed(client.Ask{Credential: demoKey}))
		m.now().asked++
		switch {
		case res.Status == http.StatusOK && res.Whole:
			served++
		case res.Status == http.StatusTooManyRequests && res.Outcome == vetchtrail.NotRun.String():
			m.now().denied++
		default:
			m.fail(r, res)
		}
	}
	fmt.Printf("   with the key: %d served, the rest beyond the quota\n", served)
	if served == 0 || served == 8*demoQuota {
		m.fail(r, client.Result{Detail: fmt.Sprintf("%d of %d were served", served, 8*demoQuota)})
	}
	w.Keys = nil
	if err := m.putWorkspace(ctx, "its key is taken away", w); err != nil {
		return err
	}
	m.expect(ctx, "a key that was taken away", client.Ask{Credential: demoKey}, http.StatusUnauthorized)
	return nil
}

func (m *demo) putWorkspace(ctx context.Context, reason string, w vetchtrail.Workspace) error {
	revision, err := m.propose(ctx, reason, []vetchtrail.Edit{vetchtrail.PutWorkspace{Workspace: w}})
	if err != nil {
		return err
	}
	return m.w.Ready(revision)
}

func (m *demo) keyed(a client.Ask) client.Ask {
	a.Host, a.Service, a.Prompt, a.Tokens = m.entry(m.d.Spec.Regions[0]), m.d.Spec.Model.Name, "is it weldable?", demoTokens
	return a
}

// expect asks once and looks at the status.
func (m *demo) expect(ctx context.Context, who string, a client.Ask, status int) {
	res := m.w.Client.Do(ctx, m.keyed(a))
	m.now().asked++
	if res.Status != status || res.Outcome != vetchtrail.NotRun.String() {
		m.fail(m.d.Spec.Regions[0], res)
		return
	}
	m.now().denied++
	fmt.Printf("   %s: %d, %s\n", who, res.Status, res.Detail)
}
