package gate

import (
	"io"
	"net/http"
	"strconv"
)

// maxBufferedResponse is the longest response body that is buffered until it is complete
// or pauses. Longer bodies are streamed.
const maxBufferedResponse = 32 << 10

// Relay writes a response of the target to w. It writes a short response once it is
// complete or pauses, and longer ones as they arrive. If addHeader is set, it is called
// to add fields to the header before that is written.
//
// Relay returns whether anything was written. After an error with something written, the
// caller must abort the connection, so that the response does not look complete.
func Relay(w http.ResponseWriter, result *Result, addHeader func(http.Header)) (committed bool, err error) {
	rw := &relayWriter{w: w, result: result, addHeader: addHeader}
	result.OnPause(rw.onPause)
	if result.Body == nil {
		rw.writeHeader()
		return true, nil
	}
	buffer := make([]byte, 4096)
	for {
		n, err := result.Body.Read(buffer)
		if n > 0 {
			if writeErr := rw.write(buffer[:n]); writeErr != nil {
				return rw.committed, writeErr
			}
		}
		if err == io.EOF {
			if !rw.committed {
				result.Length = int64(len(rw.buffered))
			}
			return true, rw.writeBuffered(false)
		}
		if err != nil {
			return rw.committed, err
		}
	}
}

// relayWriter buffers the beginning of a response and streams the rest.
type relayWriter struct {
	w         http.ResponseWriter
	result    *Result
	addHeader func(http.Header)
	buffered  []byte
	// committed is true once the header has been written.
	committed bool
	// err is the error of a write in onPause.
	err error
}

func (rw *relayWriter) write(b []byte) error {
	rw.buffered = append(rw.buffered, b...)
	if rw.committed || len(rw.buffered) > maxBufferedResponse {
		return rw.writeBuffered(rw.committed)
	}
	return rw.err
}

// onPause writes the bytes that have arrived when the body pauses. It is called by the
// goroutine that reads the body.
func (rw *relayWriter) onPause() { rw.err = rw.writeBuffered(true) }

// writeBuffered writes the header, if that has not been done, and the buffered bytes. If
// flush is true, it sends them to the client immediately.
func (rw *relayWriter) writeBuffered(flush bool) error {
	if rw.err != nil {
		return rw.err
	}
	rw.writeHeader()
	if len(rw.buffered) > 0 {
		if _, err := rw.w.Write(rw.buffered); err != nil {
			return err
		}
		rw.buffered = rw.buffered[:0]
	}
	if flush {
		return http.NewResponseController(rw.w).Flush()
	}
	return nil
}

// writeHeader writes the header with the end-to-end fields of the response, once.
func (rw *relayWriter) writeHeader() {
	if rw.committed {
		return
	}
	rw.committed = true
	header := rw.w.Header()
	for name, values := range rw.result.Header {
		switch name {
		case "Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "Proxy-Connection", "Te":
		default:
			header[name] = values
		}
	}
	header.Del("Content-Length")
	if rw.result.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(rw.result.Length, 10))
	}
	if rw.addHeader != nil {
		rw.addHeader(header)
	}
	rw.w.WriteHeader(rw.result.Status)
}
