package quarantines

import (
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
	"vetchtrail/request/quarantine"
	"vetchtrail/schema"
)

// fromEnd returns the message for the end of an endpoint.
func fromEnd(e quarantine.Crash, now time.Time) *schema.End {
	m := &schema.End{Endpoint: e.Endpoint, Born: schema.Nanos(e.StartedAt), Age: int64(now.Sub(e.At))}
	for _, r := range e.InFlight {
		m.Ran = append(m.Ran, r.ContentHash[:]...)
		begun := byte(0)
		if r.Streaming {
			begun = 1
		}
		m.Begun = append(m.Begun, begun)
	}
	return m
}

// toEnd returns the end of a message that arrived now.
func toEnd(m *schema.End, now time.Time) (quarantine.Crash, error) {
	ran, begun := m.GetRan(), m.GetBegun()
	if len(ran) != len(begun)*len(vetchtrail.Digest{}) || m.GetEndpoint() == "" || m.GetAge() < 0 {
		return quarantine.Crash{}, errors.Errorf("quarantines: end: %d bytes of digests of %d requests at %q", len(ran), len(begun), m.GetEndpoint())
	}
	e := quarantine.Crash{Endpoint: m.GetEndpoint(), StartedAt: schema.Moment(m.GetBorn()), At: now.Add(-time.Duration(m.GetAge()))}
	for i, b := range begun {
		e.InFlight = append(e.InFlight, quarantine.InFlight{ContentHash: vetchtrail.Digest(ran[i*len(vetchtrail.Digest{}) : (i+1)*len(vetchtrail.Digest{})]), Streaming: b != 0})
	}
	return e, nil
}

// fromSuspects returns the messages for suspects.
func fromSuspects(in []quarantine.Suspect) []*schema.Suspect {
	out := make([]*schema.Suspect, 0, len(in))
	for _, s := range in {
		out = append(out, &schema.Suspect{Digest: s.Digest[:], Ends: uint32(s.Ends)})
	}
	return out
}

// toSuspects returns the suspects of messages.
func toSuspects(in []*schema.Suspect) ([]quarantine.Suspect, error) {
	out := make([]quarantine.Suspect, 0, len(in))
	for _, m := range in {
		d, err := schema.ToDigest(m.GetDigest())
		if err != nil {
			return nil, errors.Wrap(err, "quarantines: suspects")
		}
		out = append(out, quarantine.Suspect{Digest: d, Ends: int(m.GetEnds())})
	}
	return out, nil
}
