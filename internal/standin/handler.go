package standin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// ClockResponse is the body of GET /gentiansail/clock.
type ClockResponse struct {
	ClockMillis clock.Millis
}

// LoadResponse is the body of GET /load.
type LoadResponse struct {
	InFlight int64
	Slots    int
}

// Handler returns the target's HTTP handler.
func (s *Standin) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/gentiansail/clock", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, ClockResponse{ClockMillis: s.clock.Now()})
	})
	r.Post("/gentiansail/grant", func(w http.ResponseWriter, r *http.Request) {
		handleJSON(w, r, s.grants.add)
	})
	r.Post("/gentiansail/release", func(w http.ResponseWriter, r *http.Request) {
		handleJSON(w, r, s.grants.release)
	})
	r.Get("/standin/runs", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.runs.all())
	})
	r.Post("/standin/set", s.set)
	r.Get("/health", s.health)
	r.Get("/load", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, LoadResponse{InFlight: s.inFlight.Load(), Slots: s.options.Slots})
	})
	r.NotFound(s.serve)
	r.MethodNotAllowed(s.serve)
	return r
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// handleJSON decodes the request's body and passes it to apply.
func handleJSON[T any](w http.ResponseWriter, r *http.Request, apply func(T)) {
	var v T
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	apply(v)
	w.WriteHeader(http.StatusNoContent)
}

// set changes the options that are given as query parameters.
func (s *Standin) set(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if q.Has("stuck") {
		s.stalled.Store(q.Get("stuck") == "true")
	}
	if q.Has("sick") {
		s.unhealthy.Store(q.Get("sick") == "true")
	}
	if n, err := strconv.ParseInt(q.Get("work"), 10, 64); err == nil {
		s.serviceMillis.Store(n)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Standin) health(w http.ResponseWriter, _ *http.Request) {
	if s.unhealthy.Load() {
		http.Error(w, "sick", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, "ok")
}
