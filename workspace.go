package vetchtrail

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/go-faster/errors"
)

// Workspace is a customer's account.
type Workspace struct {
	Name     string
	Home     string   // region that it belongs to; empty: the region where a request is received
	Allowed  []string // regions that its requests are restricted to; empty: no restriction
	Priority int8     // higher is more urgent
	// Keys are the hashes of the keys by which its callers identify themselves.
	Keys []KeyHash
	// Locked is set if callers always need a key, even if all keys of the workspace have been
	// removed.
	Locked bool
	Quota  Quota
}

// MaxKeyBytes is the maximum length of a workspace key, in bytes.
const MaxKeyBytes = 128

// KeyHash is the hash of a workspace key. The configuration and its log contain only this
// hash, never the key. It is the first half of a SHA-256 sum, which makes it infeasible to
// find another key with the same hash.
type KeyHash [sha256.Size / 2]byte

// HashKey returns the hash of a workspace key. It hashes only the first MaxKeyBytes bytes, as
// CheckKey rejects longer keys.
func HashKey(key string) KeyHash {
	var text [MaxKeyBytes]byte // on the stack, so that hashing allocates nothing
	n := copy(text[:], key)
	sum := sha256.Sum256(text[:n])
	return KeyHash(sum[:len(KeyHash{})])
}

// Errors of callers' keys.
var (
	ErrNoKey      = errors.New("the request has no key")
	ErrLongKey    = errors.New("the key is too long")
	ErrInvalidKey = errors.New("the key contains invalid characters or was sent more than once")
)

// CheckKey returns an error if the text can't be a key: if it is empty, is longer than
// MaxKeyBytes bytes, or contains a byte that is not visible ASCII or that separates the
// values of a header field.
func CheckKey(key string) error {
	switch {
	case key == "":
		return ErrNoKey
	case len(key) > MaxKeyBytes:
		return ErrLongKey
	}
	for i := range len(key) {
		if c := key[i]; c <= ' ' || c > '~' || c == ',' || c == ';' || c == '"' {
			return ErrInvalidKey
		}
	}
	return nil
}

// String returns the hash in hexadecimal.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText implements encoding.TextMarshaler.
func (h KeyHash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *KeyHash) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(h) || len(text)%2 != 0 {
		return errors.Errorf("key hash must have %d hexadecimal digits", hex.EncodedLen(len(h)))
	}
	if _, err := hex.Decode(h[:], text); err != nil {
		return errors.Wrap(err, "key hash")
	}
	return nil
}
