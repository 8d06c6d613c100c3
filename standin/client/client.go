// Package client is a caller for the demo, the scenarios and the load runs. It
// checks answers against what the stand-in engines must say.
package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail/standin/engine"
)

// Result is what a caller saw of one request.
type Result struct {
	Status  int    // 0: no answer
	Outcome string // of a problem document
	Reason  string
	Detail  string
	RetryAt time.Time
	Whole   bool   // the answer came to its end
	Text    string // the content, as far as it came
	LastID  string // of the newest event
	Where   string // the endpoint, as the answer tells
	First   time.Duration
	Took    time.Duration
	Err     error
}

// Client calls entry hosts.
type Client struct{ http *http.Client }

// New returns a client that never retries and keeps connections.
func New() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 64, DisableCompression: true,
	}}}
}

// Ask is a model request.
type Ask struct {
	Host      netip.AddrPort
	Service   string
	Workspace string
	Prompt    string
	Tokens    int
	Stream    bool
	Key       string
	Timeout   time.Duration
	LastID    string // resume after this event
	Window    int    // seconds that the stream may be resumed
	StopAfter int    // events after which to leave; 0: never
	// Credential is the key of a workspace; empty: none is shown.
	Credential string
}

// raw is the prompt as the engine sees it: the JSON of the message's content.
func (a Ask) raw() string {
	b, _ := json.Marshal(a.Prompt)
	return string(b)
}

// Want returns the whole answer that the request must get.
func (a Ask) Want() string { return engine.Answer(a.raw(), a.Tokens) }

// Right says whether a whole answer is the right one.
func (a Ask) Right(r Result) bool { return r.Status == http.StatusOK && r.Whole && r.Text == a.Want() }

// message is one message of a completion request.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// body is a completion request.
type body struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Messages  []message `json:"messages"`
}

// Do sends a model request and reads its answer to the end.
func (c *Client) Do(ctx context.Context, a Ask) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	text, _ := json.Marshal(body{
		Model: a.Service, Stream: a.Stream, MaxTokens: a.Tokens, Messages: []message{{Role: "user", Content: a.Prompt}},
	})
	h := http.Header{}
	h.Set("Content-Type", "application/json")
	set(h, "X-Workspace", a.Workspace)
	if a.Credential != "" {
		h.Set("Authorization", "Bearer "+a.Credential)
	}
	set(h, "Idempotency-Key", a.Key)
	set(h, "Last-Event-Id", a.LastID)
	if a.Window > 0 {
		h.Set("Resume-Window", strconv.Itoa(a.Window))
	}
	if a.Timeout > 0 {
		h.Set("Request-Timeout", strconv.FormatFloat(a.Timeout.Seconds(), 'f', 3, 64))
	}
	return c.send(ctx, http.MethodPost, "http://"+a.Host.String()+"/v1/chat/completions", h, text, a.StopAfter)
}

func set(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// Plain sends a request to a plain service.
func (c *Client) Plain(ctx context.Context, host netip.AddrPort, method, service, path, key, workspace, text string) Result {
	h := http.Header{}
	set(h, "Idempotency-Key", key)
	set(h, "X-Workspace", workspace)
	return c.send(ctx, method, "http://"+host.String()+"/services/"+service+path, h, []byte(text), 0)
}

func (c *Client) send(ctx context.Context, method, url string, h http.Header, text []byte, stopAfter int) Result {
	began := time.Now()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(text))
	if err != nil {
		return Result{Err: err}
	}
	req.Header = h
	req.GetBody = nil // a request is never sent twice
	resp, err := c.http.Do(req)
	if err != nil {
		return Result{Err: err, Took: time.Since(began)}
	}
	defer func() { _ = resp.Body.Close() }()
	r := Result{Status: resp.StatusCode, Where: resp.Header.Get("X-Vetchtrail-Endpoint")}
	switch resp.Header.Get("Content-Type") {
	case "text/event-stream":
		r.events(resp.Body, began, stopAfter)
	case "application/problem+json":
		r.problem(resp)
	default:
		r.whole(resp.Body, began)
	}
	r.Took = time.Since(began)
	return r
}

func (r *Result) problem(resp *http.Response) {
	var p struct {
		Outcome string `json:"outcome"`
		Reason  string `json:"reason"`
		Detail  string `json:"detail"`
	}
	r.Err = json.NewDecoder(resp.Body).Decode(&p)
	r.Outcome, r.Reason, r.Detail = p.Outcome, p.Reason, p.Detail
	if n, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		r.RetryAt = time.Now().Add(time.Duration(n) * time.Second)
	}
}

func (r *Result) whole(in io.Reader, began time.Time) {
	text, err := io.ReadAll(in)
	r.First = time.Since(began)
	r.Text, r.Err, r.Whole = string(text), err, err == nil
	var chunk engine.Chunk
	if json.Unmarshal(text, &chunk) == nil && len(chunk.Choices) == 1 && chunk.Choices[0].Message != nil {
		r.Text = chunk.Choices[0].Message.Content
	}
}

func (r *Result) events(in io.Reader, began time.Time, stopAfter int) {
	s := bufio.NewScanner(in)
	n := 0
	for s.Scan() {
		line := s.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			r.LastID = id
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.Whole = true
			continue
		}
		if r.First == 0 {
			r.First = time.Since(began)
		}
		var chunk engine.Chunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) != 1 || chunk.Choices[0].Delta == nil {
			r.Err = errors.Errorf("client: an event is no chunk: %s", data)
			return
		}
		r.Text += chunk.Choices[0].Delta.Content
		if n++; n == stopAfter {
			return
		}
	}
	if r.Err = s.Err(); r.Err != nil {
		r.Whole = false
	}
}

// Hosts is the answer of GET /v1/hosts.
type Hosts struct {
	Hosts []struct {
		Name    string         `json:"name"`
		Address netip.AddrPort `json:"address"`
		Region  string         `json:"region"`
		Weight  int            `json:"weight"`
	} `json:"hosts"`
	Key string `json:"key"`
}

// Hosts asks which hosts to use.
func (c *Client) Hosts(ctx context.Context, host netip.AddrPort) (Hosts, error) {
	var out Hosts
	err := c.Get(ctx, host, "/v1/hosts", &out)
	return out, err
}

// Get reads JSON from a path; without a place to put it, only the status.
func (c *Client) Get(ctx context.Context, host netip.AddrPort, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host.String()+path, nil)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("client.Get: %s%s: status %d", host, path, resp.StatusCode)
	}
	if into == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

// Put sets a stand-in's faults.
func (c *Client) Put(ctx context.Context, host netip.AddrPort, path string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+host.String()+path, bytes.NewReader(text))
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("client.Put: %s%s: status %d", host, path, resp.StatusCode)
	}
	return nil
}
