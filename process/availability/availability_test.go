package availability

import (
	"bytes"
	"log/slog"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/process/load"
)

// TestLogLines guards against a log line for each response: an endpoint that is leaving has one line for its
// process instance. Its pauses and the announcements that can't be parsed have at most one line a second together.
func TestLogLines(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	e := vetchtrail.Endpoint{Name: "e", Service: "s", Slots: 4, Born: now}
	availability := func(second int, leaving bool, pause time.Duration) vetchtrail.Availability {
		a := vetchtrail.Availability{Leaving: leaving, RequestedAt: now, ReceivedAt: now.Add(time.Duration(second) * time.Second)}
		if pause > 0 {
			a.PausedUntil = a.ReceivedAt.Add(pause)
		}
		return a
	}
	cases := map[string]struct {
		announcements []vetchtrail.Availability
		err           error
		want          []string // beginnings of the messages
	}{
		"leaving, in each response":       {[]vetchtrail.Availability{availability(1, true, 0), availability(2, true, 0)}, nil, []string{"endpoint says that it leaves"}},
		"paused, in several responses":    {[]vetchtrail.Availability{availability(1, false, 4*time.Second), availability(1, false, 5*time.Second)}, nil, []string{"endpoint wants nothing for a time"}},
		"paused again later":              {[]vetchtrail.Availability{availability(1, false, time.Second), availability(3, false, time.Second)}, nil, []string{"endpoint wants", "endpoint wants"}},
		"a shorter pause while paused":    {[]vetchtrail.Availability{availability(1, false, time.Minute), availability(3, false, time.Second)}, nil, []string{"endpoint wants"}},
		"not parsed, in each response":    {[]vetchtrail.Availability{availability(1, false, 0), availability(1, false, 0)}, vetchtrail.ErrInvalidLeaving, []string{"endpoint's availability can't be parsed"}},
		"leaving, and a pause not parsed": {[]vetchtrail.Availability{availability(1, true, 0)}, vetchtrail.ErrInvalidPause, []string{"endpoint's availability can't be parsed", "endpoint says that it leaves"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := load.New()
			table.Configure([]load.EndpointInRegion{{Endpoint: e}})
			var out bytes.Buffer
			o := New(Config{Observer: table, Table: table, Log: slog.New(slog.NewTextHandler(&out, nil))})
			for _, received := range c.announcements {
				o.AvailabilityReported(e, received, c.err)
			}
			lines := strings.Split(strings.TrimSpace(out.String()), "\n")
			assert.Equal(t, len(lines), len(c.want), "%s", out.String())
			for i, want := range c.want {
				assert.Assert(t, strings.Contains(lines[i], `msg="`+want), "%s", lines[i])
			}
		})
	}
}

// TestUnknownFields guards against a log line for each response with an unknown field, against unbounded memory
// and metrics for many such fields, and against a field name that breaks a metric's label.
func TestUnknownFields(t *testing.T) {
	var out bytes.Buffer
	table := load.New()
	o := New(Config{Observer: table, Table: table, Log: slog.New(slog.NewTextHandler(&out, nil))})
	e := vetchtrail.Endpoint{Name: "e"}
	for range 3 {
		o.UnknownField(e, "Server-Mood")
	}
	o.UnknownField(e, strings.Repeat("x", 1000)+"\"\n\\")
	o.UnknownField(e, "a\"b\n\\c\xff")
	assert.Equal(t, strings.Count(out.String(), "\n"), 3, "%s", out.String())
	for i := range 3 * maxUnknownFields {
		o.UnknownField(e, strconv.Itoa(i))
	}
	assert.Equal(t, len(o.unknownFields), maxUnknownFields)
	assert.Equal(t, strings.Count(out.String(), "\n"), maxUnknownFields)
}

// TestInvalidSlowdown guards against a log line for each response with a slowdown that can't be parsed, and against
// one that isn't counted.
func TestInvalidSlowdown(t *testing.T) {
	var out bytes.Buffer
	table := load.New()
	o := New(Config{Observer: table, Table: table, Log: slog.New(slog.NewTextHandler(&out, nil))})
	invalid := metrics.GetOrCreateCounter(SlowdownsMetric + `{result="invalid"}`)
	valid := metrics.GetOrCreateCounter(SlowdownsMetric + `{result="valid"}`)
	before, validBefore := invalid.Get(), valid.Get()
	for range 5 {
		o.SlowdownReported(vetchtrail.Endpoint{Name: "e"}, errors.New("not a number"))
	}
	o.SlowdownReported(vetchtrail.Endpoint{Name: "e"}, nil)
	assert.Equal(t, invalid.Get()-before, uint64(5))
	assert.Equal(t, valid.Get()-validBefore, uint64(1))
	assert.Equal(t, strings.Count(out.String(), "endpoint's slowdown can't be parsed"), 1, "%s", out.String())
}
