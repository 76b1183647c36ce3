package bench

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/gentiansail/gentiansail/internal/header"
	"github.com/gentiansail/gentiansail/internal/wire"
)

const (
	// dialTimeout limits connecting to a node that does not respond.
	dialTimeout = time.Second
	// responseGrace is how long after the deadline the tool waits for a response.
	responseGrace = 500 * time.Millisecond
)

func newClient(workers int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: workers,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// send sends one request and returns its sample. If the connection cannot be
// established, send tries the next address; nothing has been sent at that point.
func (g *generator) send(ctx context.Context, n int64, p plan) sample {
	r := g.options.Routes[p.route]
	s := sample{due: p.due, key: p.key, route: p.route, member: -1, requestID: uuid.NewString()}
	s.sent = g.options.time.now() - g.start
	if !r.Repeatable {
		s.operation = uuid.Must(uuid.NewV7()).String()
	}
	limit := orDefault(r.Deadline, defaultDeadline).Duration() + responseGrace
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	s.outcome = outcomeUnreachable
	for i := range g.options.Addresses {
		address := g.options.Addresses[(int(n)+i)%len(g.options.Addresses)]
		response, err := g.exchange(ctx, address, r, p, s)
		if dialFailed(err) {
			s.redials++
			continue
		}
		s.outcome = outcomeCut
		if err == nil {
			g.receive(response, r, &s)
		}
		break
	}
	s.ended = g.options.time.now() - g.start
	return s
}

// exchange sends the request to address and returns the response with its body
// unread.
func (g *generator) exchange(ctx context.Context, address string, r Route, p plan, s sample) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+requestPath(r, p.key), strings.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport does not resend a request that has a body. A
	// resend by the transport would hide a second run.
	request.GetBody = nil
	request.Header.Set(header.RequestID, s.requestID)
	request.Header.Set(header.Caller, "caller-"+strconv.Itoa(p.caller))
	request.Header.Set(header.DeadlineMillis, strconv.FormatInt(int64(orDefault(r.Deadline, defaultDeadline)), 10))
	if s.operation != "" {
		request.Header.Set(header.IdempotencyKey, s.operation)
	}
	return g.client.Do(request)
}

// requestPath returns the path and query for a request of route r with the key.
func requestPath(r Route, key int) string {
	path := strings.ReplaceAll(r.Path, keyPlaceholder, keyName(key))
	if r.Chunks == 0 {
		return path
	}
	separator := "?"
	if strings.Contains(path, "?") {
		separator = "&"
	}
	return fmt.Sprintf("%s%schunks=%d", path, separator, r.Chunks)
}

// dialFailed reports whether err occurred before a connection was established.
func dialFailed(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial"
}

// receive reads and checks the response and stores the result in s.
func (g *generator) receive(response *http.Response, r Route, s *sample) {
	defer func() { _ = response.Body.Close() }()
	h := response.Header
	s.attempts, _ = strconv.Atoi(h.Get(header.Attempt))
	s.limit, _ = strconv.Atoi(h.Get(header.Limit))
	s.reason = h.Get(header.Reason)
	if s.reason == "" {
		s.reason = h.Get(header.Rejected)
	}
	s.replayed = h.Get(header.Replayed) == "true"
	body, err := g.readAll(response.Body, s)
	if err != nil {
		return
	}
	// A replayed response comes from an earlier run and puts no load on the member.
	if !s.replayed {
		s.member = g.names.number(orDefault(h.Get(header.Member), instanceOf(body)))
	}
	s.outcome = outcomeOf(wire.Outcome(h.Get(header.Outcome)), response.StatusCode)
	if s.outcome == wire.OutcomeComplete {
		s.problem = check(expectation{requestID: s.requestID, key: keyName(s.key), route: r, replayed: s.replayed}, h.Get(header.RequestID), body)
	}
}

// readAll reads r to its end and records in s when the first byte arrived.
func (g *generator) readAll(r io.Reader, s *sample) ([]byte, error) {
	var b bytes.Buffer
	if _, err := io.CopyN(&b, r, 1); err != nil && err != io.EOF {
		return nil, err
	}
	s.firstByte = g.options.time.now() - g.start
	_, err := io.Copy(&b, r)
	return b.Bytes(), err
}

// outcomeOf returns the outcome stated in the response or, without one, derives
// it from the status, so that the tool can also measure targets directly.
func outcomeOf(stated wire.Outcome, status int) wire.Outcome {
	switch {
	case stated != "":
		return stated
	case status < 400:
		return wire.OutcomeComplete
	case status == http.StatusServiceUnavailable:
		return wire.OutcomeNotRun
	default:
		return wire.OutcomeFailed
	}
}
