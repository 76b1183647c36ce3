package node

import (
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/lease"
)

// errStopping means that a target announced itself to a node that stops.
var errStopping = merry.Sentinel("node is stopping")

// targets holds the incarnation of the node's own target.
type targetManager struct {
	clock clock.Clock
	// start runs the goroutines of an incarnation.
	startMember func(m *member)
	// down tells the control group that an incarnation has ended.
	onEnd func(m *member, e endCause)

	mu            sync.Mutex
	currentMember atomic.Pointer[member]
	sequence      int
	closed        bool
}

// ending says how an incarnation ended.
type endCause struct {
	reason string
	// crashed: the target died, so that a request in flight may be the cause.
	crashed bool
	// mayStillRun: the target may work on what it has accepted.
	mayStillRun bool
	// unknown: the control group does not know the incarnation any more.
	unknownToControl bool
}

// now returns the present incarnation, or nil.
func (t *targetManager) current() *member { return t.currentMember.Load() }

// announce begins an incarnation, or confirms the present one.
func (t *targetManager) announce(a announcement) (*member, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, errStopping
	}
	old := t.currentMember.Load()
	if old != nil && old.alive() && old.target.sameTarget(a) {
		return old, nil
	}
	if old != nil {
		restarted := old.target.Address == a.Address && old.target.Instance != a.Instance
		t.endLocked(old, endCause{reason: "replaced by another announcement", crashed: restarted, mayStillRun: !restarted})
	}
	return t.beginLocked(a), nil
}

func (t *targetManager) beginLocked(a announcement) *member {
	t.sequence++
	m := newMember(t.clock, a, lease.DefaultTerms)
	m.sequence = t.sequence
	t.startMember(m)
	t.currentMember.Store(m)
	return m
}

// refused begins a new incarnation of the same target after the control group
// refused to renew the lease of m.
func (t *targetManager) leaseRejected(m *member, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.currentMember.Load() != m {
		return
	}
	t.endLocked(m, endCause{reason: "lease refused: " + reason, mayStillRun: true, unknownToControl: true})
	if !t.closed && !m.draining.Load() {
		t.beginLocked(m.target)
	}
}

// end ends an incarnation.
func (t *targetManager) end(m *member, cause endCause) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endLocked(m, cause)
}

func (t *targetManager) endLocked(m *member, cause endCause) {
	if !m.end() {
		return
	}
	t.currentMember.CompareAndSwap(m, nil)
	t.onEnd(m, cause)
}

// close refuses further announcements.
func (t *targetManager) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
}
