package vetchtrail

import (
	"context"
	"time"
)

// QuarantineEntry is the quarantine entry of a request, or of a part of prompts. The request with
// this content hash, or all requests with the part, run nowhere until the entry ends, because several
// endpoints crashed while they ran it, or them.
type QuarantineEntry struct {
	ContentHash ContentHash // of a part: see PartHash
	Part        bool
	// Count is how many times the request has been quarantined, this time included. Each
	// time lasts longer.
	Count   uint32
	Crashes int       // number of endpoints that crashed before this entry was made
	Since   time.Time // by the boot clock (process/clock), as is Until
	Until   time.Time // when the request may run again
	// Released is set if an operator ended the entry early.
	Released bool
}

// Quarantine keeps requests that make endpoints crash (poison requests) from running on any
// host, and requests with a part of the prompt that does (poison parts).
type Quarantine interface {
	// Quarantined returns whether a request is quarantined, and its entry.
	Quarantined(r *Request) (QuarantineEntry, bool)
	// ResponseLost reports an attempt without a complete response, or with one whose end is
	// unmarked: the endpoint may have crashed.
	ResponseLost(e Endpoint, r *Request, o Outcome, t Timing)
	// Answered reports a request that an endpoint has answered, so that earlier crashes no
	// longer count against it and the parts of its prompt.
	Answered(r *Request, t Timing)
}

// QuarantineStore persists quarantine entries, so that they outlast a restart of all hosts.
type QuarantineStore interface {
	// Save stores the entries put, in place of earlier ones of the same requests, and deletes
	// the entries drop.
	Save(ctx context.Context, put []QuarantineEntry, drop []ContentHash) error
}
