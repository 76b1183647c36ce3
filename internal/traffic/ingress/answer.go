package ingress

import (
	"io"
	"net/http"
	"strconv"

	"github.com/gentiansail/gentiansail/internal/traffic/gate"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
)

// relay passes an answer on. It returns true if the answer broke off before the
// caller got any of it and the request is repeatable.
func (g *Ingress) relay(w http.ResponseWriter, r *http.Request, q *request, a *gate.Result) (again bool) {
	defer a.Close()
	if a.Reason != "" {
		g.finish(w, r, q, a)
		return false
	}
	committed, err := gate.Relay(w, a, nil)
	if err == nil {
		g.count(q, a, a.Status)
		return false
	}
	a.Reason = hop.ResponseLost
	if r.Context().Err() != nil {
		a.Reason = hop.CallerDisconnected
	}
	if committed {
		g.log(q, a, 0)
		// What the caller got must not look complete.
		panic(http.ErrAbortHandler)
	}
	if a.Reason == hop.ResponseLost && q.route.Repeatable {
		return true
	}
	g.finish(w, r, q, a)
	return false
}

var statusOf = map[hop.Reason]int{
	hop.NoRoute: http.StatusNotFound, hop.BadRequest: http.StatusBadRequest,
	hop.ResponseLost: http.StatusBadGateway, hop.Expired: http.StatusGatewayTimeout,
}

// finish answers a request in the system's own name.
func (g *Ingress) finish(w http.ResponseWriter, r *http.Request, q *request, a *gate.Result) {
	status, ok := statusOf[a.Reason]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	if a.Reason == hop.CallerDisconnected || r.Context().Err() != nil {
		g.log(q, a, 0)
		panic(http.ErrAbortHandler)
	}
	g.log(q, a, status)
	h := w.Header()
	h.Set(g.o.Names.RequestID, q.id)
	if status == http.StatusServiceUnavailable && a.Reason != hop.TooLate {
		h.Set("Retry-After", strconv.FormatFloat(float64(max(a.RetryMillis, 20))/1000, 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain")
	text := "gentiansail: " + string(a.Reason) + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}

// log writes the line of a request that the target did not answer.
func (g *Ingress) log(q *request, a *gate.Result, status int) {
	g.count(q, a, status)
	skipped, ok := g.o.LogBudget.Allow("request " + string(a.Reason))
	if !ok {
		return
	}
	e := g.o.Log.Info().Str("Event", "request").Str("Request", q.id).Str("Reason", string(a.Reason)).Int("Status", status).
		Int64("TookMillis", int64(g.o.Clock.Now()-q.begun)).Int("Sent", q.sent).Strs("Attempts", q.trail).Int("Key", q.key)
	if q.route != nil {
		e = e.Str("Route", q.route.Name).Str("Service", string(q.service)).Int64("PatienceMillis", int64(q.deadline-q.begun)).Bool("Repeatable", q.route.Repeatable)
	}
	if v := g.o.Views.Current(); v != nil {
		e = e.Int("View", int(v.Version)).Int("Configuration", v.Revision)
	}
	e.Int("Running", a.Load.Running).Int("Waiting", a.Load.Waiting).Int64("RetryMillis", int64(a.RetryMillis)).Int("Skipped", skipped).Msg("request ended without an answer of a target")
}

func (g *Ingress) count(q *request, a *gate.Result, status int) {
	if g.o.RecordResult == nil {
		return
	}
	route := ""
	if q.route != nil {
		route = q.route.Name
	}
	g.o.RecordResult(route, string(q.service), a.Reason, status, g.o.Clock.Now()-q.begun)
}
