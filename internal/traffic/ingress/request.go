package ingress

import (
	"io"
	"math/rand/v2"
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

// request is one request of a caller.
type request struct {
	id       string
	route    *message.Route
	service  message.ServiceName
	keyed    bool
	key      int
	begun    clock.Millis
	deadline clock.Millis
	aim      clock.Millis
	header   http.Header
	body     []byte
	stream   io.Reader // the rest of a long body
	length   int64
	print    string
	// sent counts the targets that the request may have reached.
	sent  int
	trail []string
}

// read takes in a request and finds its route.
func (g *Ingress) read(w http.ResponseWriter, r *http.Request, v *view.View, begun clock.Millis) (*request, hop.Reason) {
	q := &request{id: r.Header.Get(g.o.Names.RequestID), begun: begun, key: hop.NoKey, length: r.ContentLength}
	host, _, _ := strings.Cut(r.Host, ":")
	q.route = v.Match(host, r.URL.Path)
	if q.route == nil {
		return q, hop.NoRoute
	}
	q.service = split(q.route, rand.Float64())
	if s, _ := v.Service(q.service); s.Keyed {
		k, err := strconv.Atoi(r.Header.Get(g.o.Names.Key))
		if err == nil && k >= 0 && k <= 65535 {
			q.key = k
		}
		q.keyed = true
	}
	patience := defaultPatience
	if n, err := strconv.Atoi(r.Header.Get(g.o.Names.RemainingMillis)); err == nil && n >= 0 {
		patience = clock.Millis(n)
	}
	if t := clock.Millis(q.route.TimeoutMillis); t > 0 {
		patience = min(patience, t)
	}
	q.deadline = begun + patience
	q.aim = begun + clock.Millis(q.route.TargetLatencyMillis)
	if q.route.TargetLatencyMillis == 0 {
		q.aim = q.deadline
	}
	q.header = endToEnd(r.Header)
	q.header[textproto.CanonicalMIMEHeaderKey(g.o.Names.CallerService)] = []string{string(g.o.Service)}
	delete(q.header, textproto.CanonicalMIMEHeaderKey(g.o.Names.Instance))
	if reason := g.readBody(w, r, q); reason != "" {
		return q, reason
	}
	q.print = fingerprint(r, q, g.o.Service)
	return q, ""
}

// split chooses a service of a route by weight.
func split(r *message.Route, at float64) message.ServiceName {
	sum := 0.0
	for _, p := range r.Splits {
		sum += p.Weight
	}
	at *= sum
	for _, p := range r.Splits {
		if at -= p.Weight; at < 0 && p.Weight > 0 {
			return p.Service
		}
	}
	for _, p := range r.Splits {
		if p.Weight > 0 {
			return p.Service
		}
	}
	return ""
}

// readBody reads a short body into memory and leaves a long one to be streamed.
func (g *Ingress) readBody(w http.ResponseWriter, r *http.Request, q *request) hop.Reason {
	if r.ContentLength == 0 {
		return ""
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, gate.MaxBufferedBody))
	if err != nil {
		return hop.CallerDisconnected
	}
	q.body = b
	if len(b) < gate.MaxBufferedBody {
		q.length = int64(len(b))
		return ""
	}
	// A target may answer before it has read a long body; the rest is read on.
	if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
		return hop.BadRequest
	}
	q.stream = r.Body
	return ""
}

// fingerprint identifies a request by its content, so that one that crashes
// targets is known when it comes again.
func fingerprint(r *http.Request, q *request, caller message.ServiceName) string {
	h := xxhash.New()
	for _, s := range []string{r.Method, "\x00", r.Host, "\x00", r.RequestURI, "\x00", string(caller), "\x00"} {
		_, _ = h.WriteString(s)
	}
	_, _ = h.Write(q.body)
	return strconv.FormatUint(h.Sum64(), 16)
}

// hopByHop fields concern one connection only.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// endToEnd returns a copy of the fields without those of one connection.
func endToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	for k, v := range h {
		out[k] = v
	}
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	return out
}
