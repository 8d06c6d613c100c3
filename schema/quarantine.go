package schema

import (
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
)

const (
	// digestSize is the length of a digest, in bytes.
	digestSize = len(vetchtrail.Digest{})
	// mostStrikes bounds a strike that another host tells: each doubles the time of a hold.
	mostStrikes = 1 << 16
)

// ErrDigest is a digest of another length.
var ErrDigest = errors.Errorf("a digest has %d bytes", digestSize)

// FromHolds returns the messages for holds, whose times are told as what is left of them at
// now.
func FromHolds(holds []vetchtrail.Hold, now time.Time) []*Hold {
	out := make([]*Hold, 0, len(holds))
	for _, h := range holds {
		out = append(out, FromHold(h, now))
	}
	return out
}

// FromHold returns the message for a hold.
func FromHold(h vetchtrail.Hold, now time.Time) *Hold {
	return &Hold{
		Digest: h.Digest[:], Strike: h.Strike, Ends: uint32(h.Ends), Age: int64(now.Sub(h.Since)),
		Remaining: int64(h.Until.Sub(now)), Released: h.Released,
	}
}

// ToHolds returns the holds of messages that arrived now. One that can't be read is an error:
// none is taken.
func ToHolds(in []*Hold, now time.Time) ([]vetchtrail.Hold, error) {
	out := make([]vetchtrail.Hold, 0, len(in))
	for _, m := range in {
		h, err := ToHold(m, now)
		if err != nil {
			return nil, err
		}
		out = append(out, h)
	}
	return out, nil
}

// ToHold returns the hold of a message that arrived now.
func ToHold(m *Hold, now time.Time) (vetchtrail.Hold, error) {
	d, err := ToDigest(m.GetDigest())
	if err != nil {
		return vetchtrail.Hold{}, errors.Wrap(err, "schema.ToHold")
	}
	if m.GetStrike() == 0 || m.GetStrike() > mostStrikes {
		return vetchtrail.Hold{}, errors.Errorf("schema.ToHold: strike %d of a hold", m.GetStrike())
	}
	return vetchtrail.Hold{
		Digest: d, Strike: m.GetStrike(), Ends: int(m.GetEnds()), Since: now.Add(-time.Duration(max(0, m.GetAge()))),
		Until: now.Add(time.Duration(m.GetRemaining())), Released: m.GetReleased(),
	}, nil
}

// ToDigest reads a digest.
func ToDigest(in []byte) (vetchtrail.Digest, error) {
	if len(in) != digestSize {
		return vetchtrail.Digest{}, ErrDigest
	}
	return vetchtrail.Digest(in), nil
}
