//go:build !race

package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/process/memory"
	"vetchtrail/standin/wire"
)

const (
	endpointsVariable   = "VETCHTRAIL_TEST_ENDPOINTS" // addresses of the child's endpoints
	smallestMemory      = 144                         // MB, of a host
	endlessEndpoints    = 4
	endlessClients      = 64
	endlessRequests     = 3 // of each client
	smallMemoryAddress  = 71
	endlessChildTimeout = 2 * time.Minute
)

// TestEndlessResponsesFitMemory guards against a host with little memory that ends because several endpoints send bytes without end.
func TestEndlessResponsesFitMemory(t *testing.T) {
	if os.Getenv(endpointsVariable) != "" {
		runWithLittleMemory(t)
		return
	}
	const ok = "HTTP/1.1 200 OK\r\n"
	const chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
	cases := map[string]struct{ begin, repeat, path string }{
		"field":              {ok + "X-A: ", "x", "/p/x"},
		"fields":             {ok, "X-A: x\r\n", "/p/x"},
		"interim responses":  {"", "HTTP/1.1 103 E\r\nX-A: x\r\n\r\n", "/p/x"},
		"chunks":             {chunked, "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n", "/p/x"},
		"chunk extension":    {chunked + "1;", "x", "/p/x"},
		"body until the end": {ok + "\r\n", strings.Repeat("x", 0x1000), "/p/x"},
		"known length":       {ok + "Content-Length: 4194304\r\n\r\n", strings.Repeat("x", 0x1000), "/p/x"},
		"trailer":            {chunked + "0\r\n", "X-A: x\r\n", "/p/x"},
		"event":              {ok + "Content-Type: text/event-stream\r\n\r\ndata: ", "x", "/stream/x"},
		"events":             {ok + "Content-Type: text/event-stream\r\n\r\n", "data: " + strings.Repeat("x", 0x1000) + "\n\n", "/stream/x"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			child := startWithLittleMemory(t, c.begin, c.repeat)
			var clients sync.WaitGroup
			for range endlessClients {
				clients.Go(func() {
					for range endlessRequests {
						requestUntilEnd(c.path)
					}
				})
			}
			clients.Wait()
			peak := child.peakMemory(t)
			assert.Assert(t, peak < smallestMemory<<20, "%d MB at most", peak>>20)
			t.Logf("%d MB at most", peak>>20)
		})
	}
}

// requestUntilEnd sends a request and reads its response for some seconds.
func requestUntilEnd(path string) {
	c, err := net.Dial("tcp", addr(smallMemoryAddress, 8080).String())
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", path)
	_, _ = io.Copy(io.Discard, c)
}

// childProcess is a host in a process of its own.
type childProcess struct {
	cmd *exec.Cmd
}

// startWithLittleMemory starts a host whose endpoints send bytes without end.
func startWithLittleMemory(t *testing.T, begin, repeat string) *childProcess {
	t.Helper()
	addrs := make([]string, endlessEndpoints)
	for i := range addrs {
		addrs[i] = wire.ServeEndless(t, begin, repeat).Addr.String()
	}
	ctx, cancel := context.WithTimeout(context.Background(), endlessChildTimeout)
	t.Cleanup(cancel)
	cmd := exec.CommandContext(ctx, os.Args[0], "-test.run=^TestEndlessResponsesFitMemory$")
	cmd.Env = append(os.Environ(), endpointsVariable+"="+strings.Join(addrs, ","), fmt.Sprintf("%s=%d", childVariable, claimedNetwork()))
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	assert.NilError(t, err)
	out, err := cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() {
		_ = in.Close()
		assert.NilError(t, cmd.Wait())
	})
	_, err = bufio.NewReader(out).ReadString('\n')
	assert.NilError(t, err)
	return &childProcess{cmd: cmd}
}

// peakMemory returns the most memory in bytes that the process has used.
func (p *childProcess) peakMemory(t *testing.T) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	assert.NilError(t, err, "the process has ended")
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			assert.NilError(t, err)
			return kilobytes << 10
		}
	}
	t.Fatal("the process has ended")
	return 0
}

// runWithLittleMemory runs a host until its standard input ends.
func runWithLittleMemory(t *testing.T) {
	l := vetchtrail.Listing{Revision: 40, ConfirmedRevision: 40, ReadAt: time.Now()}
	for i, text := range strings.Split(os.Getenv(endpointsVariable), ",") {
		name := fmt.Sprintf("e%d", i)
		l.Endpoints = append(l.Endpoints, &vetchtrail.Endpoint{
			Name: name, Instance: name, Service: "s", Region: "r", DataCentre: "d", Addr: netip.MustParseAddrPort(text), Slots: endlessClients,
		})
	}
	feed := manualFeed{make(chan vetchtrail.Listing, 1)}
	feed.listings <- l
	s := hostedSettings("a", smallMemoryAddress)
	s.Limits.Memory = smallestMemory
	memory.LimitRuntime(smallestMemory)
	d := runUntilTestEnd(t, newHostedDaemon(t, s, feed))
	waitUntilReady(t, d)
	fmt.Println("ready")
	_, _ = io.Copy(io.Discard, os.Stdin)
}
