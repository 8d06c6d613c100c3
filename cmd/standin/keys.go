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
	// demoQuotaScale scales the key step. The burst of the workspace's quota is
	// 4 * demoQuotaScale requests for all hosts together, and the demo sends
	// 8 * demoQuotaScale requests to one host, so that some exceed the quota.
	demoQuotaScale = 3
)

// runKeyStep checks authentication and quota of a workspace with a key. Requests without
// a key, with a wrong key or with a removed key must be refused with status 401. With
// the key, some requests must be served and those over the quota refused.
func (m *demo) runKeyStep(ctx context.Context) error {
	m.beginStep("keys and quota", "A workspace has a key and a quota: callers with the key are served up to the quota, others are refused.")
	workspace := vetchtrail.Workspace{
		Name: demoWorkspace, Keys: []vetchtrail.KeyHash{vetchtrail.HashKey(demoKey)}, Locked: true,
		Quota: vetchtrail.Quota{Rate: 1, Burst: 4 * demoQuotaScale},
	}
	if err := m.putWorkspace(ctx, "a workspace with a key", workspace); err != nil {
		return err
	}
	r := m.layout.Spec.Regions[0]
	m.expectRefusal(ctx, "no key", client.Request{Workspace: demoWorkspace}, http.StatusUnauthorized)
	m.expectRefusal(ctx, "a wrong key", client.Request{Credential: "guess"}, http.StatusUnauthorized)
	served := 0
	for range 8 * demoQuotaScale {
		res := m.system.Client.Do(ctx, m.withDefaults(client.Request{Credential: demoKey}))
		m.currentStep().requests++
		switch {
		case res.Status == http.StatusOK && res.Complete:
			served++
		case res.Status == http.StatusTooManyRequests && res.Outcome == vetchtrail.OutcomeNotRun.String():
			m.currentStep().refused++
		default:
			m.recordWrong(r, res)
		}
	}
	fmt.Printf("   with the key: %d served, the rest beyond the quota\n", served)
	if served == 0 || served == 8*demoQuotaScale {
		m.recordWrong(r, client.Result{Detail: fmt.Sprintf("%d of %d were served", served, 8*demoQuotaScale)})
	}
	workspace.Keys = nil
	if err := m.putWorkspace(ctx, "remove the key", workspace); err != nil {
		return err
	}
	m.expectRefusal(ctx, "a removed key", client.Request{Credential: demoKey}, http.StatusUnauthorized)
	return nil
}

// putWorkspace adds or replaces a workspace and waits until all hosts have the change.
func (m *demo) putWorkspace(ctx context.Context, reason string, workspace vetchtrail.Workspace) error {
	revision, err := m.propose(ctx, reason, []vetchtrail.Edit{vetchtrail.PutWorkspace{Workspace: workspace}})
	if err != nil {
		return err
	}
	return m.system.AwaitReady(revision)
}

// withDefaults returns the request with the host, service, prompt and length that all
// requests of the key step have.
func (m *demo) withDefaults(req client.Request) client.Request {
	req.Host, req.Service, req.Prompt, req.Tokens = m.callerAddr(m.layout.Spec.Regions[0]), m.layout.Spec.Model.Name, "is it weldable?", demoTokens
	return req
}

// expectRefusal sends a request that must be refused with the given status, and must not
// have run.
func (m *demo) expectRefusal(ctx context.Context, label string, req client.Request, status int) {
	res := m.system.Client.Do(ctx, m.withDefaults(req))
	m.currentStep().requests++
	if res.Status != status || res.Outcome != vetchtrail.OutcomeNotRun.String() {
		m.recordWrong(m.layout.Spec.Regions[0], res)
		return
	}
	m.currentStep().refused++
	fmt.Printf("   %s: %d, %s\n", label, res.Status, res.Detail)
}
