package vetchtrail

import "time"

// Record is one decision on a request, and with Ended set what came of it.
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
	Outcome   Outcome
	Took      time.Duration
}

// Recorder keeps records. Note never waits.
type Recorder interface {
	Note(r Record)
}
