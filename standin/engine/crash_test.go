package engine

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPoisonRequestAnswered guards against a poison request whose response is complete before the engine crashes.
func TestPoisonRequestAnswered(t *testing.T) {
	cases := map[string]struct {
		prompt string
		stream bool
		whole  bool
	}{
		"poison, streamed":   {"a deadly prompt", true, false},
		"poison, whole":      {"a deadly prompt", false, false},
		"harmless, streamed": {"another prompt", true, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			s := New(Config{Slots: 4, Queue: 4, Step: time.Millisecond, Crash: CrashConfig{PoisonText: "deadly", CrashDelay: 300 * time.Millisecond, RestartDelay: time.Hour}})
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			go func() { _ = s.Serve(ctx, l) }()
			body := `{"max_tokens":2,"stream":false,"prompt":"` + c.prompt + `"}`
			if c.stream {
				body = strings.Replace(body, "false", "true", 1)
			}
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Addr().String()+"/v1/completions", bytes.NewReader([]byte(body)))
			assert.NilError(t, err)
			resp, err := http.DefaultClient.Do(req)
			var text []byte
			if err == nil {
				text, err = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
			}
			assert.Equal(t, err == nil && bytes.Contains(text, []byte("[DONE]")), c.whole, "%v: %s", err, text)
			assert.Equal(t, len(s.CrashHistory().Crashes) == 1, !c.whole)
		})
	}
}
