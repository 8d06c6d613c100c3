package vetchtrail

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

// ContentHash is the content hash of a request. Requests with the same hash are retries of
// one request. It is the first half of a SHA-256 sum, so that nobody can get another caller's
// request quarantined by sending a different request with the same hash.
type ContentHash [sha256.Size / 2]byte

// ContentHash returns the content hash of the request: of its workspace, method, Host field,
// path with query, and body. Values that differ between retries, such as the request id and
// the deadline, are not included. The hash is computed once and then cached.
func (r *Request) ContentHash() ContentHash {
	if r.contentHash != (ContentHash{}) {
		return r.contentHash
	}
	h := sha256.New()
	for _, part := range []string{r.Workspace, r.Method, r.hostHeader(), r.Path} {
		// The length before each part keeps parts from running into each other: otherwise
		// "ab", "c" and "a", "bc" would have the same hash.
		var size [binary.MaxVarintLen64]byte
		_, _ = h.Write(size[:binary.PutUvarint(size[:], uint64(len(part)))])
		_, _ = io.WriteString(h, part)
	}
	_, _ = h.Write(r.Body)
	var sum [sha256.Size]byte
	r.contentHash = ContentHash(h.Sum(sum[:0])[:len(ContentHash{})])
	return r.contentHash
}

// PartHash returns the hash of a part of the prompts of a service's requests. Its second half is the id of
// the part.
func PartHash(service string, id uint64) ContentHash {
	var h ContentHash
	binary.BigEndian.PutUint64(h[:8], xxhash.Sum64String("part\x00"+service))
	binary.BigEndian.PutUint64(h[8:], id)
	return h
}

// SetContentHash sets the content hash that another host has computed.
func (r *Request) SetContentHash(h ContentHash) { r.contentHash = h }

// KnownContentHash returns the content hash if it has been computed before.
func (r *Request) KnownContentHash() (ContentHash, bool) {
	return r.contentHash, r.contentHash != ContentHash{}
}

func (r *Request) hostHeader() string {
	for _, f := range r.Header {
		if f.Name == "Host" {
			return f.Value
		}
	}
	return ""
}

// String returns the hash in hexadecimal.
func (h ContentHash) String() string { return hex.EncodeToString(h[:]) }

// ParseContentHash parses the output of ContentHash.String.
func ParseContentHash(s string) (ContentHash, error) {
	var h ContentHash
	if hex.DecodedLen(len(s)) != len(h) || len(s)%2 != 0 {
		return h, errors.Errorf("vetchtrail.ParseContentHash: %q is not %d hexadecimal digits", s, hex.EncodedLen(len(h)))
	}
	if _, err := hex.Decode(h[:], []byte(s)); err != nil {
		return h, errors.Wrap(err, "vetchtrail.ParseContentHash")
	}
	return h, nil
}
