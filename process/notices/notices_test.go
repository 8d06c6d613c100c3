package notices

import (
	"bytes"
	"log/slog"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/process/load"
)

// TestLines: an endpoint that leaves has one line in its life, one that wants nothing for a time a line a
// second at most, and what can't be read is told of and says nothing.
func TestLines(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	e := vetchtrail.Endpoint{Name: "e", Service: "s", Slots: 4, Born: now}
	said := func(second int, leaving bool, pause time.Duration) vetchtrail.Notice {
		n := vetchtrail.Notice{Leaving: leaving, Asked: now, Heard: now.Add(time.Duration(second) * time.Second)}
		if pause > 0 {
			n.Until = n.Heard.Add(pause)
		}
		return n
	}
	cases := map[string]struct {
		said []vetchtrail.Notice
		err  error
		want []string // lines, by their beginnings
	}{
		"it leaves, in each answer":          {[]vetchtrail.Notice{said(1, true, 0), said(2, true, 0)}, nil, []string{"endpoint says that it leaves"}},
		"wants nothing, in several answers":  {[]vetchtrail.Notice{said(1, false, 4*time.Second), said(1, false, 5*time.Second)}, nil, []string{"endpoint wants nothing for a time"}},
		"again later":                        {[]vetchtrail.Notice{said(1, false, time.Second), said(3, false, time.Second)}, nil, []string{"endpoint wants", "endpoint wants"}},
		"a shorter word":                     {[]vetchtrail.Notice{said(1, false, time.Minute), said(3, false, time.Second)}, nil, []string{"endpoint wants"}},
		"what can't be read, in each answer": {[]vetchtrail.Notice{said(1, false, 0), said(1, false, 0)}, vetchtrail.ErrLeaving, []string{"endpoint says what can't be read"}},
		"leaves, and what can't be read":     {[]vetchtrail.Notice{said(1, true, 0)}, vetchtrail.ErrPause, []string{"endpoint says what can't be read", "endpoint says that it leaves"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := load.New()
			table.Configure([]load.Placed{{Endpoint: e}})
			var out bytes.Buffer
			n := New(Config{Observer: table, Table: table, Log: slog.New(slog.NewTextHandler(&out, nil))})
			for _, s := range c.said {
				n.Noticed(e, s, c.err)
			}
			lines := strings.Split(strings.TrimSpace(out.String()), "\n")
			assert.Equal(t, len(lines), len(c.want), "%s", out.String())
			for i, want := range c.want {
				assert.Assert(t, strings.Contains(lines[i], `msg="`+want), "%s", lines[i])
			}
		})
	}
}

// TestUnknown: a field that nobody reads has one line; whatever its name, the names are bounded and can be
// counted by.
func TestUnknown(t *testing.T) {
	var out bytes.Buffer
	table := load.New()
	n := New(Config{Observer: table, Table: table, Log: slog.New(slog.NewTextHandler(&out, nil))})
	e := vetchtrail.Endpoint{Name: "e"}
	for range 3 {
		n.Unknown(e, "Server-Mood")
	}
	n.Unknown(e, strings.Repeat("x", 1000)+"\"\n\\")
	n.Unknown(e, "a\"b\n\\c\xff")
	assert.Equal(t, strings.Count(out.String(), "\n"), 3, "%s", out.String())
	for i := range 3 * mostUnknown {
		n.Unknown(e, strconv.Itoa(i))
	}
	assert.Equal(t, len(n.unknown), mostUnknown)
	assert.Equal(t, strings.Count(out.String(), "\n"), mostUnknown)
}
