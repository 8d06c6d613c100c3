// Package client is an HTTP client of the entry hosts, for the demo, the scenarios, the
// soak and the load runs. It reads each response to its end; Request.IsCorrect compares a
// response with the one that the stand-in engine must return. The package also sets the
// faults of the stand-ins and reads their records.
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

// Result is the result of one request as its caller observed it.
type Result struct {
	Status           int    // HTTP status; 0: no response
	Outcome          string // field of the problem document, as are Reason and Detail; empty: the response is no problem document
	Reason           string
	Detail           string
	RetryAt          time.Time     // end of the Retry-After of a problem document; zero: it has none
	Complete         bool          // the response was received to its end: the whole body, or the last event of a stream
	Text             string        // content of the response, as far as it was received
	LastEventID      string        // id of the newest event
	Endpoint         string        // name of the endpoint, from X-Vetchtrail-Endpoint
	TimeToFirstToken time.Duration // until the first event, or the end of a response that is not streamed
	Took             time.Duration // from sending the request to the end of the response
	Err              error         // why the request could not be sent, or the response could not be read
}

// Client calls entry hosts.
type Client struct{ http *http.Client }

// New returns a client that reuses connections. It never sends a request with a body twice.
func New() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 64, DisableCompression: true,
	}}}
}

// Request is a completion request to a model service.
type Request struct {
	Host                netip.AddrPort // entry host
	Service             string
	Workspace           string // sent as X-Workspace; empty: none is sent
	Prompt              string
	Tokens              int // of the response
	Stream              bool
	Key                 string        // idempotency key; empty: none
	Timeout             time.Duration // sent as Request-Timeout; 0: none is sent
	LastEventID         string        // resume after the event of this id; empty: from the start
	ResumeWindowSeconds int           // seconds for which the stream may be resumed; 0: none is sent
	StopAfter           int           // events after which the client closes the connection; 0: never
	Credential          string        // API key of a workspace; empty: none is sent
}

// rawPrompt returns the prompt in the form from which the engine derives its response:
// the JSON of the message's content.
func (req Request) rawPrompt() string {
	b, _ := json.Marshal(req.Prompt)
	return string(b)
}

// ExpectedText returns the complete text that the engine must return.
func (req Request) ExpectedText() string { return engine.ResponseText(req.rawPrompt(), req.Tokens) }

// IsCorrect reports whether a result is the complete and correct response.
func (req Request) IsCorrect(r Result) bool {
	return r.Status == http.StatusOK && r.Complete && r.Text == req.ExpectedText()
}

// message is a message of a completion request.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completionRequest is the JSON body of a completion request.
type completionRequest struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Messages  []message `json:"messages"`
}

// Do sends a completion request and reads its response to the end, or up to the
// event of StopAfter.
func (c *Client) Do(ctx context.Context, req Request) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	text, _ := json.Marshal(completionRequest{
		Model: req.Service, Stream: req.Stream, MaxTokens: req.Tokens, Messages: []message{{Role: "user", Content: req.Prompt}},
	})
	h := http.Header{}
	h.Set("Content-Type", "application/json")
	setNonEmpty(h, "X-Workspace", req.Workspace)
	if req.Credential != "" {
		h.Set("Authorization", "Bearer "+req.Credential)
	}
	setNonEmpty(h, "Idempotency-Key", req.Key)
	setNonEmpty(h, "Last-Event-Id", req.LastEventID)
	if req.ResumeWindowSeconds > 0 {
		h.Set("Resume-Window", strconv.Itoa(req.ResumeWindowSeconds))
	}
	if req.Timeout > 0 {
		h.Set("Request-Timeout", strconv.FormatFloat(req.Timeout.Seconds(), 'f', 3, 64))
	}
	return c.send(ctx, http.MethodPost, "http://"+req.Host.String()+"/v1/chat/completions", h, text, req.StopAfter)
}

// setNonEmpty sets a header field unless its value is empty.
func setNonEmpty(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// CallPlain sends a request to a plain service. An empty key or workspace is not sent.
func (c *Client) CallPlain(ctx context.Context, host netip.AddrPort, method, service, path, key, workspace, text string) Result {
	h := http.Header{}
	setNonEmpty(h, "Idempotency-Key", key)
	setNonEmpty(h, "X-Workspace", workspace)
	return c.send(ctx, method, "http://"+host.String()+"/services/"+service+path, h, []byte(text), 0)
}

// send sends a request and reads its response: a stream of events, a problem document
// or a body, by the content type.
func (c *Client) send(ctx context.Context, method, url string, h http.Header, text []byte, stopAfter int) Result {
	began := time.Now()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(text))
	if err != nil {
		return Result{Err: err}
	}
	req.Header = h
	req.GetBody = nil // prevents net/http from sending a request with a body a second time
	resp, err := c.http.Do(req)
	if err != nil {
		return Result{Err: err, Took: time.Since(began)}
	}
	defer func() { _ = resp.Body.Close() }()
	r := Result{Status: resp.StatusCode, Endpoint: resp.Header.Get("X-Vetchtrail-Endpoint")}
	switch resp.Header.Get("Content-Type") {
	case "text/event-stream":
		r.readEvents(resp.Body, began, stopAfter)
	case "application/problem+json":
		r.readProblem(resp)
	default:
		r.readBody(resp.Body, began)
	}
	r.Took = time.Since(began)
	return r
}

// readProblem reads a problem document, with which a host refuses a request.
func (r *Result) readProblem(resp *http.Response) {
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

// readBody reads a response that is not streamed. The text is the content of a
// completion, or the body as it is.
func (r *Result) readBody(in io.Reader, began time.Time) {
	text, err := io.ReadAll(in)
	r.TimeToFirstToken = time.Since(began)
	r.Text, r.Err, r.Complete = string(text), err, err == nil
	var chunk engine.Chunk
	if json.Unmarshal(text, &chunk) == nil && len(chunk.Choices) == 1 && chunk.Choices[0].Message != nil {
		r.Text = chunk.Choices[0].Message.Content
	}
}

// readEvents reads a stream of completion chunks up to its end, or up to a number of
// events if stopAfter is above 0.
func (r *Result) readEvents(in io.Reader, began time.Time, stopAfter int) {
	s := bufio.NewScanner(in)
	n := 0
	for s.Scan() {
		line := s.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			r.LastEventID = id
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.Complete = true
			continue
		}
		if r.TimeToFirstToken == 0 {
			r.TimeToFirstToken = time.Since(began)
		}
		var chunk engine.Chunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) != 1 || chunk.Choices[0].Delta == nil {
			r.Err = errors.Errorf("client: event is not a completion chunk: %s", data)
			return
		}
		r.Text += chunk.Choices[0].Delta.Content
		if n++; n == stopAfter {
			return
		}
	}
	if r.Err = s.Err(); r.Err != nil {
		r.Complete = false
	}
}

// Hosts is the response to GET /v1/hosts: the hosts that a caller may use, and an
// idempotency key for one request.
type Hosts struct {
	Hosts []struct {
		Name    string         `json:"name"`
		Address netip.AddrPort `json:"address"`
		Region  string         `json:"region"`
		Weight  int            `json:"weight"`
	} `json:"hosts"`
	Key string `json:"key"`
}

// Hosts queries a host for the hosts that a caller may use.
func (c *Client) Hosts(ctx context.Context, host netip.AddrPort) (Hosts, error) {
	var out Hosts
	err := c.Get(ctx, host, "/v1/hosts", &out)
	return out, err
}

// Get decodes the JSON at a path into a value. If into is nil, it only checks that
// the status is 200.
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

// Put sends a value as JSON to a path of a stand-in, for example its faults.
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
