package vetchtrail

import (
	"fmt"

	"github.com/go-faster/errors"
)

// Errors of the platform's key-value service.
var (
	ErrNotFound = errors.New("no such key")
	ErrConflict = errors.New("changed by another writer")
	ErrLimited  = errors.New("the store refuses for its rate limit")
)

// PeerError is an error with the step at which it arose and the peer.
type PeerError struct {
	Step Step
	Peer string
	Err  error
}

// Error returns step, peer and cause.
func (e *PeerError) Error() string {
	return fmt.Sprintf("%s %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error { return e.Err }

// ChangeError is a change of configuration that is not valid.
type ChangeError struct {
	Edit int    // its place in the change, from 0
	Item string // the thing it is about
	Text string
}

// Error returns what is wrong with the change.
func (e *ChangeError) Error() string {
	return fmt.Sprintf("edit %d: %s: %s", e.Edit+1, e.Item, e.Text)
}

// ConflictError is a change that lost a race.
type ConflictError struct {
	Expect uint64 // what the change was written against
	Now    uint64 // what stands
}

// Error says which revision stands.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("written against revision %d, but revision %d stands: read it and try again", e.Expect, e.Now)
}
