package dispatch

import (
	"vetchtrail"
	"vetchtrail/connection/endpoint"
)

// follower passes a resumable stream to its caller and remembers the last
// event, so that another attempt goes on after it. The head of the first
// attempt stays.
type follower struct {
	to  vetchtrail.Answer
	req *vetchtrail.Request
}

// Begin implements vetchtrail.Answer.
func (f *follower) Begin(status int, header []vetchtrail.HeaderField) error {
	if f.req.Begun {
		return nil
	}
	f.req.Begun = true
	return f.to.Begin(status, header)
}

// Write implements vetchtrail.Answer. Each part is a whole event.
func (f *follower) Write(part []byte) error {
	if err := f.to.Write(part); err != nil {
		return err
	}
	if id, ok := endpoint.EventID(part); ok {
		f.req.LastEvent = id
	}
	return nil
}
