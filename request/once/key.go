// Package once runs requests that may not be repeated at most once. A key is
// issued by a host and bound to its incarnation: no other process ever starts
// a request with it, so nothing needs to be agreed on or kept elsewhere.
package once

import (
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	keyVersion = "v1"
	keyParts   = 5
	keyMark    = "."
	nonceBytes = 9
	maxKey     = 256 // bytes
)

// Key names one request that may run at most once.
type Key struct {
	Host        string // that issued it and alone may start its request
	Incarnation uint64 // of that host's process
	Expires     time.Time
	Nonce       string
}

// String returns the key as callers hold it.
func (k Key) String() string {
	return strings.Join([]string{
		keyVersion, k.Host, strconv.FormatUint(k.Incarnation, 16), strconv.FormatInt(k.Expires.Unix(), 10), k.Nonce,
	}, keyMark)
}

// Parse reads a key that a caller sent.
func Parse(s string) (Key, error) {
	parts := strings.Split(s, keyMark)
	if len(s) > maxKey || len(parts) != keyParts || parts[0] != keyVersion || parts[1] == "" {
		return Key{}, errors.New("once.Parse: not a key issued by POST /v1/keys or GET /v1/hosts")
	}
	incarnation, err := strconv.ParseUint(parts[2], 16, 64)
	if err != nil {
		return Key{}, errors.New("once.Parse: the key's third part is not an incarnation")
	}
	expires, err := strconv.ParseInt(parts[3], 10, 64)
	if err != nil {
		return Key{}, errors.New("once.Parse: the key's fourth part is not a time")
	}
	if _, err := hex.DecodeString(parts[4]); err != nil || parts[4] == "" {
		return Key{}, errors.New("once.Parse: the key's last part is not hexadecimal")
	}
	return Key{Host: parts[1], Incarnation: incarnation, Expires: time.Unix(expires, 0), Nonce: parts[4]}, nil
}
