package node

import (
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/gentiansail/gentiansail/internal/exchange"
	"github.com/gentiansail/gentiansail/internal/header"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/partition"
)

const (
	// prefixBytes is how much of a body the crash fingerprint covers, and the
	// longest body that allows a second attempt.
	bufferedBodyBytes = 64 << 10
	// onceBytes bounds the body of a request that must not repeat, which is
	// read as a whole.
	maxOperationBodyBytes = 1 << 20
	// maxDeadline bounds the deadline that a caller may ask for.
	maxDeadline clock.Millis = 600_000
	// defaultDeadline is used by routes that state none.
	defaultDeadline clock.Millis = 10_000
	// maxRequestIDBytes bounds a request id that a caller chose.
	maxRequestIDBytes = 128
)

// request is one request on its way to a target. It is the same on the ingress
// node and on the owning node.
type request struct {
	id       string
	method   string
	path     string // escaped
	query    string
	host     string
	header   http.Header // end-to-end fields
	body     body
	route    wire.RouteConfig
	caller   wire.CallerID
	deadline clock.Millis // on this node's clock
	attempt  int

	// The place that the ingress node chose. Partition and epoch are empty for a
	// service that is not keyed.
	incarnation  wire.Incarnation
	partition    wire.PartitionID
	fencingToken wire.FencingToken
	// key is the hash of the key of a request to a keyed service.
	key   uint64
	keyed bool
	// entry is the request's number among those in flight on the owner's side.
	inFlightID uint64
}

// body is a request body: what has been read of it, and the rest.
type body struct {
	prefix []byte
	rest   io.ReadCloser // nil when prefix is the whole body
	length int64         // -1 when unknown
}

// readBody reads up to limit bytes ahead.
func readPrefix(r *http.Request, limit int64) (body, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return body{}, nil
	}
	prefix, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return body{}, err
	}
	if int64(len(prefix)) <= limit {
		return body{prefix: prefix, length: int64(len(prefix))}, nil
	}
	return body{prefix: prefix, rest: r.Body, length: r.ContentLength}, nil
}

// whole reports whether the body is in memory, so that it can be sent again.
func (b body) buffered() bool { return b.rest == nil }

// reader returns the body for one attempt.
func (b body) reader() io.ReadCloser {
	if b.buffered() {
		return exchange.Body(b.prefix)
	}
	return struct {
		io.Reader
		io.Closer
	}{io.MultiReader(exchange.Body(b.prefix), b.rest), b.rest}
}

// outgoing returns the request as it goes over a connection to address.
func (q *request) newOutgoing(address string, now clock.Millis) (*http.Request, error) {
	target := "http://" + address + q.path
	if q.query != "" {
		target += "?" + q.query
	}
	r, err := http.NewRequest(q.method, target, nil)
	if err != nil {
		return nil, err
	}
	r.Host = q.host
	r.Header = q.header.Clone()
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	r.Body = q.body.reader()
	r.ContentLength = q.body.length
	r.Header.Set(header.RequestID, q.id)
	r.Header.Set(header.DeadlineMillis, strconv.FormatInt(int64(q.deadline-now), 10))
	if q.partition != "" {
		r.Header.Set(header.Partition, string(q.partition))
		r.Header.Set(header.Epoch, strconv.Itoa(int(q.fencingToken)))
	}
	return r, nil
}

// fingerprint identifies the content of a request, to recognise one that
// crashes targets.
func (q *request) fingerprint() wire.Fingerprint {
	h := q.newHash()
	n := min(len(q.body.prefix), bufferedBodyBytes)
	_, _ = h.Write(q.body.prefix[:n])
	if len(q.body.prefix) > bufferedBodyBytes {
		_, _ = h.WriteString(strconv.FormatInt(q.body.length, 10))
	}
	return wire.Fingerprint(partition.FormatHash(h.Sum64()))
}

// onceFingerprint identifies the content of a request that must not repeat. It
// differs between callers, and covers the whole body.
func (q *request) operationFingerprint() wire.Fingerprint {
	h := q.newHash()
	writeField(h, string(q.caller))
	_, _ = h.Write(q.body.prefix)
	return wire.Fingerprint(partition.FormatHash(h.Sum64()))
}

func (q *request) newHash() *xxhash.Digest {
	h := xxhash.New()
	for _, f := range []string{string(q.route.Service), q.method, q.path, q.query} {
		writeField(h, f)
	}
	return h
}

// writeField adds a length, so that the border between fields counts.
func writeField(h *xxhash.Digest, f string) {
	_, _ = h.WriteString(strconv.Itoa(len(f)))
	_, _ = h.WriteString(":")
	_, _ = h.WriteString(f)
}

// remainingMillis returns the time that a request has left: what its header
// states, or else the route's.
func remainingMillis(h http.Header, routeDeadline clock.Millis) clock.Millis {
	stated, err := strconv.ParseInt(h.Get(header.DeadlineMillis), 10, 64)
	if err == nil && stated >= 0 {
		return clock.Millis(min(stated, int64(maxDeadline)))
	}
	if routeDeadline > 0 {
		return min(routeDeadline, maxDeadline)
	}
	return defaultDeadline
}

// validRequestID accepts ids of printable ASCII characters.
func validRequestID(id string) bool {
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return id != "" && len(id) <= maxRequestIDBytes
}
