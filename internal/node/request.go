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
	// bufferedBodyBytes is the length of the body prefix that is read into memory.
	// The crash fingerprint covers it, and only bodies of at most this length can
	// be sent again in another attempt.
	bufferedBodyBytes = 64 << 10
	// maxOperationBodyBytes is the maximum body of a request that must run at most
	// once. Such a body is read into memory completely.
	maxOperationBodyBytes = 1 << 20
	// maxDeadline is the longest deadline that a caller can request.
	maxDeadline clock.Millis = 600_000
	// defaultDeadline applies to routes without a deadline of their own.
	defaultDeadline clock.Millis = 10_000
	// maxRequestIDBytes is the maximum length of a request ID set by a caller.
	maxRequestIDBytes = 128
)

// routedRequest is a caller's request on its way to a target. The ingress node and
// the owning node use the same type.
type routedRequest struct {
	id       string
	method   string
	path     string // escaped
	query    string
	host     string
	header   http.Header // end-to-end fields
	body     prefetchedBody
	route    wire.RouteConfig
	caller   wire.CallerID
	deadline clock.Millis // on this node's clock
	attempt  int

	// The member and the grant that the ingress node chose. Partition and fencing
	// token are empty for a service that is not keyed.
	incarnation  wire.Incarnation
	partition    wire.PartitionID
	fencingToken wire.FencingToken
	// key is the hash of the request's key, valid if keyed.
	key   uint64
	keyed bool
	// inFlightID identifies the request in the owner's requestTracker.
	inFlightID uint64
}

// prefetchedBody is a request body of which a prefix has been read into memory.
type prefetchedBody struct {
	prefix []byte
	rest   io.ReadCloser // nil if prefix is the whole body
	length int64         // -1 if unknown
}

// prefetchBody reads the first limit bytes of a body into memory, or the whole body if
// it isn't longer.
func prefetchBody(r *http.Request, limit int64) (prefetchedBody, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return prefetchedBody{}, nil
	}
	prefix, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return prefetchedBody{}, err
	}
	if int64(len(prefix)) <= limit {
		return prefetchedBody{prefix: prefix, length: int64(len(prefix))}, nil
	}
	return prefetchedBody{prefix: prefix, rest: r.Body, length: r.ContentLength}, nil
}

// buffered reports whether the whole body is in memory and can be sent again.
func (b prefetchedBody) buffered() bool { return b.rest == nil }

// reader returns a reader of the whole body. It can be called again only if the
// body is buffered.
func (b prefetchedBody) reader() io.ReadCloser {
	if b.buffered() {
		return exchange.Body(b.prefix)
	}
	return struct {
		io.Reader
		io.Closer
	}{io.MultiReader(exchange.Body(b.prefix), b.rest), b.rest}
}

// newOutgoing returns the HTTP request to send to address.
func (q *routedRequest) newOutgoing(address string, now clock.Millis) (*http.Request, error) {
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
		r.Header.Set(header.FencingToken, strconv.Itoa(int(q.fencingToken)))
	}
	return r, nil
}

// fingerprint returns a hash of the request's content, by which requests that crash
// targets are recognised.
func (q *routedRequest) fingerprint() wire.Fingerprint {
	h := q.newHash()
	n := min(len(q.body.prefix), bufferedBodyBytes)
	_, _ = h.Write(q.body.prefix[:n])
	if len(q.body.prefix) > bufferedBodyBytes {
		_, _ = h.WriteString(strconv.FormatInt(q.body.length, 10))
	}
	return wire.Fingerprint(partition.FormatHash(h.Sum64()))
}

// operationFingerprint returns a hash of a request that must run at most once. It
// covers the caller and the whole body.
func (q *routedRequest) operationFingerprint() wire.Fingerprint {
	h := q.newHash()
	writeField(h, string(q.caller))
	_, _ = h.Write(q.body.prefix)
	return wire.Fingerprint(partition.FormatHash(h.Sum64()))
}

func (q *routedRequest) newHash() *xxhash.Digest {
	h := xxhash.New()
	for _, f := range []string{string(q.route.Service), q.method, q.path, q.query} {
		writeField(h, f)
	}
	return h
}

// writeField writes a field with its length, so that two requests whose fields
// are split differently have different hashes.
func writeField(h *xxhash.Digest, f string) {
	_, _ = h.WriteString(strconv.Itoa(len(f)))
	_, _ = h.WriteString(":")
	_, _ = h.WriteString(f)
}

// remainingMillis returns the time until a request's deadline: from its header if
// that is valid, else from the route, else defaultDeadline.
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

// validRequestID reports whether id consists of printable ASCII characters and is
// neither empty nor too long.
func validRequestID(id string) bool {
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return id != "" && len(id) <= maxRequestIDBytes
}
