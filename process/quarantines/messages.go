package quarantines

import (
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
	"vetchtrail/request/quarantine"
	"vetchtrail/schema"
)

// fromCrash returns the message for a crash. The time of the crash is sent as its age at now.
func fromCrash(c quarantine.Crash, now time.Time) *schema.End {
	m := &schema.End{Endpoint: c.Endpoint, Born: schema.FromTime(c.StartedAt), Age: int64(now.Sub(c.At))}
	for _, r := range c.InFlight {
		m.Ran = append(m.Ran, r.ContentHash[:]...)
		streaming := byte(0)
		if r.Streaming {
			streaming = 1
		}
		m.Begun = append(m.Begun, streaming)
	}
	return m
}

// toCrash returns the crash of a message that was received at now.
func toCrash(m *schema.End, now time.Time) (quarantine.Crash, error) {
	hashes, streaming := m.GetRan(), m.GetBegun()
	if len(hashes) != len(streaming)*len(vetchtrail.ContentHash{}) || m.GetEndpoint() == "" || m.GetAge() < 0 {
		return quarantine.Crash{}, errors.Errorf("quarantines: invalid crash: %d bytes of content hashes for %d requests at %q", len(hashes), len(streaming), m.GetEndpoint())
	}
	c := quarantine.Crash{Endpoint: m.GetEndpoint(), StartedAt: schema.ToTime(m.GetBorn()), At: now.Add(-time.Duration(m.GetAge()))}
	for i, b := range streaming {
		c.InFlight = append(c.InFlight, quarantine.InFlight{ContentHash: vetchtrail.ContentHash(hashes[i*len(vetchtrail.ContentHash{}) : (i+1)*len(vetchtrail.ContentHash{})]), Streaming: b != 0})
	}
	return c, nil
}

// fromSuspects returns the messages for suspects.
func fromSuspects(in []quarantine.Suspect) []*schema.Suspect {
	out := make([]*schema.Suspect, 0, len(in))
	for _, s := range in {
		out = append(out, &schema.Suspect{Digest: s.ContentHash[:], Ends: uint32(s.Crashes)})
	}
	return out
}

// toSuspects returns the suspects of messages. If one is invalid, it returns an error and no
// suspects.
func toSuspects(in []*schema.Suspect) ([]quarantine.Suspect, error) {
	out := make([]quarantine.Suspect, 0, len(in))
	for _, m := range in {
		hash, err := schema.ToContentHash(m.GetDigest())
		if err != nil {
			return nil, errors.Wrap(err, "quarantines: invalid suspects")
		}
		out = append(out, quarantine.Suspect{ContentHash: hash, Crashes: int(m.GetEnds())})
	}
	return out, nil
}
