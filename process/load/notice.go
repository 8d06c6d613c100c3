package load

import (
	"time"

	"vetchtrail"
)

// notice is what an endpoint's answers said, in one life, of whether it wants requests.
type notice struct {
	said  time.Time // when one last said that it leaves; zero: none did
	until time.Time // until when it wants nothing from this host; zero: it named no time
}

// HearNotice takes what an answer of an endpoint said of whether it wants requests. It returns what is
// news: that it leaves, that it wants nothing for a time. ok is false for one that isn't known, or of
// which this is another life.
func (t *Table) HearNotice(name string, born time.Time, n vetchtrail.Notice) (leaves, paused, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.life(name, born)
	if !ok {
		return false, false, false
	}
	leaves = n.Leaving && s.notice.said.IsZero()
	paused = n.Until.After(s.notice.until)
	if n.Leaving {
		s.notice.said = vetchtrail.Later(s.notice.said, n.Heard)
	}
	s.notice.until = vetchtrail.Later(s.notice.until, n.Until)
	return leaves, paused, true
}

// Noticed implements vetchtrail.Observer.
func (t *Table) Noticed(e vetchtrail.Endpoint, n vetchtrail.Notice, _ error) {
	t.HearNotice(e.Name, e.Born, n)
}
