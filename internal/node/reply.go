package node

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gentiansail/gentiansail/internal/header"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// reason says in one word why the system itself responded.
type reason string

// Reasons of responses that the system generates.
const (
	reasonStaleTable   reason = "stale-table"
	reasonNoRoute      reason = "no-route"
	reasonNoKey        reason = "no-key"
	reasonBadRequest   reason = "bad-request"
	reasonTooLarge     reason = "body-too-large"
	reasonCallerLimit  reason = "caller-limit"
	reasonNoOwner      reason = "no-owner"
	reasonNotOwner     reason = "not-owner"
	reasonMoving       reason = "moving"
	reasonStopping     reason = "stopping"
	reasonUnreachable  reason = "unreachable"
	reasonQueueFull    reason = "queue-full"
	reasonDeadline     reason = "deadline"
	reasonOverload     reason = "overload"
	reasonGrant        reason = "grant"
	reasonQuarantined  reason = "quarantined"
	reasonNoResponse   reason = "no-response"
	reasonInProgress   reason = "in-progress"
	reasonAlreadyRun   reason = "already-run"
	reasonUnknown      reason = "unknown"
	reasonMismatch     reason = "key-reused"
	reasonExpired      reason = "expired"
	reasonFuture       reason = "future-key"
	reasonNoOperation  reason = "idempotency-key-required"
	reasonControl      reason = "control-unavailable"
	reasonTargetFailed reason = "target-failed"
)

// reply is a response on its way to the caller.
type reply struct {
	status  int
	header  http.Header
	outcome wire.Outcome
	reason  reason // empty for a response of the target
	// replayed marks the recorded response of an earlier run.
	replayed bool
	// lostHop marks an unknown outcome for which the owning node did not vouch:
	// the connection to it failed.
	lostHop bool
	body    io.ReadCloser
	length  int64 // -1 when unknown
	trailer func() http.Header
}

// systemBody is the body of a response that the system generates.
type systemBody struct {
	Outcome wire.Outcome
	Reason  reason
}

// refuse returns a response for a request that did not run.
func refuse(status int, why reason) *reply {
	return system(status, wire.OutcomeNotRun, why)
}

// unavailable is the usual refusal: the same request may work later.
func unavailable(why reason) *reply {
	return refuse(http.StatusServiceUnavailable, why)
}

// unknown returns a response for a request that may or may not have run.
func unknown(status int, why reason) *reply {
	return system(status, wire.OutcomeUnknown, why)
}

func system(status int, o wire.Outcome, why reason) *reply {
	data, _ := json.Marshal(systemBody{Outcome: o, Reason: why})
	data = append(data, '\n')
	h := http.Header{"Content-Type": {"application/json"}}
	return &reply{
		status: status, header: h, outcome: o, reason: why,
		body: io.NopCloser(strings.NewReader(string(data))), length: int64(len(data)),
	}
}

// close gives up a response that is not passed on.
func (p *reply) close() {
	if p.body != nil {
		_ = p.body.Close()
	}
}

// notRun reports whether the request certainly did not run.
func (p *reply) notRun() bool { return p.outcome == wire.OutcomeNotRun }

// ranNow reports whether this is the response of a target that ran the request
// for this call, and not the record of an earlier run.
func (p *reply) ranNow() bool { return p.reason == "" && !p.replayed }

// writeHeader sends the status and header.
func (p *reply) writeHeader(w http.ResponseWriter, q *request) {
	h := w.Header()
	for k, v := range p.header {
		h[k] = v
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	h.Set(header.Outcome, string(p.outcome))
	if p.reason != "" {
		h.Set(header.Reason, string(p.reason))
	}
	if p.replayed {
		h.Set(header.Replayed, "true")
	}
	if q != nil {
		h.Set(header.RequestID, q.id)
		h.Set(header.Attempt, strconv.Itoa(q.attempt))
	}
	if p.length >= 0 && p.status != http.StatusNoContent && p.status != http.StatusNotModified {
		h.Set("Content-Length", strconv.FormatInt(p.length, 10))
	}
	w.WriteHeader(p.status)
}

// writeGrace is the time after the deadline in which the rest of a response may
// be written.
const writeGrace clock.Millis = 5000

// copyBufferBytes is the size of one read of a response body.
const copyBufferBytes = 16 << 10

// copyBuffers are used again, because a new one for each response on each of two
// hops was a quarter of what a node allocated.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// writeBody streams the body and flushes after each read, so that partial
// results arrive early. The error is that of the source or of the receiver; the
// response must then be aborted, not ended.
//
// Writing ends at the deadline even when the receiver does not read, because an
// unfinished response holds up planned moves and stops.
func (p *reply) writeBody(w http.ResponseWriter, left clock.Millis, written func(n int)) error {
	defer p.close()
	flush := http.NewResponseController(w)
	_ = flush.SetWriteDeadline(time.Now().Add((max(left, 0) + writeGrace).Duration()))
	defer func() { _ = flush.SetWriteDeadline(time.Time{}) }()
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := p.body.Read(buffer[:])
		if n > 0 {
			if _, e := w.Write(buffer[:n]); e != nil {
				return e
			}
			written(n)
		}
		if err == io.EOF {
			p.writeTrailer(w)
			return flush.Flush()
		}
		if err != nil {
			return err
		}
		if e := flush.Flush(); e != nil {
			return e
		}
	}
}

func (p *reply) writeTrailer(w http.ResponseWriter) {
	if p.trailer == nil {
		return
	}
	for k, v := range p.trailer() {
		w.Header()[http.TrailerPrefix+k] = v
	}
}
