package state

import (
	"slices"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// OperationRetention is how long the outcome of an operation is kept after the time
	// in its key.
	OperationRetention clock.Millis = 24 * 60 * 60 * 1000
	// MaxKeyAhead bounds how far a key's time may be ahead of the machine's time, so that
	// no record is kept for longer than OperationRetention plus MaxKeyAhead.
	MaxKeyAhead clock.Millis = 10 * 60 * 1000
	// MaxKeptBodyBytes is the maximum length of a recorded response body in base64:
	// 32 KiB before encoding.
	MaxKeptBodyBytes = (32<<10 + 2) / 3 * 4
	// maxRecordBytes bounds the total size of the operation records, because a snapshot
	// of more than 1 GiB would stop every replica. At the limit, no operation can begin.
	// Operations that are already running still record their outcome, without a body.
	maxRecordBytes = 768 << 20
	// maxReleasedExecutions is the number of executions kept per operation that ended as
	// not run.
	maxReleasedExecutions = 32
)

// operation is the record of an operation that must not run twice.
type operation struct {
	Service     wire.ServiceName
	Caller      wire.CallerID
	Fingerprint wire.Fingerprint
	// Execution is the execution that may run. It is empty after its release.
	Execution   wire.ExecutionID
	Incarnation wire.Incarnation
	Result      *wire.OperationResult `json:",omitempty"`
	// Released lists executions that ended as not run. A delayed resend of the Begin of
	// such an execution must be rejected: no Finish would follow it, and the operation
	// would stay in progress.
	Released []wire.ExecutionID `json:",omitempty"`
}

// KeyTime returns the time in an operation key, and false when the key is not a
// UUID of version 7 in its canonical form.
func KeyTime(k wire.OperationKey) (wire.UnixMillis, bool) {
	id, ok := parseKey(k)
	return id.time(), ok
}

// beginOperation decides whether an execution may run the operation with the given key.
func (m *Machine) beginOperation(r wire.BeginRequest) Result {
	k, ok := parseKey(r.Key)
	if !ok || r.Execution == "" {
		return Result{Err: merry.Wrap(ErrInvalidCommand, merry.AppendMessage("key is not a UUID of version 7, or there is no execution"))}
	}
	switch t := k.time(); {
	case t < m.Now-unixMillis(OperationRetention):
		return beginResult(wire.DecisionExpired, nil)
	case t > m.Now+unixMillis(MaxKeyAhead):
		return beginResult(wire.DecisionFuture, nil)
	}
	o, known := m.findOperation(k)
	if known && !o.matches(r) {
		return beginResult(wire.DecisionMismatch, nil)
	}
	if known && (o.Result != nil || o.Execution != "") {
		return m.beginExisting(o, r)
	}
	if slices.Contains(o.Released, r.Execution) {
		return Result{Err: merry.Wrap(ErrStale, merry.AppendMessage("execution was released as not run"))}
	}
	if !m.isLiveMember(r.Incarnation, r.Service) {
		return Result{Err: merry.Wrap(ErrStale, merry.AppendMessagef("incarnation %s is not a live member of the service", r.Incarnation))}
	}
	if m.Operations.sizeBytes >= m.recordLimit {
		return beginResult(wire.DecisionFull, nil)
	}
	m.startExecution(o, r, k)
	return beginResult(wire.DecisionRun, nil)
}

// matches reports whether r is the same request of the same caller, so that a key never
// returns another caller's response. If a release arrived before its Begin, the record
// has no fingerprint and only the service is compared.
func (o operation) matches(r wire.BeginRequest) bool {
	if o.Fingerprint == "" {
		return o.Service == r.Service
	}
	return o.Service == r.Service && o.Caller == r.Caller && o.Fingerprint == r.Fingerprint
}

// beginExisting returns the decision for an operation that has an execution or a result.
func (m *Machine) beginExisting(o operation, r wire.BeginRequest) Result {
	switch {
	case o.Result != nil:
		return beginResult(wire.DecisionFinished, o.Result)
	case o.Execution == r.Execution:
		return beginResult(wire.DecisionRun, nil)
	case m.isLiveMember(o.Incarnation, o.Service):
		return beginResult(wire.DecisionRunning, nil)
	}
	return beginResult(wire.DecisionLost, nil)
}

// startExecution records that the request's execution may run the operation.
func (m *Machine) startExecution(o operation, r wire.BeginRequest, k recordKey) {
	o.Service, o.Caller, o.Fingerprint = r.Service, r.Caller, r.Fingerprint
	o.Execution, o.Incarnation = r.Execution, r.Incarnation
	m.putOperation(k, o)
}

func beginResult(d wire.Decision, r *wire.OperationResult) Result {
	return Result{Begin: &wire.BeginResponse{Decision: d, Result: r}}
}

// finishOperation records the outcome of an execution. The first outcome is final. An
// outcome that arrives after its member has ended is still recorded.
func (m *Machine) finishOperation(f wire.FinishRequest) error {
	k, ok := parseKey(f.Key)
	if !ok || f.Execution == "" {
		return merry.Wrap(ErrInvalidCommand, merry.AppendMessage("key is not a UUID of version 7, or there is no execution"))
	}
	if k.time() < m.Now-unixMillis(OperationRetention) {
		return merry.Wrap(ErrStale, merry.AppendMessage("key has expired"))
	}
	o, known := m.findOperation(k)
	if known && o.Service != f.Service {
		return merry.Wrap(ErrStale, merry.AppendMessage("key belongs to another service"))
	}
	if f.Result.Outcome == wire.OutcomeNotRun {
		return m.releaseExecution(f, o, k)
	}
	if !known || o.Execution != f.Execution {
		return merry.Wrap(ErrStale, merry.AppendMessage("operation is not running as this execution"))
	}
	if o.Result != nil {
		return nil
	}
	r := f.Result
	if !r.BodyKept || len(r.Body) > MaxKeptBodyBytes || m.Operations.sizeBytes >= m.recordLimit {
		r.Body, r.BodyKept = "", false
	}
	o.Result = &r
	m.putOperation(k, o)
	return nil
}

// releaseExecution records that an execution ended as not run, so that another execution
// may use the key. If the Begin of the execution was delayed, the release may be applied
// before it.
func (m *Machine) releaseExecution(f wire.FinishRequest, o operation, k recordKey) error {
	if o.Result != nil {
		return merry.Wrap(ErrStale, merry.AppendMessage("operation has already finished"))
	}
	if slices.Contains(o.Released, f.Execution) {
		return nil
	}
	if o.Execution == f.Execution {
		o.Execution, o.Incarnation = "", ""
	}
	o.Service = f.Service
	o.Released = append(slices.Clone(o.Released), f.Execution)
	if len(o.Released) > maxReleasedExecutions {
		o.Released = o.Released[1:]
	}
	m.putOperation(k, o)
	return nil
}

// pruneOperations deletes exactly the records whose keys beginOperation rejects as
// expired.
func (m *Machine) pruneOperations() {
	m.Operations.prune(m.Now - unixMillis(OperationRetention))
}

// findOperation returns the record of a key.
func (m *Machine) findOperation(k recordKey) (operation, bool) {
	data, known := m.Operations.get(k)
	if !known {
		return operation{}, false
	}
	o, err := unpackOperation(data)
	if err != nil {
		panic("state: record of operation " + uuid.UUID(k).String() + ": " + err.Error())
	}
	return o, true
}

// putOperation stores the record of a key.
func (m *Machine) putOperation(k recordKey, o operation) { m.Operations.put(k, packOperation(o)) }
