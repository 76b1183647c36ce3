package node

import (
	"bytes"
	"context"
	"encoding/base64"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/gentiansail/gentiansail/internal/header"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// maxRecordedBytes is the maximum length of a response body that is recorded for
	// resends.
	maxRecordedBytes = 32 << 10
	// finishTimeout is how long the end of a response is delayed until its outcome is
	// recorded.
	finishTimeout clock.Millis = 2000
	// The delay between two queries for the result of a running execution grows
	// between these bounds.
	minRunningPollDelay clock.Millis = 50
	maxRunningPollDelay clock.Millis = 400
)

// operation is one execution of a request that must run at most once.
type operation struct {
	node      *node
	q         *routedRequest
	key       wire.OperationKey
	execution wire.ExecutionID
}

// runOnce runs a request that must run at most once, or returns the result of its
// earlier execution.
func (n *node) runOnce(ctx context.Context, m *member, q *routedRequest) *nodeReply {
	key, ok := operationKey(q.header)
	if !ok {
		return reject(http.StatusBadRequest, reasonNoOperation)
	}
	op := &operation{node: n, q: q, key: key, execution: wire.ExecutionID(uuid.NewString())}
	decision, err := op.begin(ctx, m)
	if err != nil {
		// This execution was not forwarded and will not be, so its key is released.
		op.releaseKey()
		return unavailable(reasonControlUnavailable)
	}
	if decision.Decision != wire.DecisionRun {
		return earlierResult(decision)
	}
	reply := n.forward(ctx, m, q)
	return op.record(reply)
}

// operationKey returns the caller's idempotency key, which must be a UUID of
// version 7.
func operationKey(h http.Header) (wire.OperationKey, bool) {
	k, err := uuid.Parse(h.Get(header.IdempotencyKey))
	if err != nil || k.Version() != 7 {
		return "", false
	}
	return wire.OperationKey(k.String()), true
}

// begin asks the control group whether this execution may run. While an earlier one
// runs, it asks again until the request's deadline.
func (o *operation) begin(ctx context.Context, m *member) (wire.BeginResponse, error) {
	n := o.node
	request := wire.BeginRequest{
		Group: n.settings.Group, Service: o.q.route.Service, Caller: o.q.caller, Key: o.key,
		Route: o.q.route.Name, Fingerprint: o.q.operationFingerprint(), Execution: o.execution, Incarnation: m.incarnation,
	}
	delay := minRunningPollDelay
	for {
		response, err := callControl[wire.BeginResponse](ctx, n.control, wire.MethodOperationBegin, request, controlAttemptTimeout)
		if err != nil || response.Decision != wire.DecisionRunning {
			return response, err
		}
		if n.clock.Now()+delay >= o.q.deadline || n.clock.Sleep(ctx, delay) != nil {
			return response, nil
		}
		delay = min(2*delay, maxRunningPollDelay)
	}
}

// earlierResult returns the reply to a request that may not run, because its key has
// been used or was rejected.
func earlierResult(response wire.BeginResponse) *nodeReply {
	switch response.Decision {
	case wire.DecisionFinished:
		return replay(response.Result)
	case wire.DecisionRunning:
		return unknownOutcome(http.StatusConflict, reasonInProgress)
	case wire.DecisionMismatch:
		return reject(http.StatusUnprocessableEntity, reasonKeyReused)
	case wire.DecisionExpired:
		return reject(http.StatusGone, reasonExpired)
	case wire.DecisionFuture:
		return reject(http.StatusBadRequest, reasonFuture)
	case wire.DecisionFull:
		return unavailable(reasonRecordsFull)
	}
	return unknownOutcome(http.StatusConflict, reasonUnknown)
}

// replay returns the recorded response of an earlier execution.
func replay(recorded *wire.OperationResult) *nodeReply {
	if recorded == nil || recorded.Outcome == wire.OutcomeUnknown {
		return unknownOutcome(http.StatusConflict, reasonUnknown)
	}
	recordedBody, err := base64.StdEncoding.DecodeString(recorded.Body)
	if !recorded.BodyKept || err != nil {
		return systemReply(http.StatusConflict, recorded.Outcome, reasonAlreadyRun)
	}
	return &nodeReply{
		status: recorded.Status, header: http.Header(recorded.Header).Clone(), outcome: recorded.Outcome, replayed: true,
		body: io.NopCloser(bytes.NewReader(recordedBody)), length: int64(len(recordedBody)),
	}
}

// record records the outcome of an execution. For a response of the target it returns a
// reply that records the outcome when its body has been read, before the body ends.
func (o *operation) record(reply *nodeReply) *nodeReply {
	switch reply.outcome {
	case wire.OutcomeNotRun:
		o.finish(wire.OperationResult{Outcome: wire.OutcomeNotRun, Status: reply.status})
		return reply
	case wire.OutcomeUnknown:
		o.finish(wire.OperationResult{Outcome: wire.OutcomeUnknown, Status: reply.status})
		return reply
	}
	// With a Content-Length the caller would see the end of the response before the
	// outcome is recorded. A chunked body ends only after the outcome is recorded or
	// finishTimeout has passed.
	reply.length = -1
	reply.body = &recordingBody{source: reply.body, op: o, status: reply.status, header: reply.header, outcome: reply.outcome}
	return reply
}

// releaseKey records in the background that the execution was not forwarded, so that
// its key can be used again.
func (o *operation) releaseKey() {
	o.node.background.Go(func() {
		o.commit(o.node.processCtx, wire.OperationResult{Outcome: wire.OutcomeNotRun, Status: http.StatusServiceUnavailable})
	})
}

// finish records the outcome. It returns after finishTimeout at the latest, and the
// recording then continues in the background.
func (o *operation) finish(result wire.OperationResult) {
	done := make(chan struct{})
	o.node.background.Go(func() {
		defer close(done)
		o.commit(o.node.processCtx, result)
	})
	timed, cancel := context.WithTimeout(o.node.processCtx, finishTimeout.Duration())
	defer cancel()
	select {
	case <-done:
	case <-timed.Done():
	}
}

// finishRetryTimeout is how long the recording of an outcome is retried. After that
// the outcome is lost, and a resend gets the outcome unknown but does not run.
const finishRetryTimeout = time.Minute

func (o *operation) commit(ctx context.Context, result wire.OperationResult) {
	ctx, cancel := context.WithTimeout(ctx, finishRetryTimeout)
	defer cancel()
	n := o.node
	if result.Header == nil {
		result.Header = wire.OperationResultHeader{}
	}
	request := wire.FinishRequest{
		Group: n.settings.Group, Service: o.q.route.Service, Key: o.key, Execution: o.execution, Result: result,
	}
	_, err := callControl[wire.Ack](ctx, n.control, wire.MethodOperationFinish, request, controlAttemptTimeout)
	if err != nil {
		n.metrics.unrecorded.Inc()
	}
}

// recordingBody copies a response body and records the response before it returns the
// end of the body.
type recordingBody struct {
	source   io.ReadCloser
	op       *operation
	status   int
	header   http.Header
	outcome  wire.Outcome
	copied   bytes.Buffer
	size     int64
	finished bool
}

// Read implements io.Reader.
func (b *recordingBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	b.size += int64(n)
	if b.size <= maxRecordedBytes {
		b.copied.Write(p[:n])
	}
	if err != nil {
		b.finish(err == io.EOF)
	}
	return n, err
}

// Close implements io.Closer. If the response was not read to its end, its outcome is
// recorded as unknown.
func (b *recordingBody) Close() error {
	err := b.source.Close()
	b.finish(false)
	return err
}

func (b *recordingBody) finish(complete bool) {
	if b.finished {
		return
	}
	b.finished = true
	if !complete {
		b.op.finish(wire.OperationResult{Outcome: wire.OutcomeUnknown, Status: b.status})
		return
	}
	result := wire.OperationResult{Outcome: b.outcome, Status: b.status, Header: wire.OperationResultHeader{}}
	if b.size <= maxRecordedBytes {
		result.BodyKept = true
		result.Body = base64.StdEncoding.EncodeToString(b.copied.Bytes())
		result.Header = wire.OperationResultHeader(b.header)
	}
	b.op.finish(result)
}
