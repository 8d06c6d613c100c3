package journal

import (
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	lineDecision           = `{"time":"2026-06-01T10:00:01.000Z","msg":"decision","host":"a","request":"x1","route":"r","decision":"run-here","target":"e1","wait":100000000,"hops":0,"attempt":1}`
	lineAnswered           = `{"time":"2026-06-01T10:00:02.000Z","msg":"outcome","host":"a","request":"x1","outcome":"answered","step":"answer","peer":"e1","took":900000000,"first":110000000,"status":200,"hops":0}`
	lineAnsweredLate       = `{"time":"2026-06-01T10:00:02.000Z","msg":"outcome","host":"a","request":"x1","outcome":"answered","step":"answer","peer":"e1","took":900000000,"first":700000000,"status":200,"hops":0}`
	lineStreamBroken       = `{"time":"2026-06-01T10:00:02.000Z","msg":"outcome","host":"a","request":"x1","outcome":"unknown","step":"answer","peer":"e1","reason":"answer-broken","took":900000000,"hops":0}`
	lineRefusal            = `{"time":"2026-06-01T10:00:01.100Z","msg":"decision","host":"a","request":"x1","decision":"refuse","reason":"over-capacity","hops":0,"candidates":[{"name":"e1","cost":1.5,"reason":"full"}]}`
	lineRefused            = `{"time":"2026-06-01T10:00:01.200Z","msg":"outcome","host":"a","request":"x1","outcome":"not-run","step":"decide","reason":"over-capacity","hops":0}`
	lineForward            = `{"time":"2026-06-01T10:00:01.000Z","msg":"decision","host":"a","request":"x1","decision":"run-elsewhere","target":"b-1","hops":0}`
	lineRemoteDecision     = `{"time":"2026-06-01T10:00:01.050Z","msg":"decision","host":"b","request":"x1","decision":"run-here","target":"e9","wait":50000000,"hops":1}`
	lineRemoteAnswered     = `{"time":"2026-06-01T10:00:01.500Z","msg":"outcome","host":"b","request":"x1","outcome":"answered","peer":"e9","first":60000000,"status":200,"hops":1}`
	lineForwardAnswered    = `{"time":"2026-06-01T10:00:01.560Z","msg":"outcome","host":"a","request":"x1","outcome":"answered","peer":"e9","status":200,"hops":0}`
	lineOtherRequest       = `{"time":"2026-06-01T10:00:01.010Z","msg":"decision","host":"a","request":"x2","decision":"run-here","target":"e1","hops":0}`
	lineEndpointGone       = `{"time":"2026-06-01T10:00:05.000Z","msg":"endpoint no longer listed","host":"a","endpoint":"e1"}`
	lineOtherEndpointGone  = `{"time":"2026-06-01T10:00:05.000Z","msg":"endpoint no longer listed","host":"a","endpoint":"e2"}`
	lineStoreLost          = `{"time":"2026-06-01T09:59:55.000Z","msg":"store lost","host":"a","error":"refused"}`
	lineOtherHostStoreLost = `{"time":"2026-06-01T09:59:55.000Z","msg":"store lost","host":"c","error":"refused"}`
	lineOldStoreLost       = `{"time":"2026-06-01T09:00:00.000Z","msg":"store lost","host":"a","error":"refused"}`
)

// TestReadHistory guards against a history that has lines of other requests, lacks lines that
// explain the request, or gives a wrong verdict. The logs are those of several hosts in any order
// and may be incomplete.
func TestReadHistory(t *testing.T) {
	cases := map[string]struct {
		logs    [][]string
		hosts   string // hosts of the request's lines, in order
		context string // messages of the context, in order
		unread  int
		verdict string // part of the verdict
	}{
		"answered":                              {[][]string{{lineDecision, lineAnswered}}, "a a", "", 0, "as predicted"},
		"answered late":                         {[][]string{{lineDecision, lineAnsweredLate}}, "a a", "", 0, "began after 700ms where 100ms were predicted"},
		"refused":                               {[][]string{{lineRefusal, lineRefused}}, "a a", "", 0, "refused without being run: over-capacity at decide"},
		"response broken off":                   {[][]string{{lineDecision, lineStreamBroken, lineEndpointGone, lineOtherEndpointGone}}, "a a", "endpoint no longer listed", 0, "may have run: answer-broken at answer, at e1"},
		"logs of two hosts in any order":        {[][]string{{lineRemoteDecision, lineRemoteAnswered}, {lineForward, lineForwardAnswered}}, "a b b a", "", 0, "as predicted"},
		"lines of another request":              {[][]string{{lineOtherRequest, lineDecision, lineAnswered}}, "a a", "", 0, "as predicted"},
		"context by host and time":              {[][]string{{lineOldStoreLost, lineStoreLost, lineOtherHostStoreLost, lineDecision, lineAnswered}}, "a a", "store lost", 0, "as predicted"},
		"prefixes of a log collector":           {[][]string{{"  12.5 front-1 " + lineDecision, "  12.6 front-1 " + lineAnswered}}, "a a", "", 0, "as predicted"},
		"last line cut off":                     {[][]string{{lineDecision, lineAnswered, `{"time":"2026-06-01T10:00`}}, "a a", "", 1, "as predicted"},
		"no outcome":                            {[][]string{{lineDecision}}, "a", "", 0, "in none of these logs"},
		"only the log of the host forwarded to": {[][]string{{lineRemoteDecision, lineRemoteAnswered}}, "b b", "", 0, "in none of these logs"},
		"no lines":                              {[][]string{{lineOtherRequest}}, "", "", 0, "in none of these logs"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var logs []io.Reader
			for _, lines := range c.logs {
				logs = append(logs, strings.NewReader(strings.Join(lines, "\n")+"\n"))
			}
			h, err := ReadHistory("x1", logs...)
			assert.NilError(t, err)
			var hosts, context []string
			for _, l := range h.Lines {
				hosts = append(hosts, l.Host)
			}
			for _, l := range h.Context {
				context = append(context, l.Msg)
			}
			assert.Equal(t, strings.Join(hosts, " "), c.hosts)
			assert.Equal(t, strings.Join(context, " "), c.context)
			assert.Equal(t, h.Unread, c.unread)
			assert.Assert(t, strings.Contains(h.Verdict(), c.verdict), h.Verdict())
		})
	}
}
