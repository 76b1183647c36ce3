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
	keptBytes = 32 << 10
	// finishWait bounds how long the end of a response waits for its record.
	finishWait clock.Millis = 2000
	// runningPause is the wait before asking again about an operation that runs.
	runningPause    clock.Millis = 50
	maxRunningPause clock.Millis = 400
)

// operation is one attempt to run a request that must not repeat.
type operation struct {
	node      *node
	q         *request
	key       wire.OperationKey
	execution wire.ExecutionID
}

// once runs a request that must not repeat, unless it has run before.
func (n *node) once(ctx context.Context, m *member, q *request) *reply {
	key, ok := operationKey(q.header)
	if !ok {
		return refuse(http.StatusBadRequest, reasonNoOperation)
	}
	o := &operation{node: n, q: q, key: key, execution: wire.ExecutionID(uuid.NewString())}
	decision, err := o.begin(ctx, m)
	if err != nil {
		// Nothing was forwarded, and this execution never will be.
		o.release()
		return unavailable(reasonControl)
	}
	if decision.Decision != wire.DecisionRun {
		return earlier(decision)
	}
	p := n.forward(ctx, m, q)
	return o.record(p)
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
		Route: o.q.route.Name, Fingerprint: o.q.onceFingerprint(), Execution: o.execution, Incarnation: m.incarnation,
	}
	pause := runningPause
	for {
		response, err := callControl[wire.BeginResponse](ctx, n.control, wire.MethodOperationBegin, request, attemptTimeout)
		if err != nil || response.Decision != wire.DecisionRunning {
			return response, err
		}
		if n.clock.Now()+pause >= o.q.deadline || n.clock.Sleep(ctx, pause) != nil {
			return response, nil
		}
		pause = min(2*pause, maxRunningPause)
	}
}

// earlier answers a request whose key is taken or refused.
func earlier(r wire.BeginResponse) *reply {
	switch r.Decision {
	case wire.DecisionFinished:
		return replay(r.Result)
	case wire.DecisionRunning:
		return unknown(http.StatusConflict, reasonInProgress)
	case wire.DecisionMismatch:
		return refuse(http.StatusUnprocessableEntity, reasonMismatch)
	case wire.DecisionExpired:
		return refuse(http.StatusGone, reasonExpired)
	case wire.DecisionFuture:
		return refuse(http.StatusBadRequest, reasonFuture)
	case wire.DecisionFull:
		return unavailable(reasonRecordsFull)
	}
	return unknown(http.StatusConflict, reasonUnknown)
}

// replay returns the recorded response.
func replay(r *wire.OperationResult) *reply {
	if r == nil || r.Outcome == wire.OutcomeUnknown {
		return unknown(http.StatusConflict, reasonUnknown)
	}
	data, err := base64.StdEncoding.DecodeString(r.Body)
	if !r.BodyKept || err != nil {
		return system(http.StatusConflict, r.Outcome, reasonAlreadyRun)
	}
	return &reply{
		status: r.Status, header: http.Header(r.Header).Clone(), outcome: r.Outcome, replayed: true,
		body: io.NopCloser(bytes.NewReader(data)), length: int64(len(data)),
	}
}

// record arranges that the outcome is recorded before the response ends.
func (o *operation) record(p *reply) *reply {
	switch p.outcome {
	case wire.OutcomeNotRun:
		o.finish(wire.OperationResult{Outcome: wire.OutcomeNotRun, Status: p.status})
		return p
	case wire.OutcomeUnknown:
		o.finish(wire.OperationResult{Outcome: wire.OutcomeUnknown, Status: p.status})
		return p
	}
	// A caller that counts bytes would take the response for complete before it
	// is recorded; chunks end only after the record.
	p.length = -1
	p.body = &recordingBody{source: p.body, operation: o, status: p.status, header: p.header, outcome: p.outcome}
	return p
}

// release frees the key of an execution that was not forwarded.
func (o *operation) release() {
	o.node.background.Go(func() {
		o.commit(o.node.alive, wire.OperationResult{Outcome: wire.OutcomeNotRun, Status: http.StatusServiceUnavailable})
	})
}

// finish records the outcome, and goes on in the background when that takes
// longer than a caller should wait.
func (o *operation) finish(r wire.OperationResult) {
	done := make(chan struct{})
	o.node.background.Go(func() {
		defer close(done)
		o.commit(o.node.alive, r)
	})
	timed, cancel := context.WithTimeout(o.node.alive, finishWait.Duration())
	defer cancel()
	select {
	case <-done:
	case <-timed.Done():
	}
}

// finishRetry bounds how long an outcome that cannot be recorded is kept. A
// resend is then answered as unknown, never run again.
const finishRetry = time.Minute

func (o *operation) commit(ctx context.Context, r wire.OperationResult) {
	ctx, cancel := context.WithTimeout(ctx, finishRetry)
	defer cancel()
	n := o.node
	if r.Header == nil {
		r.Header = wire.OperationResultHeader{}
	}
	request := wire.FinishRequest{
		Group: n.settings.Group, Service: o.q.route.Service, Key: o.key, Execution: o.execution, Result: r,
	}
	_, err := callControl[wire.Ack](ctx, n.control, wire.MethodOperationFinish, request, attemptTimeout)
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
	done      bool
}

// Read implements io.Reader.
func (b *recordingBody) Read(p []byte) (int, error) {
	c, err := b.source.Read(p)
	b.size += int64(c)
	if b.size <= keptBytes {
		b.copied.Write(p[:c])
	}
	if err != nil {
		b.finish(err == io.EOF)
	}
	return c, err
}

// Close implements io.Closer. A response that was not read to its end has an
// unknown outcome.
func (b *recordingBody) Close() error {
	err := b.source.Close()
	b.finish(false)
	return err
}

func (b *recordingBody) finish(complete bool) {
	if b.done {
		return
	}
	b.done = true
	if !complete {
		b.operation.finish(wire.OperationResult{Outcome: wire.OutcomeUnknown, Status: b.status})
		return
	}
	r := wire.OperationResult{Outcome: b.outcome, Status: b.status, Header: wire.OperationResultHeader{}}
	if b.size <= keptBytes {
		r.BodyKept = true
		r.Body = base64.StdEncoding.EncodeToString(b.copied.Bytes())
		r.Header = wire.OperationResultHeader(b.header)
	}
	b.operation.finish(r)
}
