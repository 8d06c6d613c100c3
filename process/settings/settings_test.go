package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const validSettings = `host: a
region: r
data_centre: d
listen:
  callers: 127.0.0.1:8080
  peers: 127.0.0.1:7070
platform:
  store: 127.0.0.1:8500
seeds:
  - 127.0.0.2:7070
translate:
  - from: 127.2.0.0/16
    to: 127.3.0.0/16
timing:
  poll: 1s
`

// TestLoad guards against a settings file with a mistake that is accepted, or refused without
// the name of the file and the setting or position at fault. Each case changes one part of a
// valid file.
func TestLoad(t *testing.T) {
	cases := map[string]struct {
		old, new string
		want     string // part of the error; empty: no error
	}{
		"valid":                   {"", "", ""},
		"unknown key":             {"seeds:", "seedz:", `[9:1] unknown field "seedz"`},
		"wrong address":           {"127.0.0.1:7070", "127.0.0.1", `[6:10] "127.0.0.1": not an ip:port`},
		"wrong seed":              {"127.0.0.2:7070", "nowhere:1", `[10:5] "nowhere:1"`},
		"wrong network":           {"127.3.0.0/16", "127.3.0.0", `[13:9] "127.3.0.0"`},
		"networks differ in size": {"127.3.0.0/16", "127.3.0.0/24", "translate[0] needs from and to as IPv4 networks of the same size"},
		"wrong duration":          {"poll: 1s", "poll: 1x", `[15:9] "1x"`},
		"duration too short":      {"poll: 1s", "poll: 1ms", "timing.poll must be from 50ms to 10s"},
		"no host":                 {"host: a\n", "", "host is missing"},
		"no store":                {"  store: 127.0.0.1:8500", "  hosts: 127.0.0.1:1", "platform.store is missing"},
		"unknown policy":          {"timing:", "policy: best\ntiming:", "policy is not one of"},
		"public without TLS":      {"peers: 127.0.0.1:7070", "peers: 10.0.0.1:7070", "must be a loopback address while tls is not set"},
		"only some TLS files":     {"timing:", "tls: {key: k}\ntiming:", "tls needs certificate, key and authority"},
		"mechanisms switched off": {"seeds:", "switched_off: [affinity, last-chance]\nseeds:", ""},
		"too few buffers":         {"timing:", "limits: {buffers: 8}\ntiming:", "limits.buffers must be 0 or at least 16 MB"},
		"buffers for no body":     {"timing:", "limits: {buffers: 16, body: 16777216}\ntiming:", "limits.buffers must be 0 or at least twice limits.body"},
		"unknown mechanism":       {"seeds:", "switched_off:\n  - affinity\n  - afinity\nseeds:", `[11:5] "afinity": no such mechanism: they are affinity,`},
		"weights":                 {"platform:", "platform:\n  weights: {model: {tail: 1, read: 3}}", ""},
		"negative weight":         {"platform:", "platform:\n  weights: {model: {tail: -1}}", "platform.weights.model must be from 0 to 1000 each"},
		"all weights 0":           {"platform:", "platform:\n  weights: {plain: {tail: 0, away: 0}}", "platform.weights.plain must be"},
		"unknown weight":          {"platform:", "platform:\n  weights: {model: {tall: 1}}", `unknown field "tall"`},
		"known_within too short":  {"platform:", "platform:\n  known_within: 10ms", "platform.known_within must be from 1s to 1m0s"},
		"admission and contracts": {"platform:", "admission: {enforce: always}\nplatform:\n  contracts: [pressure, other]", ""},
		"unknown enforcement":     {"timing:", "admission: {enforce: sometimes}\ntiming:", "admission.enforce is not one of always, auto, observe, never"},
		"not YAML":                {"host: a", "host: [", "[1:"},
		"wrong kind of value":     {"poll: 1s", "poll: [1]", "15"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "host.yaml")
			assert.NilError(t, os.WriteFile(file, []byte(strings.Replace(validSettings, c.old, c.new, 1)), 0o600))
			s, err := Load(file)
			if c.want == "" {
				assert.NilError(t, err)
				text, err := s.YAML()
				assert.NilError(t, err)
				again, err := Parse(text)
				assert.NilError(t, err)
				assert.Equal(t, again.Host, "a")
				return
			}
			assert.ErrorContains(t, err, c.want)
			assert.ErrorContains(t, err, file)
		})
	}
}

// TestExamples guards against example settings files that the daemon refuses.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/settings/*.yaml")
	assert.NilError(t, err)
	assert.Equal(t, len(files), 15) // 8 hosts in one example and 7 in another
	for _, f := range files {
		_, err := Load(f)
		assert.NilError(t, err)
	}
}
