package once

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
	// keptAfter is how long an answer is kept after its key expired.
	keptAfter = 10 * time.Minute
	// maxKept bounds one kept answer, in bytes.
	maxKept = 1 << 20
	// recordCost is the memory of a record beside its answer, in bytes.
	recordCost = 512
	sweepEvery = 10 * time.Second
)

// Errors of Begin.
var (
	ErrFull    = errors.New("no room to remember one more request")
	ErrExpired = errors.New("the key has expired")
	ErrReused  = errors.New("the key was used for another request")
)

// Config is what a Keeper needs.
type Config struct {
	Host        string
	Incarnation uint64
	KeyTime     time.Duration // from a key's issue to its expiry
	MaxBytes    int           // of all records
}

// Keeper issues keys and remembers what became of them.
type Keeper struct {
	cfg Config

	mu      sync.Mutex
	records map[string]*Record // by nonce
	bytes   int
	swept   time.Time
}

// Record is what is known of one key's request.
type Record struct {
	done    chan struct{} // closed when the request has ended
	print   uint64        // hash of the request
	expires time.Time     // of the key

	// Set before done is closed, and not changed after.
	outcome vetchtrail.Outcome
	status  int
	header  []vetchtrail.HeaderField
	body    []byte
	whole   bool // the answer is kept whole
}

// New returns a keeper without records.
func New(c Config) *Keeper { return &Keeper{cfg: c, records: map[string]*Record{}} }

// Issue returns a new key.
func (k *Keeper) Issue(now time.Time) Key {
	var nonce [nonceBytes]byte
	_, _ = rand.Read(nonce[:])
	return Key{
		Host: k.cfg.Host, Incarnation: k.cfg.Incarnation,
		Expires: now.Add(k.cfg.KeyTime).Truncate(time.Second), Nonce: hex.EncodeToString(nonce[:]),
	}
}

// Mine says whether this process issued the key.
func (k *Keeper) Mine(key Key) bool {
	return key.Host == k.cfg.Host && key.Incarnation == k.cfg.Incarnation
}

// Fingerprint returns a hash of what makes a request the same request.
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

// Begin returns the record of a key that this process issued. With first, the
// request has not been started: the caller starts it and calls Finish.
// Otherwise it was, and the record tells or will tell what became of it.
func (k *Keeper) Begin(key Key, print uint64, now time.Time) (rec *Record, first bool, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sweep(now)
	if rec, ok := k.records[key.Nonce]; ok {
		if rec.print != print {
			return nil, false, ErrReused
		}
		return rec, false, nil
	}
	if !now.Before(key.Expires) {
		return nil, false, ErrExpired
	}
	if k.bytes+recordCost > k.cfg.MaxBytes {
		return nil, false, ErrFull
	}
	rec = &Record{done: make(chan struct{}), print: print, expires: key.Expires}
	k.records[key.Nonce] = rec
	k.bytes += recordCost
	return rec, true, nil
}

// Begun says whether there is a record of a key that this process issued.
func (k *Keeper) Begun(key Key) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, ok := k.records[key.Nonce]
	return ok || Forgotten(key, time.Now())
}

// Finish notes how a request ended. One that did not run may be begun again
// with the same key.
func (k *Keeper) Finish(key Key, rec *Record, a *Tee, o vetchtrail.Outcome) {
	k.mu.Lock()
	defer k.mu.Unlock()
	rec.outcome = o
	if o.Kind == vetchtrail.Answered && !a.over && k.bytes+len(a.body) <= k.cfg.MaxBytes {
		rec.status, rec.header, rec.body, rec.whole = a.status, a.header, a.body, true
		k.bytes += len(a.body)
	}
	if o.Kind == vetchtrail.NotRun {
		k.drop(key.Nonce, rec)
	}
	close(rec.done)
}

func (k *Keeper) drop(nonce string, rec *Record) {
	delete(k.records, nonce)
	k.bytes -= recordCost + len(rec.body)
}

// sweep drops ended records whose keys expired long ago. The caller holds the
// lock.
func (k *Keeper) sweep(now time.Time) {
	if now.Sub(k.swept) < sweepEvery {
		return
	}
	k.swept = now
	for nonce, rec := range k.records {
		select {
		case <-rec.done:
			if now.After(rec.expires.Add(keptAfter)) {
				k.drop(nonce, rec)
			}
		default:
		}
	}
}

// Forgotten says whether a record of the key could have been dropped by now.
func Forgotten(key Key, now time.Time) bool { return now.After(key.Expires.Add(keptAfter)) }

// Stats are the keeper's records and their memory in bytes.
type Stats struct {
	Records int
	Bytes   int
}

// Stats returns the keeper's size.
func (k *Keeper) Stats() Stats {
	k.mu.Lock()
	defer k.mu.Unlock()
	return Stats{Records: len(k.records), Bytes: k.bytes}
}

// Done is closed when the request has ended.
func (r *Record) Done() <-chan struct{} { return r.done }

// Replay gives a caller the first answer again. It may only be called after
// Done.
func (r *Record) Replay(a vetchtrail.Answer) vetchtrail.Outcome {
	o := r.outcome
	if o.Kind != vetchtrail.Answered {
		return o
	}
	if !r.whole {
		return vetchtrail.Outcome{
			Kind: vetchtrail.Unknown, Status: 502, Step: vetchtrail.StepOnce, Reason: vetchtrail.ReasonNotKept,
			Err: errors.New("the request ran once and was answered, but its answer is not kept"),
		}
	}
	if err := a.Begin(r.status, r.header); err != nil {
		return gone(o, err)
	}
	if err := a.Write(r.body); err != nil {
		return gone(o, err)
	}
	o.Begun = true
	return o
}

func gone(o vetchtrail.Outcome, err error) vetchtrail.Outcome {
	o.Reason, o.Err, o.Begun = vetchtrail.ReasonCallerGone, err, true
	return o
}

// Tee passes an answer on and keeps a copy. When the first caller has gone, it
// goes on keeping: a repeat will ask.
type Tee struct {
	To     vetchtrail.Answer
	status int
	header []vetchtrail.HeaderField
	body   []byte
	over   bool
	gone   bool
}

// Begin implements vetchtrail.Answer.
func (t *Tee) Begin(status int, header []vetchtrail.HeaderField) error {
	t.status, t.header = status, header
	t.gone = t.To.Begin(status, header) != nil
	return nil
}

// Write implements vetchtrail.Answer.
func (t *Tee) Write(part []byte) error {
	if !t.gone {
		t.gone = t.To.Write(part) != nil
	}
	if t.over || len(t.body)+len(part) > maxKept {
		t.over, t.body = true, nil
		return nil
	}
	t.body = append(t.body, part...)
	return nil
}
