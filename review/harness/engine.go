package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// Engine is a stand-in for an engine, as the protocol page describes it.
type Engine struct {
	ID, Service, Zone string
	Address           netip.AddrPort
	Slots             int
	Work              time.Duration
	// Surplus, if set, returns a surplus answer to the last request of a channel, or nothing. The engine sends it late,
	// in the place where its answer to the next request is due.
	Surplus func(before *Arrival) []byte

	record *Record
}

// Arrival is a request as an engine received it.
type Arrival struct {
	At                                time.Time
	Engine, ID, Method, URI, Encoding string
	Body                              []byte
	Ran                               bool
	Status                            int
}

// Hash returns a short hash of bytes, for the record.
func Hash(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:6])
}

// StartEngine starts an engine on a free loopback address.
func StartEngine(ctx context.Context, r *Record, e *Engine) error {
	l, err := listenLocal(ctx)
	if err != nil {
		return err
	}
	e.record, e.Address = r, addressOf(l)
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return nil
}

// serve handles the requests of a channel, one at a time.
func (e *Engine) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	var before *Arrival
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		a := &Arrival{
			At: time.Now(), Engine: e.ID, ID: req.Header.Get("X-Attempt-Id"), Method: req.Method, URI: req.RequestURI, Body: body,
			Encoding: req.Header.Get("Content-Encoding"),
		}
		if _, err := c.Write(e.answer(req, a, before)); err != nil {
			return
		}
		if a.Ran {
			before = a
		}
	}
}

// answer runs a request or declines it, and returns the bytes to send.
func (e *Engine) answer(req *http.Request, a, before *Arrival) []byte {
	var out bytes.Buffer
	switch expected := req.Header.Get("X-Expect-Instance"); {
	case req.URL.Path == "/health":
		_, _ = fmt.Fprintf(&out, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", e.ID)
		return out.Bytes()
	case expected != "" && expected != e.ID:
		a.Status = http.StatusMisdirectedRequest
		_, _ = fmt.Fprintf(&out, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", e.ID, a.ID)
	default:
		if e.Surplus != nil && before != nil {
			if text := e.Surplus(before); text != nil {
				e.record.Note("engine %s: before its answer to %s, a surplus one to %s: %.32q", e.ID, a.ID, before.ID, text)
				_, _ = out.Write(text)
			}
		}
		a.Ran, a.Status = true, http.StatusOK
		time.Sleep(e.Work)
		text := e.resultOf(a)
		_, _ = fmt.Fprintf(&out, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s.%s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", a.ID, e.ID, a.ID, len(text), text)
	}
	e.record.Arrived(a)
	return out.Bytes()
}

// resultOf is the body of the answer to a request that ran.
func (e *Engine) resultOf(a *Arrival) string { return "result of " + a.ID + " by " + e.ID + "\n" }
