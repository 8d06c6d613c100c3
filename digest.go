package vetchtrail

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"

	"github.com/go-faster/errors"
)

// Digest stands for what a caller asks: two requests of one digest are the same one that
// came again. It is half of SHA-256, of which nobody finds two requests that give the same:
// who could would have another caller's request taken for its own.
type Digest [sha256.Size / 2]byte

// Digest returns the request's digest: of its workspace, method, host name, path with query,
// and body. What differs each time that a caller asks again, as its id and the time it has,
// is not in it. The body is hashed once.
func (r *Request) Digest() Digest {
	if r.digest != (Digest{}) {
		return r.digest
	}
	h := sha256.New()
	for _, part := range []string{r.Workspace, r.Method, r.hostName(), r.Path} {
		var size [binary.MaxVarintLen64]byte // parts of other lengths are others
		_, _ = h.Write(size[:binary.PutUvarint(size[:], uint64(len(part)))])
		_, _ = io.WriteString(h, part)
	}
	_, _ = h.Write(r.Body)
	var sum [sha256.Size]byte
	r.digest = Digest(h.Sum(sum[:0])[:len(Digest{})])
	return r.digest
}

// Digested sets the digest that another host took of the request.
func (r *Request) Digested(d Digest) { r.digest = d }

// KnownDigest returns the digest if it was taken before.
func (r *Request) KnownDigest() (Digest, bool) { return r.digest, r.digest != Digest{} }

func (r *Request) hostName() string {
	for _, f := range r.Header {
		if f.Name == "Host" {
			return f.Value
		}
	}
	return ""
}

// String returns the digest as hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest reads what String wrote.
func ParseDigest(s string) (Digest, error) {
	var d Digest
	if hex.DecodedLen(len(s)) != len(d) || len(s)%2 != 0 {
		return d, errors.Errorf("vetchtrail.ParseDigest: %q is not %d hexadecimal digits", s, hex.EncodedLen(len(d)))
	}
	if _, err := hex.Decode(d[:], []byte(s)); err != nil {
		return d, errors.Wrap(err, "vetchtrail.ParseDigest")
	}
	return d, nil
}
