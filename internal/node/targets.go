package node

import (
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/lease"
)

// errStopping means that a target announced itself to a stopping node.
var errStopping = merry.Sentinel("node is stopping")

// targetManager starts and ends the incarnations of the node's own target. At most one is
// current.
type targetManager struct {
	clock clock.Clock
	// startMember starts the goroutines of an incarnation.
	startMember func(m *member)
	// onEnd handles the end of an incarnation.
	onEnd func(m *member, e endCause)

	mu            sync.Mutex
	currentMember atomic.Pointer[member]
	sequence      int
	closed        bool
}

// endCause describes how an incarnation ended.
type endCause struct {
	reason string
	// crashed is set if the target crashed, so that a request in flight may be the
	// cause.
	crashed bool
	// mayStillRun is set if the target may still be working on requests.
	mayStillRun bool
	// unknownToControl is set if the control group does not know the incarnation any
	// more.
	unknownToControl bool
}

// current returns the current incarnation, or nil.
func (t *targetManager) current() *member { return t.currentMember.Load() }

// announce starts a new incarnation, or returns the current one if the announcement is of
// the same target.
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

// leaseRejected starts a new incarnation of the same target after the control group
// rejected the lease of m.
func (t *targetManager) leaseRejected(m *member, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.currentMember.Load() != m {
		return
	}
	t.endLocked(m, endCause{reason: "lease rejected: " + reason, mayStillRun: true, unknownToControl: true})
	if !t.closed && !m.draining.Load() {
		t.beginLocked(m.target)
	}
}

// end ends an incarnation, unless it has ended already.
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

// close makes the manager reject further announcements.
func (t *targetManager) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
}
