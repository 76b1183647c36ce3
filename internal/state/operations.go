package state

import (
	"slices"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// OperationRetention is how long the outcome of an operation is kept,
	// counted from the time in its key.
	OperationRetention clock.Millis = 24 * 60 * 60 * 1000
	// MaxKeyAhead bounds how far a key's time may be ahead of the machine's, so
	// that no record stays for longer than retention plus this.
	MaxKeyAhead clock.Millis = 10 * 60 * 1000
	// MaxKeptBodyBytes is the longest response body that is kept, in base64: 32 KiB
	// before encoding.
	MaxKeptBodyBytes = (32<<10 + 2) / 3 * 4
	// maxRecordBytes bounds the records of operations. A snapshot of more than 1 GiB
	// would stop every replica; operations that are open at the limit still add
	// their outcome, without a body.
	maxRecordBytes = 768 << 20
	// maxReleased bounds the attempts of one operation that ended as not run.
	maxReleased = 32
)

// operation is the record of one operation that must not repeat.
type operation struct {
	Service     wire.ServiceName
	Caller      wire.CallerID
	Fingerprint wire.Fingerprint
	// Execution is the attempt that may run, empty after it was released.
	Execution   wire.ExecutionID
	Incarnation wire.Incarnation
	Result      *wire.OperationResult `json:",omitempty"`
	// Released are attempts that ended as not run. A resend of their Begin that
	// arrives late must not open the operation again, as nobody would close it.
	Released []wire.ExecutionID `json:",omitempty"`
}

// KeyTime returns the time in an operation key, and false when the key is not a
// UUID of version 7 in its canonical form.
func KeyTime(k wire.OperationKey) (wire.UnixMillis, bool) {
	id, ok := parseKey(k)
	return id.time(), ok
}

func (m *Machine) begin(r wire.BeginRequest) Result {
	k, ok := parseKey(r.Key)
	if !ok || r.Execution == "" {
		return Result{Err: merry.Wrap(ErrInvalidCommand, merry.AppendMessage("key is not a UUID of version 7, or there is no execution"))}
	}
	switch t := k.time(); {
	case t < m.Now-unixMillis(OperationRetention):
		return decision(wire.DecisionExpired, nil)
	case t > m.Now+unixMillis(MaxKeyAhead):
		return decision(wire.DecisionFuture, nil)
	}
	o, known := m.operation(k)
	if known && !o.matches(r) {
		return decision(wire.DecisionMismatch, nil)
	}
	if known && (o.Result != nil || o.Execution != "") {
		return m.beginKnown(o, r)
	}
	if slices.Contains(o.Released, r.Execution) {
		return Result{Err: merry.Wrap(ErrStale, merry.AppendMessage("execution has ended as not run"))}
	}
	if !m.serves(r.Incarnation, r.Service) {
		return Result{Err: merry.Wrap(ErrStale, merry.AppendMessagef("incarnation %s is gone", r.Incarnation))}
	}
	if m.Operations.bytes >= m.recordLimit {
		return decision(wire.DecisionFull, nil)
	}
	m.open(o, r, k)
	return decision(wire.DecisionRun, nil)
}

// matches requires the same request of the same caller, so that a key never
// yields another caller's response. An operation that was released before its
// Begin arrived knows no request yet.
func (o operation) matches(r wire.BeginRequest) bool {
	if o.Fingerprint == "" {
		return o.Service == r.Service
	}
	return o.Service == r.Service && o.Caller == r.Caller && o.Fingerprint == r.Fingerprint
}

func (m *Machine) beginKnown(o operation, r wire.BeginRequest) Result {
	switch {
	case o.Result != nil:
		return decision(wire.DecisionFinished, o.Result)
	case o.Execution == r.Execution:
		return decision(wire.DecisionRun, nil)
	case m.serves(o.Incarnation, o.Service):
		return decision(wire.DecisionRunning, nil)
	}
	return decision(wire.DecisionLost, nil)
}

func (m *Machine) open(o operation, r wire.BeginRequest, k recordKey) {
	o.Service, o.Caller, o.Fingerprint = r.Service, r.Caller, r.Fingerprint
	o.Execution, o.Incarnation = r.Execution, r.Incarnation
	m.putOperation(k, o)
}

func decision(d wire.Decision, r *wire.OperationResult) Result {
	return Result{Begin: &wire.BeginResponse{Decision: d, Result: r}}
}

// finish records the outcome of an execution; the first one stays. An outcome
// that arrives after its member has ended is recorded too, because it is true.
func (m *Machine) finish(f wire.FinishRequest) error {
	k, ok := parseKey(f.Key)
	if !ok || f.Execution == "" {
		return merry.Wrap(ErrInvalidCommand, merry.AppendMessage("key is not a UUID of version 7, or there is no execution"))
	}
	if k.time() < m.Now-unixMillis(OperationRetention) {
		return merry.Wrap(ErrStale, merry.AppendMessage("key has expired"))
	}
	o, known := m.operation(k)
	if known && o.Service != f.Service {
		return merry.Wrap(ErrStale, merry.AppendMessage("key belongs to another service"))
	}
	if f.Result.Outcome == wire.OutcomeNotRun {
		return m.release(f, o, k)
	}
	if !known || o.Execution != f.Execution {
		return merry.Wrap(ErrStale, merry.AppendMessage("another execution holds the key"))
	}
	if o.Result != nil {
		return nil
	}
	r := f.Result
	if !r.BodyKept || len(r.Body) > MaxKeptBodyBytes || m.Operations.bytes >= m.recordLimit {
		r.Body, r.BodyKept = "", false
	}
	o.Result = &r
	m.putOperation(k, o)
	return nil
}

// release frees the key for another execution. The release may be applied
// before the Begin that it belongs to, when that one was delayed.
func (m *Machine) release(f wire.FinishRequest, o operation, k recordKey) error {
	if o.Result != nil {
		return merry.Wrap(ErrStale, merry.AppendMessage("operation has finished"))
	}
	if slices.Contains(o.Released, f.Execution) {
		return nil
	}
	if o.Execution == f.Execution {
		o.Execution, o.Incarnation = "", ""
	}
	o.Service = f.Service
	o.Released = append(slices.Clone(o.Released), f.Execution)
	if len(o.Released) > maxReleased {
		o.Released = o.Released[1:]
	}
	m.putOperation(k, o)
	return nil
}

// pruneOperations drops exactly the records whose keys begin refuses as expired.
func (m *Machine) pruneOperations() {
	m.Operations.prune(m.Now - unixMillis(OperationRetention))
}

// operation returns the record of a key.
func (m *Machine) operation(k recordKey) (operation, bool) {
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

func (m *Machine) putOperation(k recordKey, o operation) { m.Operations.put(k, packOperation(o)) }
