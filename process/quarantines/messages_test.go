package quarantines

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/request/quarantine"
	"vetchtrail/schema"
)

var testNow = time.Unix(1_800_000_000, 0)

// TestCrashMessageRoundTrip guards against fields of a crash or an entry that get lost or changed
// between two hosts.
func TestCrashMessageRoundTrip(t *testing.T) {
	want := quarantine.Crash{Endpoint: "e", StartedAt: testNow.Add(-time.Hour), At: testNow.Add(-time.Second), InFlight: []quarantine.InFlight{
		{ContentHash: vetchtrail.ContentHash{1}}, {ContentHash: vetchtrail.ContentHash{2}, Streaming: true},
	}, Parts: []quarantine.InFlightPart{
		{ContentHash: vetchtrail.PartHash("s", 7), Depth: 2, Requests: []vetchtrail.ContentHash{{1}, {2}}, SoundAt: testNow.Add(-time.Minute)}, {ContentHash: vetchtrail.PartHash("s", 8)},
	}}
	got, err := toCrash(fromCrash(want, testNow), testNow)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
	entry := vetchtrail.QuarantineEntry{ContentHash: vetchtrail.ContentHash{3}, Part: true, Count: 2, Crashes: 4, Since: testNow.Add(-time.Minute), Until: testNow.Add(time.Minute), Released: true}
	back, err := schema.ToQuarantineEntry(schema.FromQuarantineEntry(entry, testNow), testNow)
	assert.NilError(t, err)
	assert.DeepEqual(t, back, entry)
}

// TestInvalidMessages checks that an invalid message returns an error and changes nothing.
func TestInvalidMessages(t *testing.T) {
	hash := make([]byte, len(vetchtrail.ContentHash{}))
	cases := map[string]struct {
		crashes *schema.Ends
		entries *schema.Holds
	}{
		"content hash too short":                {&schema.Ends{Ends: []*schema.End{{Endpoint: "e", Ran: hash[1:], Begun: []byte{0}}}}, nil},
		"fewer content hashes than requests":    {&schema.Ends{Ends: []*schema.End{{Endpoint: "e", Ran: hash, Begun: []byte{0, 0}}}}, nil},
		"no endpoint name":                      {&schema.Ends{Ends: []*schema.End{{Ran: hash, Begun: []byte{0}}}}, nil},
		"time in the future":                    {&schema.Ends{Ends: []*schema.End{{Endpoint: "e", Age: -1}}}, nil},
		"part, hash too short":                  {&schema.Ends{Ends: []*schema.End{{Endpoint: "e", Parts: []*schema.EndPart{{Digest: hash[1:]}}}}}, nil},
		"part, half a request":                  {&schema.Ends{Ends: []*schema.End{{Endpoint: "e", Parts: []*schema.EndPart{{Digest: hash, Requests: hash[1:]}}}}}, nil},
		"part, sound in the future":             {&schema.Ends{Ends: []*schema.End{{Endpoint: "e", Parts: []*schema.EndPart{{Digest: hash, SoundAge: -1}}}}}, nil},
		"part, depth out of range":              {&schema.Ends{Ends: []*schema.End{{Endpoint: "e", Parts: []*schema.EndPart{{Digest: hash, Depth: 256}}}}}, nil},
		"served request, content hash too long": {&schema.Ends{Served: []*schema.Served{{Digest: append(hash, 0)}}}, nil},
		"entry without content hash":            {nil, &schema.Holds{Holds: []*schema.Hold{{Strike: 1}}}},
		"entry with count 0":                    {nil, &schema.Holds{Holds: []*schema.Hold{{Digest: hash}}}},
		"entry with count out of range":         {nil, &schema.Holds{Holds: []*schema.Hold{{Digest: hash, Strike: 1 << 30}}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := New(Config{Clock: func() time.Time { return testNow }, Hosts: noHosts{}})
			var err error
			if c.crashes != nil {
				_, err = q.HandleCrashes(c.crashes)
			} else {
				_, err = q.HandleEntries(c.entries)
			}
			assert.Assert(t, err != nil)
			entries, suspects := q.Entries()
			assert.Equal(t, len(entries)+len(suspects), 0)
		})
	}
}

// TestReceivedDurationCapped guards against a host that sends an entry with too long a duration: it
// is cut to the duration for its count.
func TestReceivedDurationCapped(t *testing.T) {
	q := New(Config{Clock: func() time.Time { return testNow }, Hosts: noHosts{}})
	hash := harmlessRequest(1).ContentHash()
	_, err := q.HandleEntries(&schema.Holds{Holds: []*schema.Hold{{Digest: hash[:], Strike: 1, Remaining: int64(1000 * time.Hour)}}})
	assert.NilError(t, err)
	entry, quarantined := q.Quarantined(harmlessRequest(1))
	assert.Assert(t, quarantined)
	assert.Equal(t, entry.Until.Sub(testNow), quarantine.EntryDuration(1))
}

// noHosts is a Hosts without hosts.
type noHosts struct{}

func (noHosts) FirstInRegion(string, string, int) []vetchtrail.Host { return nil }

// FuzzHandleCrashes checks that a report that is rejected as invalid is not recorded.
func FuzzHandleCrashes(f *testing.F) {
	good, _ := proto.Marshal(&schema.Ends{From: "h", Ends: []*schema.End{fromCrash(quarantine.Crash{Endpoint: "e", At: testNow, InFlight: []quarantine.InFlight{{}}}, testNow)}})
	f.Add(good)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, text []byte) {
		var m schema.Ends
		if proto.Unmarshal(text, &m) != nil {
			return
		}
		q := New(Config{Clock: func() time.Time { return testNow }, Hosts: noHosts{}})
		if _, err := q.HandleCrashes(&m); err != nil {
			assert.Assert(t, !q.history.AwaitingReports(testNow), "rejected and recorded: %v", err)
		}
	})
}
