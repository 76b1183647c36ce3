package ingress

import (
	"errors"
	"io"
	"net/http"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
)

// errBodyTooLarge ends a streamed body that exceeds the limit.
var errBodyTooLarge = errors.New("the body exceeds the limit of the configuration")

// overLimits returns the reason to reject a request that exceeds the operator's limits, or "".
// The head is measured as it was parsed, which is never longer than it was sent.
func overLimits(limits message.CallerLimits, r *http.Request) hop.Reason {
	if limits.MaxHeaderBytes > 0 {
		size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("Host:\r\n") + len(r.Host)
		for name, values := range r.Header {
			for _, value := range values {
				size += len(name) + len(value) + len(":\r\n")
			}
		}
		if size > limits.MaxHeaderBytes {
			return hop.HeaderTooLarge
		}
	}
	if limits.MaxBodyBytes > 0 && r.ContentLength > int64(limits.MaxBodyBytes) {
		return hop.BodyTooLarge
	}
	return ""
}

// limitBody returns a reader of the rest of a body, of which some bytes have been read. It
// fails where the body exceeds the limit.
func limitBody(body io.Reader, limits message.CallerLimits, read int) io.Reader {
	if limits.MaxBodyBytes <= 0 {
		return body
	}
	return &limitedBody{body, limits.MaxBodyBytes - read}
}

type limitedBody struct {
	body io.Reader
	rest int
}

// Read implements io.Reader.
func (l *limitedBody) Read(b []byte) (int, error) {
	n, err := l.body.Read(b)
	if n > l.rest {
		return 0, errBodyTooLarge
	}
	l.rest -= n
	return n, err
}
