// Package idempotency makes sure that a request with an idempotency key runs at most once.
// The caller first gets a key from a host, then sends the request with that key. Only the
// process that issued the key starts the request, so hosts need no agreement and no shared
// storage. If that process ends, the key can't be used any more. The package issues the
// keys and stores the outcomes of their requests in memory; package dispatch runs the
// requests and forwards them to the issuing host.
package idempotency

import (
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	keyVersion   = "v1"
	keyParts     = 5
	keySeparator = "."
	nonceBytes   = 9
	maxKeyBytes  = 256
)

// Key identifies one request that may run at most once.
type Key struct {
	Host        string // host that issued the key; only it may start the request
	Incarnation uint64 // of that host's process
	Expires     time.Time
	Nonce       string
}

// String returns the key in the text form that callers receive and send: the version, the
// host, the incarnation in hexadecimal, the expiry in Unix seconds, and the nonce.
func (k Key) String() string {
	return strings.Join([]string{
		keyVersion, k.Host, strconv.FormatUint(k.Incarnation, 16), strconv.FormatInt(k.Expires.Unix(), 10), k.Nonce,
	}, keySeparator)
}

// Parse reads the text form of a key that a caller sent.
func Parse(s string) (Key, error) {
	parts := strings.Split(s, keySeparator)
	if len(s) > maxKeyBytes || len(parts) != keyParts || parts[0] != keyVersion || parts[1] == "" {
		return Key{}, errors.New("idempotency.Parse: not a key issued by POST /v1/keys or GET /v1/hosts")
	}
	incarnation, err := strconv.ParseUint(parts[2], 16, 64)
	if err != nil {
		return Key{}, errors.New("idempotency.Parse: the third part of the key is not an incarnation")
	}
	expires, err := strconv.ParseInt(parts[3], 10, 64)
	if err != nil {
		return Key{}, errors.New("idempotency.Parse: the fourth part of the key is not a Unix time")
	}
	if _, err := hex.DecodeString(parts[4]); err != nil || parts[4] == "" {
		return Key{}, errors.New("idempotency.Parse: the last part of the key is not hexadecimal")
	}
	return Key{Host: parts[1], Incarnation: incarnation, Expires: time.Unix(expires, 0), Nonce: parts[4]}, nil
}
