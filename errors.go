package vetchtrail

import (
	"fmt"

	"github.com/go-faster/errors"
)

// Errors of a Store.
var (
	ErrNotFound         = errors.New("key not found")
	ErrConflict         = errors.New("key was changed by another writer")
	ErrStoreRateLimited = errors.New("store's rate limit exceeded")
)

// PeerError is a failed call to another host, an endpoint or the store.
type PeerError struct {
	Step Step   // what failed
	Peer string // name or address of the other side
	Err  error
}

// Error returns the step, the peer and the cause.
func (e *PeerError) Error() string {
	return fmt.Sprintf("%s %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error { return e.Err }

// ChangeError is the reason why a change of the configuration is not valid.
type ChangeError struct {
	EditIndex int    // index of the invalid edit; the number of edits if only their combination is invalid
	Item      string // kind and name of the item
	Text      string // what is wrong with the item
}

// Error returns the position of the edit, counted from 1, the item and what is wrong with it.
func (e *ChangeError) Error() string {
	return fmt.Sprintf("edit %d: %s: %s", e.EditIndex+1, e.Item, e.Text)
}

// ConflictError reports that another change was accepted after the revision that the change was
// written against.
type ConflictError struct {
	Expect  uint64 // revision that the change was written against
	Current uint64 // current revision
}

// Error returns both revisions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("change was written against revision %d, but the current revision is %d: read it and try again", e.Expect, e.Current)
}
