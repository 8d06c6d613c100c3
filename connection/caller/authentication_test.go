package caller

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/version/rules"
)

// newKeyedRules returns rules with two routes, one that requires keys and one that does
// not, and some workspaces.
func newKeyedRules(t *testing.T, workspaces ...vetchtrail.Workspace) *rules.Rules {
	t.Helper()
	route := func(name string, keyed bool) vetchtrail.Edit {
		return vetchtrail.PutRoute{Route: vetchtrail.Route{
			Name: name, Host: "h.example", PathPrefix: "/" + name + "/", Attempts: 1, AnswerWithin: time.Minute, Keyed: keyed,
			Targets: []vetchtrail.Target{{Service: "app", Weight: 1}},
		}}
	}
	edits := []vetchtrail.Edit{
		vetchtrail.PutRegion{Region: vetchtrail.Region{Name: "r", DataCentres: []string{"d"}}},
		vetchtrail.PutService{Service: vetchtrail.Service{Name: "app", Kind: vetchtrail.ServicePlain, AnswerWithin: time.Minute}},
		route("keyed", true), route("open", false),
	}
	for _, w := range workspaces {
		edits = append(edits, vetchtrail.PutWorkspace{Workspace: w})
	}
	current, err := rules.Restore(edits, 1)
	assert.NilError(t, err)
	return current
}

// echoWorkspace responds with the request's workspace and those forwarded header fields
// that concern authentication.
func echoWorkspace(_ context.Context, r *vetchtrail.Request, w vetchtrail.ResponseWriter) vetchtrail.Outcome {
	_ = w.Begin(200, nil)
	text := r.Workspace
	for _, f := range r.Header {
		if f.Name == "Authorization" || f.Name == "X-Workspace" {
			text += " " + f.Name + "=" + f.Value
		}
	}
	_ = w.Write([]byte(text))
	return vetchtrail.Outcome{Kind: vetchtrail.OutcomeAnswered}
}

// TestAuthentication checks that a request's workspace follows from its key alone,
// whatever workspace the caller names, and that the key is not forwarded to endpoints or
// shown in the response.
func TestAuthentication(t *testing.T) {
	current := newKeyedRules(t, vetchtrail.Workspace{Name: "w", Keys: []vetchtrail.KeyHash{vetchtrail.HashKey("secret")}}, vetchtrail.Workspace{Name: "free"},
		vetchtrail.Workspace{Name: "lost", Locked: true})
	addr := serveRules(t, echoWorkspace, func() *rules.Rules { return current }, func(context.Context) bool { return true })
	cases := map[string]struct {
		path   string
		header [][2]string
		status int
		body   string
	}{
		"valid key":                              {"/keyed/x", [][2]string{{"Authorization", "Bearer secret"}}, 200, "w"},
		"valid key and another workspace's name": {"/keyed/x", [][2]string{{"Authorization", "Bearer secret"}, {"X-Workspace", "other"}}, 200, "w"},
		"no key":                                 {"/keyed/x", nil, 401, "no-key"},
		"workspace name without a key":           {"/keyed/x", [][2]string{{"X-Workspace", "w"}}, 401, "no-key"},
		"unknown key":                            {"/keyed/x", [][2]string{{"Authorization", "Bearer guess"}}, 401, "unknown-key"},
		"another scheme":                         {"/keyed/x", [][2]string{{"Authorization", "Basic secret"}}, 401, "bad-key"},
		"two keys":                               {"/keyed/x", [][2]string{{"Authorization", "Bearer secret"}, {"Authorization", "Bearer secret"}}, 401, "bad-key"},
		"key too long":                           {"/keyed/x", [][2]string{{"Authorization", "Bearer " + strings.Repeat("k", 200)}}, 401, "bad-key"},
		"route without keys":                     {"/open/x", [][2]string{{"X-Workspace", "w"}}, 200, ""},
		"unrouted, workspace with keys":          {"/services/app/x", [][2]string{{"X-Workspace", "w"}}, 401, "no-key"},
		"unrouted, workspace whose keys were removed": {"/services/app/x", [][2]string{{"X-Workspace", "lost"}}, 401, "no-key"},
		"unrouted, valid key":                         {"/services/app/x", [][2]string{{"X-Workspace", "other"}, {"Authorization", "Bearer secret"}}, 200, "w"},
		"unrouted, workspace without keys":            {"/services/app/x", [][2]string{{"X-Workspace", "free"}}, 200, "free"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			status, body := post(t, addr, c.path, c.header)
			assert.Equal(t, status, c.status, body)
			if c.status == 200 {
				assert.Equal(t, body, c.body)
			} else {
				assert.Assert(t, strings.Contains(body, c.body) && strings.Contains(body, "not-run"), body)
			}
			assert.Assert(t, !strings.Contains(body, "secret"), "the key was forwarded or shown: %s", body)
		})
	}
}

// post sends a request to the host name of the routes and returns the status and body of
// the response.
func post(t *testing.T, addr netip.AddrPort, path string, header [][2]string) (int, string) {
	t.Helper()
	req, err := http.NewRequest("POST", "http://"+addr.String()+path, strings.NewReader("x"))
	assert.NilError(t, err)
	req.Host = "h.example"
	for _, f := range header {
		req.Header.Add(f[0], f[1])
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(body)
}

// TestUnknownKeyChecksConfiguration guards against refusing a key that was just added. An
// outdated configuration does not contain the key yet: the host must fetch the newest one
// first, and respond with 503 rather than 401 if it can't.
func TestUnknownKeyChecksConfiguration(t *testing.T) {
	old := newKeyedRules(t)
	added := newKeyedRules(t, vetchtrail.Workspace{Name: "w", Keys: []vetchtrail.KeyHash{vetchtrail.HashKey("secret")}})
	cases := map[string]struct {
		newer    bool // refresh finds a newer configuration
		upToDate bool // refresh reports that the configuration is the newest
		status   int
	}{
		"newer configuration has the key": {true, true, 200},
		"configuration is the newest":     {false, true, 401},
		"newest configuration unknown":    {false, false, 503},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var current atomic.Pointer[rules.Rules]
			current.Store(old)
			addr := serveRules(t, echoWorkspace, current.Load, func(context.Context) bool {
				if c.newer {
					current.Store(added)
				}
				return c.upToDate
			})
			status, _ := post(t, addr, "/keyed/x", [][2]string{{"Authorization", "Bearer secret"}})
			assert.Equal(t, status, c.status)
		})
	}
}
