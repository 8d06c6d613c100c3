package vetchtrail

import "time"

// Record is one decision on a request, or with Ended set what came of it, or with Lost set
// an attempt whose answer was lost.
type Record struct {
	At        time.Time
	Request   string // id
	Service   string
	Route     string
	Prompt    int // tokens
	Workspace string
	Home      string // region
	Decision  Decision
	Attempt   int
	Hops      int
	Goal      time.Time // until when an answer is worth all it can be; zero: not said
	Deadline  time.Time
	Fresh     bool    // a first try
	Charge    float64 // of its workspace's quota; 0: none
	Quota     QuotaVerdict
	Revision  uint64
	Ended     bool // it tells how the request ended
	Lost      bool // it tells of an attempt at an endpoint whose end is not known
	Digest    Digest
	Outcome   Outcome
	Took      time.Duration
}

// Recorder keeps records. Note never waits.
type Recorder interface {
	Note(r Record)
}
