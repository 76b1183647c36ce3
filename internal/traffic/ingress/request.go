package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/traffic/gate"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/internal/traffic/view"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// request is the state of one request of a caller.
type request struct {
	id      string
	route   *message.Route
	service message.ServiceName
	// keyed is true if the service is divided by key.
	keyed bool
	// key is hop.NoKey if the service is not keyed or the caller sent no valid key.
	key     int
	arrival clock.Millis
	// firstArrival is when the first attempt of the caller arrived, as far as it is known.
	firstArrival clock.Millis
	deadline     clock.Millis
	// giveUp is when the caller gives up. The deadline is earlier if the timeout of the route is.
	giveUp clock.Millis
	// objective is the time by which the response should be complete, according to the
	// latency objective of the route.
	objective clock.Millis
	// header holds the end-to-end fields.
	header      http.Header
	body        []byte
	stream      *gate.BodyStream // the rest of a body that is too long to be buffered; nil if there is none
	length      int64
	fingerprint string
	// parentRoute is the route of the request whose run, under way at the target of this host,
	// made this request; empty for a request of a client.
	parentRoute string
	// reachedTargets counts the targets that the request may have reached.
	reachedTargets int
	// secondCopy is true for a second copy.
	secondCopy bool
	// attempts holds the target and the result of each attempt, for the log.
	attempts []string
}

// hasOwner reports whether only the owner of its key may run the request.
func (req *request) hasOwner() bool { return req.keyed && req.key != hop.NoKey }

// readRequest reads a request, finds its route and chooses its service.
func (in *Ingress) readRequest(w http.ResponseWriter, r *http.Request, v *view.View, arrival clock.Millis) (*request, hop.Reason) {
	req, reason := in.resolve(r, v, arrival)
	if reason != "" {
		return req, reason
	}
	if len(req.route.Splits) == 1 {
		in.setService(req, chooseService(req.route, 0), r, v) // known also in the log of a request that is rejected below
	}
	if req.deadline <= in.options.Clock.Now() {
		return req, hop.TooLate // it waited in line behind other requests of its connection
	}
	req.header = endToEndHeader(r.Header)
	req.header[textproto.CanonicalMIMEHeaderKey(in.options.Names.CallerService)] = []string{string(in.options.Service)}
	delete(req.header, textproto.CanonicalMIMEHeaderKey(in.options.Names.Instance))
	if reason := in.readBody(w, r, v, req); reason != "" {
		return req, reason
	}
	req.fingerprint = computeFingerprint(r, req, in.options.Service)
	if failed, ok := in.returns.take(req.fingerprint, req.giveUp); ok && req.parentRoute == "" {
		req.firstArrival = failed.firstArrival
		if req.route.TargetLatencyMillis > 0 {
			req.objective = failed.firstArrival + clock.Millis(req.route.TargetLatencyMillis)
		}
		if hasPart(req.route, failed.service) {
			in.setService(req, failed.service, r, v)
		}
	}
	if req.service == "" {
		in.setService(req, in.splits.draw(req.route), r, v)
	}
	return req, ""
}

// resolve finds the route of a request and its time limits.
func (in *Ingress) resolve(r *http.Request, v *view.View, arrival clock.Millis) (*request, hop.Reason) {
	req := &request{id: r.Header.Get(in.options.Names.RequestID), arrival: arrival, firstArrival: arrival, key: hop.NoKey, length: r.ContentLength}
	req.parentRoute = in.parentRoute(req.id)
	req.route = matchRoute(v, r)
	if req.route == nil {
		return req, hop.NoRoute
	}
	timeout := defaultTimeout
	if n, err := strconv.Atoi(r.Header.Get(in.options.Names.RemainingMillis)); err == nil && n >= 0 {
		timeout = clock.Millis(n)
	}
	req.giveUp = arrival + timeout
	if routeTimeout := clock.Millis(req.route.TimeoutMillis); routeTimeout > 0 {
		timeout = min(timeout, routeTimeout)
	}
	req.deadline = arrival + timeout
	req.objective = arrival + clock.Millis(req.route.TargetLatencyMillis)
	if req.route.TargetLatencyMillis == 0 {
		req.objective = req.deadline
	}
	return req, ""
}

// setService sets the service of a request, and the key if the service is divided by key.
func (in *Ingress) setService(req *request, service message.ServiceName, r *http.Request, v *view.View) {
	req.service = service
	if s, _ := v.Service(service); s.Keyed {
		key, err := strconv.Atoi(r.Header.Get(in.options.Names.Key))
		if err == nil && key >= 0 && key <= 65535 {
			req.key = key
		}
		req.keyed = true
	}
}

// parentRoute returns the route of the request whose run made the request with the given id,
// or "". The parent must be under way at the target of this host, so a client that wants its
// request to count as a call needs the id of one that runs there now, its own included.
func (in *Ingress) parentRoute(id string) string {
	if in.options.ParentID == nil {
		return ""
	}
	parent, ok := in.options.ParentID(id)
	if !ok {
		return ""
	}
	return in.options.Gate.RunningRoute(parent)
}

// matchRoute returns the route of a request, or nil.
func matchRoute(v *view.View, r *http.Request) *message.Route {
	host, _, _ := strings.Cut(r.Host, ":")
	return v.Match(host, r.URL.Path)
}

// readBody reads a short body into memory. It reads only the beginning of a long one and
// leaves the rest to be streamed.
func (in *Ingress) readBody(w http.ResponseWriter, r *http.Request, v *view.View, req *request) hop.Reason {
	if r.ContentLength == 0 {
		return ""
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, gate.MaxBufferedBody))
	if isMalformed(err) {
		w.Header().Set("Connection", "close")
		return hop.BadRequest
	}
	if err != nil {
		return hop.CallerDisconnected
	}
	if limit := v.Limits.MaxBodyBytes; limit > 0 && len(body) > limit {
		w.Header().Set("Connection", "close")
		return hop.BodyTooLarge
	}
	req.body = body
	if len(body) < gate.MaxBufferedBody {
		req.length = int64(len(body))
		return ""
	}
	// A target may respond before it has read the whole body. Full duplex keeps net/http from
	// consuming the rest of the body before it writes the response.
	if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
		return hop.BadRequest
	}
	req.stream = gate.NewBodyStream(limitBody(r.Body, v.Limits, len(body)))
	return ""
}

// endAttempt ends the current attempt. It reports whether the whole body can be sent again.
func (req *request) endAttempt() bool { return req.stream == nil || req.stream.EndAttempt() }

// isMalformed reports whether an error of a body means that its chunks are malformed, rather
// than that the connection has ended.
func isMalformed(err error) bool {
	var network net.Error
	return err != nil && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) && !errors.As(err, &network) && !errors.Is(err, context.Canceled)
}

// computeFingerprint returns a hash of the content of a request. It is used to recognize
// further copies of a request that has crashed targets. Of a streamed body, only the
// beginning that is in memory is included.
func computeFingerprint(r *http.Request, req *request, caller message.ServiceName) string {
	hash := xxhash.New()
	for _, s := range []string{r.Method, "\x00", r.Host, "\x00", r.RequestURI, "\x00", string(caller), "\x00"} {
		_, _ = hash.WriteString(s)
	}
	_, _ = hash.Write(req.body)
	return strconv.FormatUint(hash.Sum64(), 16)
}

// hopByHopFields are the header fields that apply to a single connection only.
var hopByHopFields = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// endToEndHeader returns a copy of a header without the hop-by-hop fields, including those
// that the Connection field names.
func endToEndHeader(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		out[name] = values
	}
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopFields {
		delete(out, name)
	}
	return out
}
