package journal

import (
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	runs   = `{"time":"2026-06-01T10:00:01.000Z","msg":"decision","host":"a","request":"x1","route":"r","decision":"run-here","target":"e1","wait":100000000,"hops":0,"attempt":1}`
	ends   = `{"time":"2026-06-01T10:00:02.000Z","msg":"outcome","host":"a","request":"x1","outcome":"answered","step":"answer","peer":"e1","took":900000000,"first":110000000,"status":200,"hops":0}`
	late   = `{"time":"2026-06-01T10:00:02.000Z","msg":"outcome","host":"a","request":"x1","outcome":"answered","step":"answer","peer":"e1","took":900000000,"first":700000000,"status":200,"hops":0}`
	cut    = `{"time":"2026-06-01T10:00:02.000Z","msg":"outcome","host":"a","request":"x1","outcome":"unknown","step":"answer","peer":"e1","reason":"answer-broken","took":900000000,"hops":0}`
	full   = `{"time":"2026-06-01T10:00:01.100Z","msg":"decision","host":"a","request":"x1","decision":"refuse","reason":"over-capacity","hops":0,"candidates":[{"name":"e1","cost":1.5,"reason":"full"}]}`
	no     = `{"time":"2026-06-01T10:00:01.200Z","msg":"outcome","host":"a","request":"x1","outcome":"not-run","step":"decide","reason":"over-capacity","hops":0}`
	passes = `{"time":"2026-06-01T10:00:01.000Z","msg":"decision","host":"a","request":"x1","decision":"run-elsewhere","target":"b-1","hops":0}`
	there  = `{"time":"2026-06-01T10:00:01.050Z","msg":"decision","host":"b","request":"x1","decision":"run-here","target":"e9","wait":50000000,"hops":1}`
	thus   = `{"time":"2026-06-01T10:00:01.500Z","msg":"outcome","host":"b","request":"x1","outcome":"answered","peer":"e9","first":60000000,"status":200,"hops":1}`
	done   = `{"time":"2026-06-01T10:00:01.560Z","msg":"outcome","host":"a","request":"x1","outcome":"answered","peer":"e9","status":200,"hops":0}`
	other  = `{"time":"2026-06-01T10:00:01.010Z","msg":"decision","host":"a","request":"x2","decision":"run-here","target":"e1","hops":0}`
	gone   = `{"time":"2026-06-01T10:00:05.000Z","msg":"endpoint no longer listed","host":"a","endpoint":"e1"}`
	gone2  = `{"time":"2026-06-01T10:00:05.000Z","msg":"endpoint no longer listed","host":"a","endpoint":"e2"}`
	store  = `{"time":"2026-06-01T09:59:55.000Z","msg":"store lost","host":"a","error":"refused"}`
	store2 = `{"time":"2026-06-01T09:59:55.000Z","msg":"store lost","host":"c","error":"refused"}`
	older  = `{"time":"2026-06-01T09:00:00.000Z","msg":"store lost","host":"a","error":"refused"}`
)

// TestHistory: what is told of a request by the lines that its hosts wrote.
func TestHistory(t *testing.T) {
	cases := map[string]struct {
		logs    [][]string
		hosts   string // of the request's lines, in order
		beliefs string // their messages, in order
		unread  int
		verdict string // part of it
	}{
		"answered":                 {[][]string{{runs, ends}}, "a a", "", 0, "as predicted"},
		"answered late":            {[][]string{{runs, late}}, "a a", "", 0, "began after 700ms where 100ms were predicted"},
		"refused":                  {[][]string{{full, no}}, "a a", "", 0, "refused: it ran nowhere, for over-capacity at decide"},
		"cut":                      {[][]string{{runs, cut, gone, gone2}}, "a a", "endpoint no longer listed", 0, "may have run: answer-broken at answer, at e1"},
		"two hosts, in any order":  {[][]string{{there, thus}, {passes, done}}, "a b b a", "", 0, "as predicted"},
		"not of other requests":    {[][]string{{other, runs, ends}}, "a a", "", 0, "as predicted"},
		"what was believed":        {[][]string{{older, store, store2, runs, ends}}, "a a", "store lost", 0, "as predicted"},
		"a collector's own words":  {[][]string{{"  12.5 front-1 " + runs, "  12.6 front-1 " + ends}}, "a a", "", 0, "as predicted"},
		"a line cut at the end":    {[][]string{{runs, ends, `{"time":"2026-06-01T10:00`}}, "a a", "", 1, "as predicted"},
		"its end is not there":     {[][]string{{runs}}, "a", "", 0, "in none of these logs"},
		"only the host passed to":  {[][]string{{there, thus}}, "b b", "", 0, "in none of these logs"},
		"nothing of it whatsoever": {[][]string{{other}}, "", "", 0, "in none of these logs"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var logs []io.Reader
			for _, lines := range c.logs {
				logs = append(logs, strings.NewReader(strings.Join(lines, "\n")+"\n"))
			}
			h, err := ReadHistory("x1", logs...)
			assert.NilError(t, err)
			var hosts, beliefs []string
			for _, l := range h.Lines {
				hosts = append(hosts, l.Host)
			}
			for _, l := range h.Beliefs {
				beliefs = append(beliefs, l.Msg)
			}
			assert.Equal(t, strings.Join(hosts, " "), c.hosts)
			assert.Equal(t, strings.Join(beliefs, " "), c.beliefs)
			assert.Equal(t, h.Unread, c.unread)
			assert.Assert(t, strings.Contains(h.Verdict(), c.verdict), h.Verdict())
		})
	}
}
