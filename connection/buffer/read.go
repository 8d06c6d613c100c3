package buffer

import (
	"io"

	"github.com/go-faster/errors"
)

// minReadBytes is the first capacity for a body of unknown length.
const minReadBytes = 8 << 10

// ErrTooLarge is returned for a body over its own limit.
var ErrTooLarge = errors.New("body is too large")

// ReadAll reads a whole body and calls reserve before it allocates memory for it. size is the
// length of the body, or negative if it is not known.
func ReadAll(r io.Reader, size, limit int, reserve func(n int) error) ([]byte, error) {
	if size > limit {
		return nil, ErrTooLarge
	}
	if size >= 0 {
		if err := reserve(size); err != nil {
			return nil, err
		}
		body := make([]byte, size)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	return readUnsized(r, limit, reserve)
}

// readUnsized reads a body of unknown length.
func readUnsized(r io.Reader, limit int, reserve func(n int) error) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			capacity := min(max(minReadBytes, 2*cap(body)), limit+1)
			if err := reserve(capacity - cap(body)); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, capacity), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limit:
			return nil, ErrTooLarge
		case err == io.EOF: //nolint:errorlint // a wrapped EOF is a broken connection
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}
