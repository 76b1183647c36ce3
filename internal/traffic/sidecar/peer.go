package sidecar

import (
	"context"
	"io"
	"net/http"

	"github.com/gentiansail/gentiansail/internal/exchange"
	"github.com/gentiansail/gentiansail/internal/traffic/gate"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
)

// servePeer is the owner's part of a request that came through another sidecar.
func (s *Sidecar) servePeer(w http.ResponseWriter, r *http.Request) {
	q, err := hop.Parse(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	j := &gate.TargetRequest{Request: q, ID: r.Header.Get(s.o.Names.RequestID), Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: r.Header, Length: r.ContentLength}
	if err := takeBody(w, r, j); err != nil {
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := context.WithTimeout(r.Context(), q.RemainingMillis.Duration())
	defer cancel()
	a := s.gate.Do(ctx, j)
	defer a.Close()
	if a.Reason != "" {
		a.Set(w.Header())
		w.Header().Set(s.o.Names.RequestID, j.ID)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	committed, err := gate.Relay(w, a, a.Set)
	if err == nil {
		return
	}
	if committed {
		panic(http.ErrAbortHandler)
	}
	a.Reason = hop.ResponseLost
	a.Set(w.Header())
	w.WriteHeader(http.StatusBadGateway)
}

// takeBody reads a short body at once and leaves a long one to be streamed.
func takeBody(w http.ResponseWriter, r *http.Request, j *gate.TargetRequest) error {
	delete(r.Header, "Content-Length")
	switch {
	case r.ContentLength == 0:
		return nil
	case r.ContentLength > 0 && r.ContentLength <= gate.MaxBufferedBody:
		b := make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, b); err != nil {
			return err
		}
		j.Body = exchange.Body(b)
		return nil
	}
	if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
		return err
	}
	j.Body = io.NopCloser(r.Body)
	return nil
}
