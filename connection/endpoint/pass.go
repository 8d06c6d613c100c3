package endpoint

import (
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"vetchtrail"
)

// pass hands the answer on.
func (t *attempt) pass() error {
	switch {
	case t.req.Begun && (t.resp.StatusCode() != fasthttp.StatusOK || !t.events()):
		return errors.Errorf("status %d where a stream should go on", t.resp.StatusCode())
	case t.keepFailure():
		return t.keep()
	case t.events():
		return t.passEvents()
	case t.body.size() >= 0 && t.body.size() <= wholeLimit, t.req.Route != "":
		return t.passWhole()
	case !t.body.framed():
		return errors.New("the answer has neither a length nor chunks: its end can't be told from a cut")
	}
	return t.passParts()
}

// keepFailure says whether the answer is a failure that another attempt may
// better.
func (t *attempt) keepFailure() bool {
	return t.req.Route != "" && t.req.Repeats && t.resp.StatusCode() >= firstFailure
}

func (t *attempt) keep() error {
	whole, err := t.whole()
	if err != nil {
		return err
	}
	t.kept = &vetchtrail.KeptAnswer{Status: t.resp.StatusCode(), Header: t.header(), Body: whole}
	return nil
}

// events says whether the answer is a stream of a model's events.
func (t *attempt) events() bool {
	return (t.req.Kind == vetchtrail.KindModel || t.req.Stream) &&
		strings.HasPrefix(string(t.resp.Header.ContentType()), "text/event-stream")
}

// whole reads the whole body.
func (t *attempt) whole() ([]byte, error) {
	whole, err := io.ReadAll(io.LimitReader(t.body, wholeLimit+1))
	if err == nil && len(whole) > wholeLimit {
		err = errors.Errorf("the answer is over %d bytes", wholeLimit)
	}
	return whole, err
}

func (t *attempt) passWhole() error {
	whole, err := t.whole()
	if err != nil {
		return err
	}
	if t.req.Route == "" && t.req.Kind == vetchtrail.KindModel && t.resp.StatusCode() == fasthttp.StatusOK && !json.Valid(whole) {
		return errors.New("the answer is not JSON")
	}
	return t.part(whole)
}

func (t *attempt) passParts() error {
	part := make([]byte, readBuffer)
	for {
		_ = t.conn.SetDeadline(time.Now().Add(stallTime))
		n, err := t.body.Read(part)
		if n > 0 {
			if err := t.part(part[:n]); err != nil {
				return err
			}
		}
		if isEnd(err) {
			return t.begin()
		}
		if err != nil {
			return err
		}
	}
}

// part begins the answer with its first part, so that one which breaks before
// is not begun.
func (t *attempt) part(p []byte) error {
	if err := t.begin(); err != nil {
		return err
	}
	if len(p) == 0 {
		return nil
	}
	return t.answer.Write(p)
}

func (t *attempt) begin() error {
	if t.begun {
		return nil
	}
	t.begun = true
	t.timing.First = time.Now()
	if t.of.cfg.Observer != nil {
		t.of.cfg.Observer.Started(t.to, t.req, t.timing.First)
	}
	return t.answer.Begin(t.resp.StatusCode(), t.header())
}
