package gate

import (
	"io"
	"net/http"
	"strconv"
)

// wholeBytes is the longest answer that is passed on only once it is whole, unless
// it pauses.
const wholeBytes = 32 << 10

// Relay writes an answer of the target. Short answers are written when they are
// whole, or when they pause; others as they arrive. It returns whether anything was
// written. After an error with something written, the connection must be aborted,
// so that the answer does not look complete.
func Relay(w http.ResponseWriter, a *Result, reply func(http.Header)) (committed bool, err error) {
	o := &relayWriter{w: w, a: a, reply: reply}
	a.OnPause(o.pause)
	if a.Body == nil {
		o.commit()
		return true, nil
	}
	buffer := make([]byte, 4096)
	for {
		n, err := a.Body.Read(buffer)
		if n > 0 {
			if e := o.take(buffer[:n]); e != nil {
				return o.committed, e
			}
		}
		if err == io.EOF {
			if !o.committed {
				a.Length = int64(len(o.held))
			}
			return true, o.flush(false)
		}
		if err != nil {
			return o.committed, err
		}
	}
}

// relayWriter holds back the beginning of an answer.
type relayWriter struct {
	w         http.ResponseWriter
	a         *Result
	reply     func(http.Header)
	held      []byte
	committed bool
	err       error
}

func (o *relayWriter) take(b []byte) error {
	o.held = append(o.held, b...)
	if o.committed || len(o.held) > wholeBytes {
		return o.flush(o.committed)
	}
	return o.err
}

// pause passes on what has arrived. It runs in the goroutine that reads the body.
func (o *relayWriter) pause() { o.err = o.flush(true) }

func (o *relayWriter) flush(through bool) error {
	if o.err != nil {
		return o.err
	}
	o.commit()
	if len(o.held) > 0 {
		if _, err := o.w.Write(o.held); err != nil {
			return err
		}
		o.held = o.held[:0]
	}
	if through {
		return http.NewResponseController(o.w).Flush()
	}
	return nil
}

func (o *relayWriter) commit() {
	if o.committed {
		return
	}
	o.committed = true
	h := o.w.Header()
	for k, v := range o.a.Header {
		switch k {
		case "Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "Proxy-Connection", "Te":
		default:
			h[k] = v
		}
	}
	h.Del("Content-Length")
	if o.a.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(o.a.Length, 10))
	}
	if o.reply != nil {
		o.reply(h)
	}
	o.w.WriteHeader(o.a.Status)
}
