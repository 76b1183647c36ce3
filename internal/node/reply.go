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
type reasonCode string

// Reasons of responses that the system generates.
const (
	reasonStaleTable   reasonCode = "stale-table"
	reasonNoRoute      reasonCode = "no-route"
	reasonNoKey        reasonCode = "no-key"
	reasonBadRequest   reasonCode = "bad-request"
	reasonTooLarge     reasonCode = "body-too-large"
	reasonCallerLimit  reasonCode = "caller-limit"
	reasonNoOwner      reasonCode = "no-owner"
	reasonNotOwner     reasonCode = "not-owner"
	reasonMoving       reasonCode = "moving"
	reasonStopping     reasonCode = "stopping"
	reasonUnreachable  reasonCode = "unreachable"
	reasonQueueFull    reasonCode = "queue-full"
	reasonDeadline     reasonCode = "deadline"
	reasonOverload     reasonCode = "overload"
	reasonGrant        reasonCode = "grant"
	reasonQuarantined  reasonCode = "quarantined"
	reasonNoResponse   reasonCode = "no-response"
	reasonInProgress   reasonCode = "in-progress"
	reasonAlreadyRun   reasonCode = "already-run"
	reasonUnknown      reasonCode = "unknown"
	reasonMismatch     reasonCode = "key-reused"
	reasonExpired      reasonCode = "expired"
	reasonFuture       reasonCode = "future-key"
	reasonRecordsFull  reasonCode = "records-full"
	reasonNoOperation  reasonCode = "idempotency-key-required"
	reasonControl      reasonCode = "control-unavailable"
	reasonTargetFailed reasonCode = "target-failed"
)

// reply is a response on its way to the caller.
type nodeReply struct {
	status  int
	header  http.Header
	outcome wire.Outcome
	reason  reasonCode // empty for a response of the target
	// replayed marks the recorded response of an earlier run.
	replayed bool
	// lostHop marks an unknown outcome for which the owning node did not vouch:
	// the connection to it failed.
	connectionLost bool
	body           io.ReadCloser
	length         int64 // -1 when unknown
	trailer        func() http.Header
}

// systemBody is the body of a response that the system generates.
type systemBody struct {
	Outcome wire.Outcome
	Reason  reasonCode
}

// refuse returns a response for a request that did not run.
func reject(status int, reason reasonCode) *nodeReply {
	return systemReply(status, wire.OutcomeNotRun, reason)
}

// unavailable is the usual refusal: the same request may work later.
func unavailable(reason reasonCode) *nodeReply {
	return reject(http.StatusServiceUnavailable, reason)
}

// unknown returns a response for a request that may or may not have run.
func unknownOutcome(status int, reason reasonCode) *nodeReply {
	return systemReply(status, wire.OutcomeUnknown, reason)
}

func systemReply(status int, o wire.Outcome, code reasonCode) *nodeReply {
	data, _ := json.Marshal(systemBody{Outcome: o, Reason: code})
	data = append(data, '\n')
	h := http.Header{"Content-Type": {"application/json"}}
	return &nodeReply{
		status: status, header: h, outcome: o, reason: code,
		body: io.NopCloser(strings.NewReader(string(data))), length: int64(len(data)),
	}
}

// close gives up a response that is not passed on.
func (p *nodeReply) close() {
	if p.body != nil {
		_ = p.body.Close()
	}
}

// notRun reports whether the request certainly did not run.
func (p *nodeReply) notRun() bool { return p.outcome == wire.OutcomeNotRun }

// ranNow reports whether this is the response of a target that ran the request
// for this call, and not the record of an earlier run.
func (p *nodeReply) ranNow() bool { return p.reason == "" && !p.replayed }

// writeHeader sends the status and header.
func (p *nodeReply) writeHeader(w http.ResponseWriter, q *request) {
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
const writeGracePeriod clock.Millis = 5000

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
func (p *nodeReply) writeBody(w http.ResponseWriter, remaining clock.Millis, onWrite func(n int)) error {
	defer p.close()
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(time.Now().Add((max(remaining, 0) + writeGracePeriod).Duration()))
	defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := p.body.Read(buffer[:])
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return writeErr
			}
			onWrite(n)
		}
		if err == io.EOF {
			p.writeTrailer(w)
			return controller.Flush()
		}
		if err != nil {
			return err
		}
		if writeErr := controller.Flush(); writeErr != nil {
			return writeErr
		}
	}
}

func (p *nodeReply) writeTrailer(w http.ResponseWriter) {
	if p.trailer == nil {
		return
	}
	for k, v := range p.trailer() {
		w.Header()[http.TrailerPrefix+k] = v
	}
}
