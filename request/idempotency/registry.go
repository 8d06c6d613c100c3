package idempotency

import (
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"vetchtrail"
)

const (
	// retention is how long a record is stored after the expiry of its key.
	retention = 10 * time.Minute
	// maxResponseBytes is the size of the largest response body that is stored.
	maxResponseBytes = 1 << 20
	// recordBytes is the memory that a record takes without its response.
	recordBytes = 512
	// sweepInterval is the minimum time between two sweeps for old records.
	sweepInterval = 10 * time.Second
)

// Errors of Begin.
var (
	ErrFull    = errors.New("no memory left to record another request with a key")
	ErrExpired = errors.New("the key has expired")
	ErrReused  = errors.New("the key was already used for a different request")
)

// Config configures a Registry.
type Config struct {
	Host        string        // name of this host, for the keys that it issues
	Incarnation uint64        // of this process, for the keys that it issues
	KeyTime     time.Duration // from the issue of a key to its expiry
	MaxBytes    int           // limit of the memory of all records
}

// Registry issues keys and records the requests that were started with them. It is safe
// for concurrent use. Its records are lost with the process.
type Registry struct {
	cfg Config

	mu        sync.Mutex
	records   map[string]*Record // by the key's nonce
	bytes     int                // memory of all records
	lastSweep time.Time
}

// Record is the record of one key's request.
type Record struct {
	done        chan struct{} // closed when the request has ended
	fingerprint uint64        // see Fingerprint
	expires     time.Time     // expiry of the key

	// The fields below are set before done is closed and don't change afterwards.

	outcome vetchtrail.Outcome
	status  int
	header  []vetchtrail.HeaderField
	body    []byte
	stored  bool // status, header and body hold the whole response
}

// New returns a registry without records.
func New(c Config) *Registry { return &Registry{cfg: c, records: map[string]*Record{}} }

// Issue returns a new key.
func (r *Registry) Issue(now time.Time) Key {
	var nonce [nonceBytes]byte
	_, _ = rand.Read(nonce[:])
	return Key{
		Host: r.cfg.Host, Incarnation: r.cfg.Incarnation,
		Expires: now.Add(r.cfg.KeyTime).Truncate(time.Second), Nonce: hex.EncodeToString(nonce[:]),
	}
}

// IssuedHere reports whether this process issued the key.
func (r *Registry) IssuedHere(key Key) bool {
	return key.Host == r.cfg.Host && key.Incarnation == r.cfg.Incarnation
}

// Fingerprint returns a hash of the fields in which repeated requests must agree.
func Fingerprint(r *vetchtrail.Request) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{r.Service, r.Workspace, r.Method, r.Path} {
		_, _ = d.WriteString(s)
		_, _ = d.WriteString("\x00")
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

// Begin returns the record of a key that this process issued. If first is true, no request
// with the key is running or may have run: the caller runs this one and calls Finish.
// Otherwise an earlier request with the key is running or has ended: the caller waits for
// the record's Done and calls Replay.
func (r *Registry) Begin(key Key, fingerprint uint64, now time.Time) (rec *Record, first bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
	if rec, ok := r.records[key.Nonce]; ok {
		if rec.fingerprint != fingerprint {
			return nil, false, ErrReused
		}
		return rec, false, nil
	}
	if !now.Before(key.Expires) {
		return nil, false, ErrExpired
	}
	if r.bytes+recordBytes > r.cfg.MaxBytes {
		return nil, false, ErrFull
	}
	rec = &Record{done: make(chan struct{}), fingerprint: fingerprint, expires: key.Expires}
	r.records[key.Nonce] = rec
	r.bytes += recordBytes
	return rec, true, nil
}

// MayHaveBegun reports whether a request with a key that this process issued may be
// running or may have run: there is a record, or there may have been one that was removed.
func (r *Registry) MayHaveBegun(key Key) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.records[key.Nonce]
	return ok || RecordMayBeRemoved(key, time.Now())
}

// Finish records how a request ended, with its response unless that is too large or the
// memory is used up. The record of a request that did not run is removed, so that its key
// can be used again.
func (r *Registry) Finish(key Key, rec *Record, t *Tee, o vetchtrail.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec.outcome = o
	if o.Kind == vetchtrail.OutcomeAnswered && !t.tooLarge && r.bytes+len(t.body) <= r.cfg.MaxBytes {
		rec.status, rec.header, rec.body, rec.stored = t.status, t.header, t.body, true
		r.bytes += len(t.body)
	}
	if o.Kind == vetchtrail.OutcomeNotRun {
		r.remove(key.Nonce, rec)
	}
	close(rec.done)
}

func (r *Registry) remove(nonce string, rec *Record) {
	delete(r.records, nonce)
	r.bytes -= recordBytes + len(rec.body)
}

// sweep removes the records of requests that have ended and whose keys expired longer ago
// than the retention. The caller holds the lock.
func (r *Registry) sweep(now time.Time) {
	if now.Sub(r.lastSweep) < sweepInterval {
		return
	}
	r.lastSweep = now
	for nonce, rec := range r.records {
		select {
		case <-rec.done:
			if now.After(rec.expires.Add(retention)) {
				r.remove(nonce, rec)
			}
		default:
		}
	}
}

// RecordMayBeRemoved reports whether a record of the key may have been removed by now.
// If so, the absence of a record doesn't show that no request with the key ran.
func RecordMayBeRemoved(key Key, now time.Time) bool { return now.After(key.Expires.Add(retention)) }

// Stats is the size of a Registry.
type Stats struct {
	Records int // number of records
	Bytes   int // their memory, including the stored responses
}

// Stats returns the size of the registry.
func (r *Registry) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Stats{Records: len(r.records), Bytes: r.bytes}
}

// Done returns a channel that is closed when the request has ended.
func (r *Record) Done() <-chan struct{} { return r.done }

// Replay sends the stored response to a caller that repeated the request, and returns the
// outcome. It may only be called after Done is closed.
func (r *Record) Replay(w vetchtrail.ResponseWriter) vetchtrail.Outcome {
	o := r.outcome
	if o.Kind != vetchtrail.OutcomeAnswered {
		return o
	}
	if !r.stored {
		return vetchtrail.Outcome{
			Kind: vetchtrail.OutcomeUnknown, Status: 502, Step: vetchtrail.StepIdempotency, Reason: vetchtrail.ReasonResponseNotStored,
			Err: errors.New("the request ran and was answered, but its response was not stored"),
		}
	}
	if err := w.Begin(r.status, r.header); err != nil {
		return disconnectedOutcome(o, err)
	}
	if err := w.Write(r.body); err != nil {
		return disconnectedOutcome(o, err)
	}
	o.ResponseStarted = true
	return o
}

// disconnectedOutcome returns the outcome of a replay whose caller has disconnected.
func disconnectedOutcome(o vetchtrail.Outcome, err error) vetchtrail.Outcome {
	o.Reason, o.Err, o.ResponseStarted = vetchtrail.ReasonCallerGone, err, true
	return o
}

// Tee forwards a response to the caller and stores a copy of it. If the caller has
// disconnected, Tee returns no error and still stores the response, because the caller may
// repeat the request to get it.
type Tee struct {
	To           vetchtrail.ResponseWriter // where the response is forwarded
	status       int
	header       []vetchtrail.HeaderField
	body         []byte
	tooLarge     bool // the body exceeds maxResponseBytes and is not stored
	disconnected bool // the caller has disconnected
}

// Begin implements vetchtrail.ResponseWriter.
func (t *Tee) Begin(status int, header []vetchtrail.HeaderField) error {
	t.status, t.header = status, header
	t.disconnected = t.To.Begin(status, header) != nil
	return nil
}

// Write implements vetchtrail.ResponseWriter.
func (t *Tee) Write(part []byte) error {
	if !t.disconnected {
		t.disconnected = t.To.Write(part) != nil
	}
	if t.tooLarge || len(t.body)+len(part) > maxResponseBytes {
		t.tooLarge, t.body = true, nil
		return nil
	}
	t.body = append(t.body, part...)
	return nil
}
