package ingress

import (
	"io"
	"net/http"
	"strconv"

	"github.com/gentiansail/gentiansail/internal/traffic/gate"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// relay writes the result of a request to the caller. It returns true if the response was
// cut off before any of it was written and the request is repeatable, so that a retry can
// replace the response.
func (in *Ingress) relay(w http.ResponseWriter, r *http.Request, req *request, result *gate.Result) (retryable bool) {
	defer result.Close()
	if result.Reason != "" {
		in.writeError(w, r, req, result)
		return false
	}
	committed, err := gate.Relay(w, result, req.stream.SetHeader)
	if err == nil {
		if result.Status >= http.StatusInternalServerError {
			in.recordFailed(req)
		}
		in.recordResult(req, result, result.Status)
		return false
	}
	result.Reason = hop.ResponseLost
	if r.Context().Err() != nil {
		result.Reason = hop.CallerDisconnected
	}
	if committed {
		in.logError(req, result, 0)
		// Aborts the connection, so that the truncated response does not look complete.
		panic(http.ErrAbortHandler)
	}
	if result.Reason == hop.ResponseLost && req.route.Repeatable {
		return true
	}
	in.writeError(w, r, req, result)
	return false
}

// statusByReason maps reasons to HTTP status codes. Other reasons are sent as 503 Service
// Unavailable.
var statusByReason = map[hop.Reason]int{
	hop.NoRoute: http.StatusNotFound, hop.BadRequest: http.StatusBadRequest,
	hop.HeaderTooLarge: http.StatusRequestHeaderFieldsTooLarge, hop.BodyTooLarge: http.StatusRequestEntityTooLarge,
	hop.ResponseLost: http.StatusBadGateway, hop.Expired: http.StatusGatewayTimeout,
}

// writeError writes the response to a request that has no response from a target.
func (in *Ingress) writeError(w http.ResponseWriter, r *http.Request, req *request, result *gate.Result) {
	status, ok := statusByReason[result.Reason]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	if result.Reason == hop.CallerDisconnected || r.Context().Err() != nil {
		in.logError(req, result, 0)
		panic(http.ErrAbortHandler)
	}
	in.logError(req, result, status)
	in.recordFailed(req)
	header := w.Header()
	header.Set(in.options.Names.RequestID, req.id)
	req.stream.SetHeader(header)
	if status == http.StatusServiceUnavailable && result.Reason != hop.TooLate {
		header.Set("Retry-After", strconv.FormatFloat(float64(in.retryAfter(req, result))/1000, 'f', 3, 64))
	}
	header.Set("Content-Type", "text/plain")
	text := "gentiansail: " + string(result.Reason) + "\n"
	header.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}

// recordFailed remembers the caller of a request that failed, in case that it comes back.
func (in *Ingress) recordFailed(req *request) {
	if req.fingerprint != "" && req.parentRoute == "" {
		in.returns.record(req.fingerprint, failedAttempt{firstArrival: req.firstArrival, giveUp: req.giveUp, service: req.service})
	}
}

// returnDivisor bounds the pause that a caller is asked for: 1/returnDivisor of the time until it
// gives up, so that it can come back more than once.
const returnDivisor = 3

// retryAfter returns the pause after which the caller should retry.
func (in *Ingress) retryAfter(req *request, result *gate.Result) clock.Millis {
	pause := result.RetryMillis
	if req.giveUp > 0 {
		pause = min(pause, (req.giveUp-in.options.Clock.Now())/returnDivisor)
	}
	return max(pause, 20)
}

// logError records and logs a request that has no complete response from a target. The
// status is 0 if the caller's connection is aborted.
func (in *Ingress) logError(req *request, result *gate.Result, status int) {
	in.recordResult(req, result, status)
	skipped, ok := in.options.LogBudget.Allow("request " + string(result.Reason))
	if !ok {
		return
	}
	line := in.options.Log.Info().Str("Event", "request").Str("Request", req.id).Str("Reason", string(result.Reason)).Int("Status", status).
		Int64("TookMillis", int64(in.options.Clock.Now()-req.arrival)).Int("Sent", req.reachedTargets).Strs("Attempts", req.attempts).Int("Key", req.key).Int64("SinceFirstMillis", int64(in.options.Clock.Now()-req.firstArrival))
	if req.route != nil {
		line = line.Str("Route", req.route.Name).Str("Service", string(req.service)).Int64("PatienceMillis", int64(req.deadline-req.arrival)).Bool("Repeatable", req.route.Repeatable).Str("ParentRoute", req.parentRoute)
	}
	if v := in.options.Views.Current(); v != nil {
		line = line.Int("View", int(v.Version)).Int("Configuration", v.Revision)
	}
	line.Int("Running", result.Load.Running).Int("Waiting", result.Load.Waiting).Int64("RetryMillis", int64(result.RetryMillis)).Int("Skipped", skipped).Msg("request ended without a complete response from a target")
}

func (in *Ingress) recordResult(req *request, result *gate.Result, status int) {
	if in.options.RecordResult == nil {
		return
	}
	route := ""
	if req.route != nil {
		route = req.route.Name
	}
	in.options.RecordResult(route, string(req.service), result.Reason, status, in.options.Clock.Now()-req.arrival)
}
