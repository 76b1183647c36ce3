package replog

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	simHeartbeat clock.Millis = 20
	simTimeout   clock.Millis = 100
	// simKeep is small, so that snapshots and catch-up by snapshot are frequent.
	simKeep = 8
)

// simGroup simulates a group: cores and stores on simulated disks, joined by a
// network that loses, repeats and reorders messages. It checks the protocol's
// invariants after each event and collects the clients' history.
type simGroup struct {
	random      *rand.Rand
	now         clock.Millis
	events      int
	nodes       []*simNode
	network     [][]byte
	isolated    map[Identity]bool
	ignoresSync bool

	leaders   map[Term]Identity
	committed map[Index]Entry
	appended  map[logPosition]logContent
	commands  []string
	history   []operation
	acked     int
	lastWipe  clock.Millis
	failure   error
}

// simNode is a replica with the applier and a machine of its own.
type simNode struct {
	machine
	name    ReplicaID
	disk    *simDisk
	engine  *engine
	applier *applier
	saves   saveQueue
	// written says that the file of the running save is complete.
	written        bool
	identity       Identity
	paused         bool
	writes         map[Index]simWrite
	reads          map[uint64]int
	confirmedReads map[uint64]simRead
}

// logPosition and content are what log matching joins.
type logPosition struct {
	index Index
	term  Term
}

type logContent struct {
	before Term
	kind   EntryKind
	data   string
}

type simWrite struct {
	term  Term
	start int
}

type simRead struct {
	start int
	index Index
}

// newSimGroup starts a replica for each name; the first ones form the group, and
// the others ask for admission.
func newSimGroup(seed uint64, ignoresSync bool, voters int, names ...ReplicaID) *simGroup {
	w := &simGroup{
		random: rand.New(rand.NewPCG(seed, 0)), isolated: map[Identity]bool{}, ignoresSync: ignoresSync,
		leaders: map[Term]Identity{}, committed: map[Index]Entry{}, appended: map[logPosition]logContent{},
	}
	var members []Member
	for _, s := range names {
		n := &simNode{name: s}
		w.nodes = append(w.nodes, n)
		w.wipe(n)
		members = append(members, n.engine.core.self)
	}
	for _, n := range w.nodes[:voters] {
		w.recordError(n.engine.core.bootstrap(members[:voters]))
		w.flush(n)
	}
	return w
}

func (w *simGroup) recordError(err error) {
	if err != nil && w.failure == nil {
		w.failure = err
	}
}

// forEach does the same to all nodes in turn.
func (w *simGroup) forEach(do ...func(*simNode)) {
	for _, n := range w.nodes {
		for _, f := range do {
			f(n)
		}
	}
}

func (w *simGroup) wipe(n *simNode) {
	n.disk, w.lastWipe = newSimDisk(w.random), w.now
	w.start(n)
	n.disk.ignoresSync = w.ignoresSync
}

// start opens a node's store, as after the start of its process.
func (w *simGroup) start(n *simNode) {
	identity := func() Identity { return Identity(fmt.Sprintf("%s-%d", n.name, w.random.Uint64())) }
	s, l, err := openStore(n.disk.files(), "folder", "g", identity)
	if err != nil {
		w.handleStorageError(n, err)
		return
	}
	s.segmentLimit = 2048
	n.identity, n.paused, n.commands = l.identity, false, nil
	n.writes, n.reads, n.confirmedReads = map[Index]simWrite{}, map[uint64]int{}, map[uint64]simRead{}
	n.saves, n.written = saveQueue{}, false
	n.applier = newApplier(Options{SnapshotEvery: simKeep, Apply: n.apply, Snapshot: n.snapshot, Restore: n.restore})
	if l.snapshot != nil {
		w.applyInput(n, machineInput{Restore: l.snapshot})
	}
	self := Member{Name: n.name, Identity: l.identity}
	c := newCore("g", self, l, simHeartbeat, simTimeout, w.random, w.now)
	// Small messages, so that entries and snapshots need several of them.
	c.appendBytes, c.chunkBytes = 64, 256
	n.engine = &engine{core: c, store: s, chunkReaders: map[Identity]*chunkReader{}, send: func(m Message) { w.network = append(w.network, m.Encode()) }}
}

// handleStorageError ends a process whose disk failed. Any other error is a fault.
func (w *simGroup) handleStorageError(n *simNode, err error) {
	if !errors.Is(err, ErrStorage) {
		w.recordError(err)
	}
	w.crash(n)
}

func (w *simGroup) crash(n *simNode) {
	n.engine = nil
	n.disk.crash()
}

// flush carries out a node's outputs. A storage failure is the end of the process.
func (w *simGroup) flush(n *simNode) {
	if n.engine == nil {
		return
	}
	f, err := n.engine.flush()
	if err != nil {
		w.handleStorageError(n, err)
		return
	}
	w.events++
	for _, r := range f.RoleChanges {
		if id, ok := w.leaders[r.term]; r.role == Leader && ok && id != n.identity {
			w.recordError(fmt.Errorf("election safety: %s and %s lead term %d", id, n.identity, r.term))
		}
		if r.role == Leader {
			w.leaders[r.term] = n.identity
		}
	}
	if f.Save != nil {
		n.saves.add(f.Save)
	}
	for _, x := range f.MachineInputs {
		w.applyInput(n, x)
	}
	for _, x := range f.ReadResults {
		if start, ok := n.reads[x.readID]; ok && x.ok {
			n.confirmedReads[x.readID] = simRead{start, x.index}
		}
		delete(n.reads, x.readID)
	}
	for t, r := range n.confirmedReads {
		if n.applier.applied >= r.index {
			w.history = append(w.history, operation{start: r.start, end: w.events, position: len(n.commands), read: true})
			delete(n.confirmedReads, t)
		}
	}
	if n.engine != nil {
		w.checkLog(n)
	}
}

// applyInput gives a node's machine one entry or snapshot and checks the result
// against those of the other machines.
func (w *simGroup) applyInput(n *simNode, x machineInput) {
	if e := x.Entry; x.Restore == nil {
		old, known := w.committed[e.Index]
		if e.Index != n.applier.applied+1 || known && (old.Term != e.Term || old.Kind != e.Kind || !bytes.Equal(old.Data, e.Data)) {
			w.recordError(fmt.Errorf("state machine safety: entry %v after %d, was %v", e, n.applier.applied, old))
		}
		w.committed[e.Index] = e
		if !known && e.Kind == EntryCommand {
			w.commands = append(w.commands, string(e.Data))
		}
	}
	r := n.applier.handle(taskBatch{[]task{{machineInput: x}}, n.saves.canCapture()})
	if len(n.commands) > len(w.commands) || !slices.Equal(n.commands, w.commands[:len(n.commands)]) {
		w.recordError(fmt.Errorf("state machine safety: %s differs after entry %d", n.identity, n.applier.applied))
	}
	if p, ok := n.writes[x.Entry.Index]; ok && p.term == x.Entry.Term {
		w.history = append(w.history, operation{start: p.start, end: w.events, position: len(n.commands)})
		w.acked++
	}
	delete(n.writes, x.Entry.Index)
	if r.captured != nil {
		n.saves.add(r.captured)
	}
	if r.err != nil {
		w.handleStorageError(n, r.err)
	}
}

// stepSave takes one step of writing a snapshot: it begins, its file is complete, or
// the loop takes it back. Crashes and other inputs may come between any two.
func (w *simGroup) stepSave(n *simNode) {
	if n.engine == nil || n.paused {
		return
	}
	var err error
	switch {
	case n.saves.running == nil && n.saves.next() == nil:
		return
	case n.saves.running == nil:
		n.saves.start()
	case !n.written:
		err = n.saves.running.run(context.Background(), n.engine.store)
		n.written = true
	default:
		n.engine.core.now, n.written = w.now, false
		n.saves.obsolete, err = n.engine.snapshotSaved(n.saves.finish(), simKeep)
	}
	if err != nil {
		w.handleStorageError(n, err)
		return
	}
	if w.random.IntN(4) > 0 {
		w.flush(n)
	}
}

// checkLog checks log matching: an index and term determine the entry and the
// term before it.
func (w *simGroup) checkLog(n *simNode) {
	l := &n.engine.core.log
	before := l.baseTerm
	for _, e := range l.entries {
		key := logPosition{e.Index, e.Term}
		old, ok := w.appended[key]
		if ok && (old.before != before || old.kind != e.Kind || old.data != string(e.Data)) {
			w.recordError(fmt.Errorf("log matching: entry %v is %v and %v after term %d", key, old, e, before))
		}
		if !ok {
			w.appended[key] = logContent{before, e.Kind, string(e.Data)}
		}
		before = e.Term
	}
}

// input gives a running node one input. What follows is carried out now or, as
// for a loop that takes several inputs at once, after a later one.
func (w *simGroup) input(n *simNode, f func(*core)) {
	if n.engine == nil || n.paused {
		return
	}
	n.engine.core.now = w.now
	f(n.engine.core)
	if w.random.IntN(4) > 0 {
		w.flush(n)
	}
}

// deliver takes a random message and may lose or repeat it.
func (w *simGroup) deliver(lossy bool) {
	i := w.random.IntN(len(w.network))
	b := w.network[i]
	chance := w.random.IntN(100)
	if !lossy || chance >= 5 {
		w.network[i] = w.network[len(w.network)-1]
		w.network = w.network[:len(w.network)-1]
	}
	if lossy && chance >= 5 && chance < 15 {
		return
	}
	m, err := DecodeMessage(b)
	w.recordError(err)
	if w.isolated[m.From.Identity] != w.isolated[m.To.Identity] {
		return
	}
	for _, n := range w.nodes {
		if n.identity == m.To.Identity {
			w.input(n, func(c *core) { c.step(m) })
		}
	}
}

// run lets time pass: ticks, deliveries, and each node's request for admission.
func (w *simGroup) run(rounds int, lossy bool) {
	for range rounds {
		w.now += clock.Millis(1 + w.random.IntN(8))
		for _, n := range w.nodes {
			if w.random.IntN(3) > 0 {
				w.input(n, (*core).tick)
			}
			if w.random.IntN(2) == 0 {
				w.stepSave(n)
			}
		}
		if n := w.nodes[w.random.IntN(len(w.nodes))]; lossy && n.engine != nil && w.random.IntN(30) == 0 {
			w.crash(n)
			w.start(n)
		}
		for k := w.random.IntN(12); k > 0 && len(w.network) > 0; k-- {
			w.deliver(lossy)
		}
		if len(w.network) > 200 {
			w.network = w.network[len(w.network)-100:]
		}
		w.requestAdmissions()
		w.callRandomNode()
	}
}

// callRandomNode lets clients call any replica.
func (w *simGroup) callRandomNode() {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	switch w.random.IntN(4) {
	case 0:
		w.propose(n)
	case 1:
		w.readIndex(n)
	}
}

// recover ends some of the faults, so that the group is at work most of the time.
func (w *simGroup) recover() {
	for _, n := range w.nodes {
		if n.engine == nil && w.random.IntN(2) == 0 {
			w.start(n)
		}
		n.paused = n.paused && w.random.IntN(3) > 0
		if w.random.IntN(4) == 0 {
			delete(w.isolated, n.identity)
		}
	}
}

func (w *simGroup) requestAdmissions() {
	for _, n := range w.nodes {
		if n.engine == nil || w.random.IntN(4) > 0 {
			continue
		}
		m := n.engine.core.self
		for _, l := range w.nodes {
			w.input(l, func(c *core) {
				if c.leading != nil && !c.membership().isVoter(m.Identity) {
					_, _ = c.admit(m)
				}
			})
		}
	}
}

func (w *simGroup) propose(n *simNode) {
	w.input(n, func(c *core) {
		w.events++
		i, t, err := c.propose(fmt.Appendf(nil, "command %d", w.events))
		if err == nil {
			n.writes[i] = simWrite{t, w.events}
		}
	})
}

func (w *simGroup) readIndex(n *simNode) {
	w.input(n, func(c *core) {
		w.events++
		readID := uint64(w.events)
		n.reads[readID] = w.events
		c.requestReadIndex(readID)
	})
}

// canLoseOne asks the leader of the highest term that runs.
func (w *simGroup) canLoseOne() bool {
	var best *simNode
	for _, n := range w.nodes {
		if n.engine != nil && !n.paused && n.engine.core.leading != nil && (best == nil || n.engine.core.state.Term > best.engine.core.state.Term) {
			best = n
		}
	}
	if best == nil || w.now-w.lastWipe < simTimeout {
		return false
	}
	best.engine.core.now = w.now
	return newPublishedStatus(best.engine.core, best.applier.applied).statusAt(w.now).CanLoseOne
}

// clearFaults ends all faults.
func (w *simGroup) clearFaults() {
	w.isolated = map[Identity]bool{}
	for _, n := range w.nodes {
		n.paused, n.disk.failAfter = false, -1
		if n.engine == nil {
			w.start(n)
		}
	}
}

// checkRecovery ends all faults and checks that the group works and has lost nothing.
func (w *simGroup) checkRecovery() {
	w.clearFaults()
	before := w.acked
	for range 400 {
		w.run(10, false)
		w.propose(w.nodes[w.random.IntN(len(w.nodes))])
		if w.acked > before+5 {
			break
		}
	}
	if w.acked <= before {
		w.recordError(errors.New("no proposal succeeds after all faults have ended"))
	}
	w.recordError(checkHistory(w.history))
}

// actions are the faults and client calls that the property test combines.
func (w *simGroup) actions() map[string]func(*rapid.T) {
	// node draws a replica, the leader more often than others.
	node := func(t *rapid.T) *simNode {
		i := rapid.IntRange(0, 2*len(w.nodes)-1).Draw(t, "node")
		for _, n := range w.nodes {
			if i >= len(w.nodes) && n.engine != nil && n.engine.core.leading != nil {
				return n
			}
		}
		return w.nodes[i%len(w.nodes)]
	}
	run := func(t *rapid.T) {
		w.recover()
		w.run(rapid.IntRange(1, 60).Draw(t, "rounds"), true)
	}
	return map[string]func(*rapid.T){
		"run": run, "run again": run, "run more": run, "run on": run,
		"propose": func(t *rapid.T) {
			for range rapid.IntRange(1, 20).Draw(t, "proposals") {
				w.forEach(w.propose)
				w.run(1, true)
			}
		},
		"confirm": func(*rapid.T) { w.forEach(w.readIndex) },
		"restart": func(t *rapid.T) { w.forEach(w.crash, w.start) },
		"crash":   func(t *rapid.T) { w.crash(node(t)) },
		"fail":    func(t *rapid.T) { node(t).disk.failAfter = rapid.IntRange(0, 12).Draw(t, "operations") },
		"pause":   func(t *rapid.T) { n := node(t); n.paused = !n.paused },
		"cut":     func(t *rapid.T) { w.isolated[node(t).identity] = true },
		"freeze": func(t *rapid.T) {
			n := node(t)
			n.paused = true
			w.run(60, true)
			w.forEach(w.propose)
			w.run(10, true)
			n.paused = false
			w.readIndex(n)
		},
		"transfer": func(t *rapid.T) { w.input(node(t), func(c *core) { _ = c.transferLeadership() }) },
		"wipe": func(t *rapid.T) {
			// Long enough for the last replacement to be complete.
			w.clearFaults()
			w.run(120, true)
			if w.canLoseOne() {
				w.wipe(node(t))
			}
		},
		"": func(t *rapid.T) {
			if w.failure != nil {
				t.Fatal(w.failure)
			}
		},
	}
}

// Guards against two leaders of a term, diverging logs or machines, lost
// acknowledged entries, stale confirmed reads, a group that stays without a
// leader, and a CanLoseOne that is true too early.
func TestGroupProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([][2]int{{1, 1}, {1, 3}, {2, 3}, {3, 3}, {3, 3}, {3, 4}, {5, 5}}).Draw(t, "voters and replicas")
		names := []ReplicaID{"a", "b", "c", "d", "e"}[:size[1]]
		w := newSimGroup(rapid.Uint64().Draw(t, "seed"), false, size[0], names...)
		t.Repeat(w.actions())
		w.checkRecovery()
		if w.failure != nil {
			t.Fatal(w.failure)
		}
	})
}

// Guards against a simulation that cannot show a fault: with an fsync that does
// nothing, crashes must break at least one invariant.
func TestGroupPropertiesNoticeLostWrites(t *testing.T) {
	for seed := range uint64(50) {
		w := newSimGroup(seed, true, 3, "a", "b", "c")
		for range 20 {
			w.run(60, true)
			w.forEach(w.propose)
			w.run(20, true)
			w.forEach(w.crash, w.start)
		}
		if w.failure != nil {
			return
		}
	}
	qt.Assert(t, false, qt.IsTrue, qt.Commentf("no invariant was broken"))
}
