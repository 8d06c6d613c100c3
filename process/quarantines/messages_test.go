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

var messageTime = time.Unix(1_800_000_000, 0)

// TestMessages: what a host tells of an end is what another takes.
func TestMessages(t *testing.T) {
	want := quarantine.Crash{Endpoint: "e", StartedAt: messageTime.Add(-time.Hour), At: messageTime.Add(-time.Second), InFlight: []quarantine.InFlight{
		{ContentHash: vetchtrail.Digest{1}}, {ContentHash: vetchtrail.Digest{2}, Streaming: true},
	}}
	got, err := toEnd(fromEnd(want, messageTime), messageTime)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
	hold := vetchtrail.Hold{Digest: vetchtrail.Digest{3}, Strike: 2, Ends: 4, Since: messageTime.Add(-time.Minute), Until: messageTime.Add(time.Minute), Released: true}
	back, err := schema.ToHold(schema.FromHold(hold, messageTime), messageTime)
	assert.NilError(t, err)
	assert.DeepEqual(t, back, hold)
}

// TestBadMessages: a message that can't be read is an error and changes nothing.
func TestBadMessages(t *testing.T) {
	digest := make([]byte, len(vetchtrail.Digest{}))
	cases := map[string]struct {
		ends  *schema.Ends
		holds *schema.Holds
	}{
		"a digest too short":        {&schema.Ends{Ends: []*schema.End{{Endpoint: "e", Ran: digest[1:], Begun: []byte{0}}}}, nil},
		"more answers than digests": {&schema.Ends{Ends: []*schema.End{{Endpoint: "e", Ran: digest, Begun: []byte{0, 0}}}}, nil},
		"no endpoint":               {&schema.Ends{Ends: []*schema.End{{Ran: digest, Begun: []byte{0}}}}, nil},
		"in the future":             {&schema.Ends{Ends: []*schema.End{{Endpoint: "e", Age: -1}}}, nil},
		"served, a digest too long": {&schema.Ends{Served: []*schema.Served{{Digest: append(digest, 0)}}}, nil},
		"a hold without a digest":   {nil, &schema.Holds{Holds: []*schema.Hold{{Strike: 1}}}},
		"a hold without a strike":   {nil, &schema.Holds{Holds: []*schema.Hold{{Digest: digest}}}},
		"a strike beyond all":       {nil, &schema.Holds{Holds: []*schema.Hold{{Digest: digest, Strike: 1 << 30}}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := New(Config{Clock: func() time.Time { return messageTime }, Hosts: nobody{}})
			var err error
			if c.ends != nil {
				_, err = q.HostEnded(c.ends)
			} else {
				_, err = q.HostHolds(c.holds)
			}
			assert.Assert(t, err != nil)
			holds, suspects := q.Holds()
			assert.Equal(t, len(holds)+len(suspects), 0)
		})
	}
}

// TestHoldTold: a hold that another host tells lasts no longer than holds do.
func TestHoldTold(t *testing.T) {
	q := New(Config{Clock: func() time.Time { return messageTime }, Hosts: nobody{}})
	d := innocent(1).Digest()
	_, err := q.HostHolds(&schema.Holds{Holds: []*schema.Hold{{Digest: d[:], Strike: 1, Remaining: int64(1000 * time.Hour)}}})
	assert.NilError(t, err)
	hold, held := q.Held(innocent(1))
	assert.Assert(t, held)
	assert.Equal(t, hold.Until.Sub(messageTime), quarantine.HoldTime(1))
}

// nobody is a fleet of no hosts.
type nobody struct{}

func (nobody) RankedIn(string, string, int) []vetchtrail.Host { return nil }

// FuzzHostEnded: whatever bytes come as a host's word, they are taken or refused.
func FuzzHostEnded(f *testing.F) {
	good, _ := proto.Marshal(&schema.Ends{From: "h", Ends: []*schema.End{fromEnd(quarantine.Crash{Endpoint: "e", At: messageTime, InFlight: []quarantine.InFlight{{}}}, messageTime)}})
	f.Add(good)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, text []byte) {
		var m schema.Ends
		if proto.Unmarshal(text, &m) != nil {
			return
		}
		q := New(Config{Clock: func() time.Time { return messageTime }, Hosts: nobody{}})
		if _, err := q.HostEnded(&m); err != nil {
			assert.Assert(t, !q.evidence.AwaitingReports(messageTime), "refused and taken: %v", err)
		}
	})
}
