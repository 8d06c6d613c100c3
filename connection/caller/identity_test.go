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

// keyedRules has a route that asks for keys and one that does not.
func keyedRules(t *testing.T, workspaces ...vetchtrail.Workspace) *rules.Rules {
	t.Helper()
	route := func(name string, keyed bool) vetchtrail.Edit {
		return vetchtrail.PutRoute{Route: vetchtrail.Route{
			Name: name, Host: "h.example", PathPrefix: "/" + name + "/", Attempts: 1, AnswerWithin: time.Minute, Keyed: keyed,
			Targets: []vetchtrail.Target{{Service: "app", Weight: 1}},
		}}
	}
	edits := []vetchtrail.Edit{
		vetchtrail.PutRegion{Region: vetchtrail.Region{Name: "r", DataCentres: []string{"d"}}},
		vetchtrail.PutService{Service: vetchtrail.Service{Name: "app", Kind: vetchtrail.KindPlain, AnswerWithin: time.Minute}},
		route("keyed", true), route("open", false),
	}
	for _, w := range workspaces {
		edits = append(edits, vetchtrail.PutWorkspace{Workspace: w})
	}
	held, err := rules.Restore(edits, 1)
	assert.NilError(t, err)
	return held
}

// echoWorkspace answers with the workspace and the fields that go on to an endpoint.
func echoWorkspace(_ context.Context, r *vetchtrail.Request, a vetchtrail.Answer) vetchtrail.Outcome {
	_ = a.Begin(200, nil)
	text := r.Workspace
	for _, f := range r.Header {
		if f.Name == "Authorization" || f.Name == "X-Workspace" {
			text += " " + f.Name + "=" + f.Value
		}
	}
	_ = a.Write([]byte(text))
	return vetchtrail.Outcome{Kind: vetchtrail.Answered}
}

// TestIdentity: who calls is who holds the key, whatever else the caller writes, and the key
// goes no further.
func TestIdentity(t *testing.T) {
	held := keyedRules(t, vetchtrail.Workspace{Name: "w", Keys: []vetchtrail.KeyHash{vetchtrail.HashKey("secret")}}, vetchtrail.Workspace{Name: "free"},
		vetchtrail.Workspace{Name: "lost", Locked: true})
	addr := serveRules(t, echoWorkspace, func() *rules.Rules { return held }, func(context.Context) bool { return true })
	cases := map[string]struct {
		path   string
		header [][2]string
		status int
		body   string
	}{
		"its key":                          {"/keyed/x", [][2]string{{"Authorization", "Bearer secret"}}, 200, "w"},
		"its key and another's name":       {"/keyed/x", [][2]string{{"Authorization", "Bearer secret"}, {"X-Workspace", "other"}}, 200, "w"},
		"no key":                           {"/keyed/x", nil, 401, "no-key"},
		"a name only":                      {"/keyed/x", [][2]string{{"X-Workspace", "w"}}, 401, "no-key"},
		"another key":                      {"/keyed/x", [][2]string{{"Authorization", "Bearer guess"}}, 401, "unknown-key"},
		"another scheme":                   {"/keyed/x", [][2]string{{"Authorization", "Basic secret"}}, 401, "bad-key"},
		"two keys":                         {"/keyed/x", [][2]string{{"Authorization", "Bearer secret"}, {"Authorization", "Bearer secret"}}, 401, "bad-key"},
		"a key that is too long":           {"/keyed/x", [][2]string{{"Authorization", "Bearer " + strings.Repeat("k", 200)}}, 401, "bad-key"},
		"an open route":                    {"/open/x", [][2]string{{"X-Workspace", "w"}}, 200, ""},
		"unrouted, a workspace with keys":  {"/services/app/x", [][2]string{{"X-Workspace", "w"}}, 401, "no-key"},
		"unrouted, one that lost its keys": {"/services/app/x", [][2]string{{"X-Workspace", "lost"}}, 401, "no-key"},
		"unrouted, its key":                {"/services/app/x", [][2]string{{"X-Workspace", "other"}, {"Authorization", "Bearer secret"}}, 200, "w"},
		"unrouted, one without keys":       {"/services/app/x", [][2]string{{"X-Workspace", "free"}}, 200, "free"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			status, body := ask(t, addr, c.path, c.header)
			assert.Equal(t, status, c.status, body)
			if c.status == 200 {
				assert.Equal(t, body, c.body)
			} else {
				assert.Assert(t, strings.Contains(body, c.body) && strings.Contains(body, "not-run"), body)
			}
			assert.Assert(t, !strings.Contains(body, "secret"), "the key was passed on or shown: %s", body)
		})
	}
}

func ask(t *testing.T, addr netip.AddrPort, path string, header [][2]string) (int, string) {
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

// TestBehind: a key that a host doesn't know is refused only once the host has made sure
// that its configuration is the newest.
func TestBehind(t *testing.T) {
	old := keyedRules(t)
	added := keyedRules(t, vetchtrail.Workspace{Name: "w", Keys: []vetchtrail.KeyHash{vetchtrail.HashKey("secret")}})
	cases := map[string]struct {
		newer   bool // the host finds a newer configuration
		current bool // and knows that it is the newest
		status  int
	}{
		"a newer one has the key":      {true, true, 200},
		"none newer":                   {false, true, 401},
		"not known whether it's newer": {false, false, 503},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var held atomic.Pointer[rules.Rules]
			held.Store(old)
			addr := serveRules(t, echoWorkspace, held.Load, func(context.Context) bool {
				if c.newer {
					held.Store(added)
				}
				return c.current
			})
			status, _ := ask(t, addr, "/keyed/x", [][2]string{{"Authorization", "Bearer secret"}})
			assert.Equal(t, status, c.status)
		})
	}
}
