package sidecar

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"slices"

	"github.com/gentiansail/gentiansail/internal/exchange"
	"github.com/gentiansail/gentiansail/internal/traffic/gate"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
)

// servePeer serves a request for the target that another sidecar forwarded. It closes the
// connection if the body cannot be read or the response breaks off after its start.
func (s *Sidecar) servePeer(w http.ResponseWriter, r *http.Request) {
	if offered, ok, err := hop.ParseOffer(r.Header); ok && err == nil {
		s.serveOffer(w, r, offered)
		return
	}
	hopRequest, err := hop.ParseRequest(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	request := &gate.TargetRequest{Request: hopRequest, ID: r.Header.Get(s.options.Names.RequestID), Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: r.Header, Length: r.ContentLength}
	stream, err := setBody(w, r, request)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := context.WithTimeout(r.Context(), hopRequest.RemainingMillis.Duration())
	defer cancel()
	stream.Serve(w, func() {
		result := s.gate.Do(ctx, request)
		result.Load = addLinkLoad(result.Load, s.options.Link.Utilization())
		s.respondPeer(w, request, stream, result)
	})
}

// serveOffer states whether the target would accept a request.
func (s *Sidecar) serveOffer(w http.ResponseWriter, r *http.Request, offered hop.Request) {
	utilization := s.options.Link.Utilization()
	result := s.gate.WeighOffer(&gate.TargetRequest{Request: offered}, utilization)
	result.Load = addLinkLoad(result.Load, utilization)
	result.SetHeader(w.Header())
	w.Header().Set(s.options.Names.RequestID, r.Header.Get(s.options.Names.RequestID))
	w.WriteHeader(http.StatusNoContent)
}

// maxCountedUtilization bounds the utilization by which a link counts: a meter can measure bursts
// above the bandwidth.
const maxCountedUtilization = 0.9

// busyLink is the utilization of a link from which on packets may queue: bursts of a few tens of
// milliseconds are shorter than what is measured.
const busyLink = 0.5

// linkBusy reports whether packets may queue at the link of this host.
func (s *Sidecar) linkBusy() bool { return s.options.Link.Utilization() >= busyLink }

// addLinkLoad returns the load that other hosts are told. A target behind a link that is in use
// counts as one that holds more requests, by a number that grows like the queue of the link. In
// proportion to the utilization, a target that is twice as fast as others would remain the best
// choice of all hosts after its link has filled.
func addLinkLoad(load hop.Load, utilization float64) hop.Load {
	utilization = min(utilization, maxCountedUtilization)
	requests := int(math.Round(float64(load.Slots) * utilization / (1 - utilization)))
	load.Waiting = max(load.Waiting, requests-load.Running)
	return load
}

// respondPeer writes the result of a request to the other sidecar. The stream is nil for a
// request whose body is in memory.
func (s *Sidecar) respondPeer(w http.ResponseWriter, request *gate.TargetRequest, stream *gate.BodyStream, result *gate.Result) {
	defer result.Close()
	setHeader := func(h http.Header) {
		result.SetHeader(h)
		stream.SetHeader(h)
	}
	if result.Reason != "" {
		setHeader(w.Header())
		w.Header().Set(s.options.Names.RequestID, request.ID)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	committed, err := gate.Relay(w, result, setHeader)
	if err == nil {
		return
	}
	if committed {
		panic(http.ErrAbortHandler)
	}
	result.Reason = hop.ResponseLost
	setHeader(w.Header())
	w.WriteHeader(http.StatusBadGateway)
}

// setBody sets the body of the request for the target. A short body is read completely; a
// long one, or one of unknown length, is streamed.
func setBody(w http.ResponseWriter, r *http.Request, request *gate.TargetRequest) (*gate.BodyStream, error) {
	delete(r.Header, "Content-Length")
	switch {
	case r.ContentLength == 0:
		return nil, nil
	case r.ContentLength > 0 && r.ContentLength <= gate.MaxBufferedBody:
		body, err := readBody(r)
		if err != nil {
			return nil, err
		}
		request.Body = exchange.Body(body)
		return nil, nil
	}
	if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
		return nil, err
	}
	stream := gate.NewBodyStream(r.Body)
	request.Body = io.NopCloser(stream.Reader())
	return stream, nil
}

// firstBodyBytes bounds the memory for a body of which nothing has arrived.
const firstBodyBytes = 4 << 10

// readBody reads a body of known length. Memory is allocated only as bytes arrive.
func readBody(r *http.Request) ([]byte, error) {
	if r.ContentLength <= firstBodyBytes {
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	body := make([]byte, 0, firstBodyBytes)
	for int64(len(body)) < r.ContentLength {
		if len(body) == cap(body) {
			body = slices.Grow(body, min(len(body), int(r.ContentLength)-len(body)))
		}
		n, err := r.Body.Read(body[len(body):min(cap(body), int(r.ContentLength))])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) == r.ContentLength:
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
	return body, nil
}
