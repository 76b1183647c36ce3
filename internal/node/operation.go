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
	// keptBytes is the longest response that is recorded for resends.
	maxRecordedBytes = 32 << 10
	// finishWait bounds how long the end of a response waits for its record.
	finishTimeout clock.Millis = 2000
	// runningPause is the wait before asking again about an operation that runs.
	minRunningPollDelay clock.Millis = 50
	maxRunningPollDelay clock.Millis = 400
)

// operation is one attempt to run a request that must not repeat.
type operation struct {
	node      *node
	q         *request
	key       wire.OperationKey
	execution wire.ExecutionID
}

// once runs a request that must not repeat, unless it has run before.
func (n *node) runOnce(ctx context.Context, m *member, q *request) *nodeReply {
	key, ok := operationKey(q.header)
	if !ok {
		return reject(http.StatusBadRequest, reasonNoOperation)
	}
	op := &operation{node: n, q: q, key: key, execution: wire.ExecutionID(uuid.NewString())}
	decision, err := op.begin(ctx, m)
	if err != nil {
		// Nothing was forwarded, and this execution never will be.
		op.releaseKey()
		return unavailable(reasonControl)
	}
	if decision.Decision != wire.DecisionRun {
		return earlierResult(decision)
	}
	reply := n.forward(ctx, m, q)
	return op.record(reply)
}

// operationKey returns the caller's key, a UUID of version 7.
func operationKey(h http.Header) (wire.OperationKey, bool) {
	k, err := uuid.Parse(h.Get(header.IdempotencyKey))
	if err != nil || k.Version() != 7 {
		return "", false
	}
	return wire.OperationKey(k.String()), true
}

// begin asks whether this execution may run. While an earlier one runs it waits
// within the deadline.
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

// earlier answers a request whose key is taken or refused.
func earlierResult(r wire.BeginResponse) *nodeReply {
	switch r.Decision {
	case wire.DecisionFinished:
		return replay(r.Result)
	case wire.DecisionRunning:
		return unknownOutcome(http.StatusConflict, reasonInProgress)
	case wire.DecisionMismatch:
		return reject(http.StatusUnprocessableEntity, reasonMismatch)
	case wire.DecisionExpired:
		return reject(http.StatusGone, reasonExpired)
	case wire.DecisionFuture:
		return reject(http.StatusBadRequest, reasonFuture)
	case wire.DecisionFull:
		return unavailable(reasonRecordsFull)
	}
	return unknownOutcome(http.StatusConflict, reasonUnknown)
}

// replay returns the recorded response.
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

// record arranges that the outcome is recorded before the response ends.
func (o *operation) record(reply *nodeReply) *nodeReply {
	switch reply.outcome {
	case wire.OutcomeNotRun:
		o.finish(wire.OperationResult{Outcome: wire.OutcomeNotRun, Status: reply.status})
		return reply
	case wire.OutcomeUnknown:
		o.finish(wire.OperationResult{Outcome: wire.OutcomeUnknown, Status: reply.status})
		return reply
	}
	// A caller that counts bytes would take the response for complete before it
	// is recorded; chunks end only after the record.
	reply.length = -1
	reply.body = &recordingBody{source: reply.body, operation: o, status: reply.status, header: reply.header, outcome: reply.outcome}
	return reply
}

// release frees the key of an execution that was not forwarded.
func (o *operation) releaseKey() {
	o.node.background.Go(func() {
		o.commit(o.node.processCtx, wire.OperationResult{Outcome: wire.OutcomeNotRun, Status: http.StatusServiceUnavailable})
	})
}

// finish records the outcome, and goes on in the background when that takes
// longer than a caller should wait.
func (o *operation) finish(r wire.OperationResult) {
	done := make(chan struct{})
	o.node.background.Go(func() {
		defer close(done)
		o.commit(o.node.processCtx, r)
	})
	timed, cancel := context.WithTimeout(o.node.processCtx, finishTimeout.Duration())
	defer cancel()
	select {
	case <-done:
	case <-timed.Done():
	}
}

// finishRetry bounds how long an outcome that cannot be recorded is kept. A
// resend is then answered as unknown, never run again.
const finishRetryTimeout = time.Minute

func (o *operation) commit(ctx context.Context, r wire.OperationResult) {
	ctx, cancel := context.WithTimeout(ctx, finishRetryTimeout)
	defer cancel()
	n := o.node
	if r.Header == nil {
		r.Header = wire.OperationResultHeader{}
	}
	request := wire.FinishRequest{
		Group: n.settings.Group, Service: o.q.route.Service, Key: o.key, Execution: o.execution, Result: r,
	}
	_, err := callControl[wire.Ack](ctx, n.control, wire.MethodOperationFinish, request, controlAttemptTimeout)
	if err != nil {
		n.metrics.unrecorded.Inc()
	}
}

// recordingBody keeps a copy of a response and records it before its end is
// passed on.
type recordingBody struct {
	source    io.ReadCloser
	operation *operation
	status    int
	header    http.Header
	outcome   wire.Outcome
	copied    bytes.Buffer
	size      int64
	finished  bool
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

// Close implements io.Closer. A response that was not read to its end has an
// unknown outcome.
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
		b.operation.finish(wire.OperationResult{Outcome: wire.OutcomeUnknown, Status: b.status})
		return
	}
	r := wire.OperationResult{Outcome: b.outcome, Status: b.status, Header: wire.OperationResultHeader{}}
	if b.size <= maxRecordedBytes {
		r.BodyKept = true
		r.Body = base64.StdEncoding.EncodeToString(b.copied.Bytes())
		r.Header = wire.OperationResultHeader(b.header)
	}
	b.operation.finish(r)
}
