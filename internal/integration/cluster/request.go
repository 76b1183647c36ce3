package cluster

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/header"
	"github.com/gentiansail/gentiansail/internal/standin"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// client uses a new connection for each request: http.Transport retries a request when
// a reused connection fails, which would hide a lost response.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// Request is a caller's request.
type Request struct {
	Method string
	// Path is the path and query.
	Path   string
	Body   string
	Caller wire.CallerID
	// Key is the idempotency key, if any.
	Key wire.OperationKey
	// Deadline is sent with the request; 0 uses the default of the route.
	Deadline clock.Millis
	Header   http.Header
}

// Response is what a caller received.
type Response struct {
	Status  int
	Header  http.Header
	Body    string
	Outcome wire.Outcome
	Reason  string
	// Replayed reports whether this is the recorded response of an earlier run.
	Replayed bool
	// BodyErr is the error with which the body ended too early.
	BodyErr error
}

// Echo decodes the first line of a stand-in target's response.
func (r Response) Echo() (standin.Echo, error) {
	var e standin.Echo
	line, err := bufio.NewReader(strings.NewReader(r.Body)).ReadBytes('\n')
	if err != nil {
		return e, err
	}
	return e, json.Unmarshal(line, &e)
}

// Do sends a request to the host's node. The error is ErrRequest if no response
// headers were received.
func (h *Host) Do(ctx context.Context, r Request) (Response, error) {
	return send(ctx, h.Caller, r)
}

func send(ctx context.Context, to wire.Address, r Request) (Response, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+string(to)+r.Path, bytes.NewReader([]byte(r.Body)))
	if err != nil {
		return Response{}, merry.Wrap(ErrRequest, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	for k, v := range r.Header {
		request.Header[k] = v
	}
	setHeader(request.Header, header.Caller, string(r.Caller))
	setHeader(request.Header, header.IdempotencyKey, string(r.Key))
	if r.Deadline > 0 {
		setHeader(request.Header, header.DeadlineMillis, strconv.FormatInt(int64(r.Deadline), 10))
	}
	response, err := client.Do(request)
	if err != nil {
		return Response{}, merry.Wrap(ErrRequest, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	defer func() { _ = response.Body.Close() }()
	body, bodyErr := io.ReadAll(response.Body)
	return Response{
		Status: response.StatusCode, Header: response.Header, Body: string(body), BodyErr: bodyErr,
		Outcome: wire.Outcome(response.Header.Get(header.Outcome)), Reason: response.Header.Get(header.Reason),
		Replayed: response.Header.Get(header.Replayed) == "true",
	}, nil
}

func setHeader(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// Runs returns the runs that the host's stand-in target has recorded.
func (h *Host) Runs(ctx context.Context) ([]standin.Run, error) {
	r, err := send(ctx, h.Target.Addr(), Request{Method: http.MethodGet, Path: "/standin/runs"})
	if err != nil {
		return nil, err
	}
	var runs []standin.Run
	return runs, json.Unmarshal([]byte(r.Body), &runs)
}

// Set changes the behaviour of the host's stand-in target, for example
// Set(ctx, "stuck=true").
func (h *Host) Set(ctx context.Context, query string) error {
	_, err := send(ctx, h.Target.Addr(), Request{Method: http.MethodPost, Path: "/standin/set?" + query})
	return err
}
