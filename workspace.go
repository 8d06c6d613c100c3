package vetchtrail

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/go-faster/errors"
)

// Workspace is a caller's account: a workshop, a notary's office.
type Workspace struct {
	Name     string
	Home     string   // region it belongs to; empty: where its request enters
	Allowed  []string // narrows the service's regions; empty: does not
	Priority int8     // higher goes first
	// Keys are the hashes of the keys by which its callers show that they are.
	Keys []KeyHash
	// Locked says that nobody is taken for its caller without a key, also when all its keys
	// were taken away.
	Locked bool
	Quota  Quota
}

// MaxKey is the longest key of a caller, in bytes.
const MaxKey = 128

// KeyHash stands for a caller's key: the configuration, the log and other hosts see
// nothing else of it. It is the first half of SHA-256, of which no two keys are found
// that give the same.
type KeyHash [sha256.Size / 2]byte

// HashKey returns the hash of a caller's key. What is beyond MaxKey doesn't count: such
// keys are refused before (CheckKey).
func HashKey(key string) KeyHash {
	var text [MaxKey]byte // on the stack: a look-up allocates nothing
	n := copy(text[:], key)
	sum := sha256.Sum256(text[:n])
	return KeyHash(sum[:len(KeyHash{})])
}

// Errors of callers' keys.
var (
	ErrNoKey   = errors.New("the request has no key")
	ErrLongKey = errors.New("the key is too long")
	ErrOddKey  = errors.New("the key holds bytes that no key has, or was sent twice")
)

// CheckKey says what is wrong with the text of a key: empty, over MaxKey bytes, or with
// bytes that are no visible ASCII or separate values of a header field.
func CheckKey(key string) error {
	switch {
	case key == "":
		return ErrNoKey
	case len(key) > MaxKey:
		return ErrLongKey
	}
	for i := range len(key) {
		if c := key[i]; c <= ' ' || c > '~' || c == ',' || c == ';' || c == '"' {
			return ErrOddKey
		}
	}
	return nil
}

// String returns the hash as hexadecimal digits.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText implements encoding.TextMarshaler.
func (h KeyHash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *KeyHash) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(h) || len(text)%2 != 0 {
		return errors.Errorf("the hash of a key has %d hexadecimal digits", hex.EncodedLen(len(h)))
	}
	if _, err := hex.Decode(h[:], text); err != nil {
		return errors.Wrap(err, "the hash of a key")
	}
	return nil
}
