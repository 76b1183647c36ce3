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
type targets struct {
	clock clock.Clock
	// start runs the goroutines of an incarnation.
	start func(m *member)
	// down tells the control group that an incarnation has ended.
	down func(m *member, e ending)

	mu       sync.Mutex
	current  atomic.Pointer[member]
	sequence int
	closed   bool
}

// ending says how an incarnation ended.
type ending struct {
	why string
	// crashed: the target died, so that a request in flight may be the cause.
	crashed bool
	// mayStillRun: the target may work on what it has accepted.
	mayStillRun bool
	// unknown: the control group does not know the incarnation any more.
	unknown bool
}

// now returns the present incarnation, or nil.
func (t *targets) now() *member { return t.current.Load() }

// announce begins an incarnation, or confirms the present one.
func (t *targets) announce(a announcement) (*member, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, errStopping
	}
	old := t.current.Load()
	if old != nil && old.alive() && old.target.same(a) {
		return old, nil
	}
	if old != nil {
		restarted := old.target.Address == a.Address && old.target.Instance != a.Instance
		t.endLocked(old, ending{why: "replaced by another announcement", crashed: restarted, mayStillRun: !restarted})
	}
	return t.beginLocked(a), nil
}

func (t *targets) beginLocked(a announcement) *member {
	t.sequence++
	m := newMember(t.clock, a, lease.DefaultTerms)
	m.sequence = t.sequence
	t.start(m)
	t.current.Store(m)
	return m
}

// refused begins a new incarnation of the same target after the control group
// refused to renew the lease of m.
func (t *targets) refused(m *member, why string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current.Load() != m {
		return
	}
	t.endLocked(m, ending{why: "lease refused: " + why, mayStillRun: true, unknown: true})
	if !t.closed && !m.draining.Load() {
		t.beginLocked(m.target)
	}
}

// end ends an incarnation.
func (t *targets) end(m *member, e ending) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endLocked(m, e)
}

func (t *targets) endLocked(m *member, e ending) {
	if !m.end() {
		return
	}
	t.current.CompareAndSwap(m, nil)
	t.down(m, e)
}

// close refuses further announcements.
func (t *targets) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
}
