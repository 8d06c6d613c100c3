package dial

import (
	"net"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// TestPeerThatDoesNotRead guards against connections that end in a second of silence, or stay open while the other side takes nothing for long.
func TestPeerThatDoesNotRead(t *testing.T) {
	cases := map[string]struct {
		write   int           // bytes; more than the buffers hold if the other side doesn't read
		silence time.Duration // until the other side reads
		ends    bool
	}{
		"little sent, silent for long":   {100, unackedTimeout + 2*time.Second, false},
		"much sent, silent for a second": {16 << 20, 1200 * time.Millisecond, false},
		"much sent, silent for longer":   {16 << 20, unackedTimeout + 3*time.Second, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = l.Close() }()
			done := make(chan struct{})
			go func() {
				defer close(done)
				s, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = s.Close() }()
				time.Sleep(c.silence)
				buf := make([]byte, 1<<20)
				for {
					if _, err := s.Read(buf); err != nil {
						return
					}
				}
			}()
			d := Dialer(time.Second)
			conn, err := d.DialContext(t.Context(), "tcp", l.Addr().String())
			assert.NilError(t, err)
			began := time.Now()
			_, err = conn.Write(make([]byte, c.write))
			t.Logf("written after %s: %v", time.Since(began), err)
			if err == nil && c.write == 100 {
				time.Sleep(c.silence)
				_, err = conn.Write([]byte("x"))
			}
			assert.Equal(t, errors.Is(err, unix.ETIMEDOUT), c.ends, "%v", err)
			_ = conn.Close()
			<-done
		})
	}
}
