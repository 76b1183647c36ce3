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
	// simKeep is the number of entries between snapshots and of those kept before one.
	// It is small so that snapshots are frequent and replicas often need one to catch
	// up.
	simKeep = 8
	// simLogBytes is the size of entries that makes a snapshot due.
	simLogBytes = 80
)

// simGroup simulates a group of replicas with simulated disks and a network that loses,
// duplicates and reorders messages. It checks the invariants of the protocol after
// each event and records the history of client calls.
type simGroup struct {
	random *rand.Rand
	now    clock.Millis
	// events counts the events so far. It serves as the clock of the history.
	events int
	nodes  []*simNode
	// network contains the encoded messages in flight.
	network [][]byte
	// isolated replicas can exchange messages only with each other.
	isolated    map[Identity]bool
	ignoresSync bool

	leaders map[Term]Identity
	// committed and commands are all committed entries and their commands.
	committed map[Index]Entry
	appended  map[logPosition]logContent
	commands  []string
	history   []operation
	// acked counts the acknowledged proposals.
	acked    int
	lastWipe clock.Millis
	// failure is the first violation of an invariant.
	failure error
}

// simNode is a replica of a simGroup with its own applier and state machine.
type simNode struct {
	machine
	name    ReplicaID
	disk    *simDisk
	engine  *engine
	applier *applier
	saves   saveQueue
	// written is true when the snapshot file of the running save is complete.
	written  bool
	identity Identity
	paused   bool
	// writes are the pending proposals, reads the start events of the pending read
	// index requests by ID.
	writes map[Index]simWrite
	reads  map[uint64]int
	// confirmedReads are the reads whose read index is not applied yet.
	confirmedReads map[uint64]simRead
}

// logPosition identifies an entry. By log matching, entries at the same logPosition in
// any two logs have the same logContent.
type logPosition struct {
	index Index
	term  Term
}

type logContent struct {
	// before is the term of the previous entry.
	before Term
	kind   EntryKind
	data   string
}

// simWrite is a pending proposal with the event at which it started.
type simWrite struct {
	term  Term
	start int
}

// simRead is a confirmed read with the event at which it started and its read index.
type simRead struct {
	start int
	index Index
}

// newSimGroup starts a replica for each name. The first ones, as many as voters, form
// the group; the others request admission.
func newSimGroup(seed uint64, ignoresSync bool, voters int, names ...ReplicaID) *simGroup {
	g := &simGroup{
		random: rand.New(rand.NewPCG(seed, 0)), isolated: map[Identity]bool{}, ignoresSync: ignoresSync,
		leaders: map[Term]Identity{}, committed: map[Index]Entry{}, appended: map[logPosition]logContent{},
	}
	var members []Member
	for _, s := range names {
		n := &simNode{name: s}
		g.nodes = append(g.nodes, n)
		g.wipe(n)
		members = append(members, n.engine.core.self)
	}
	for _, n := range g.nodes[:voters] {
		g.recordError(n.engine.core.bootstrap(members[:voters]))
		g.flush(n)
	}
	return g
}

func (g *simGroup) recordError(err error) {
	if err != nil && g.failure == nil {
		g.failure = err
	}
}

// forEach calls the functions with each node in turn.
func (g *simGroup) forEach(do ...func(*simNode)) {
	for _, n := range g.nodes {
		for _, f := range do {
			f(n)
		}
	}
}

// wipe replaces a node's disk by an empty one and starts the node.
func (g *simGroup) wipe(n *simNode) {
	n.disk, g.lastWipe = newSimDisk(g.random), g.now
	g.start(n)
	n.disk.ignoresSync = g.ignoresSync
}

// start starts a node from the files on its disk.
func (g *simGroup) start(n *simNode) {
	identity := func() Identity { return Identity(fmt.Sprintf("%s-%d", n.name, g.random.Uint64())) }
	s, l, err := openStore(n.disk.files(), simFolder, "g", identity)
	if err != nil {
		g.handleStorageError(n, err)
		return
	}
	s.segmentLimit = 2048
	n.identity, n.paused, n.commands = l.identity, false, nil
	n.writes, n.reads, n.confirmedReads = map[Index]simWrite{}, map[uint64]int{}, map[uint64]simRead{}
	n.saves, n.written = saveQueue{}, false
	n.applier = newApplier(Options{SnapshotEvery: simKeep, Apply: n.apply, Snapshot: n.snapshot, Restore: n.restore})
	if l.snapshot != nil {
		g.applyInput(n, machineInput{Restore: l.snapshot})
	}
	self := Member{Name: n.name, Identity: l.identity}
	c := newCore("g", self, l, simHeartbeat, simTimeout, g.random, g.now)
	// Small limits, so that entries and snapshots need several messages.
	c.appendBytes, c.chunkBytes, c.longAppendBytes, c.minLogBytes = 64, 256, 32, simLogBytes
	n.engine = &engine{core: c, store: s, chunkReaders: map[Identity]*chunkReader{}, send: func(m Message) { g.network = append(g.network, m.Encode()) }}
}

// handleStorageError crashes a node whose disk has failed. Any other error is recorded
// as a failure of the test.
func (g *simGroup) handleStorageError(n *simNode, err error) {
	if !errors.Is(err, ErrStorage) {
		g.recordError(err)
	}
	if n.disk.full {
		n.engine = nil
		return
	}
	g.crash(n)
}

func (g *simGroup) crash(n *simNode) {
	n.engine = nil
	n.disk.crash()
}

// flush executes a node's outputs and checks them. A storage error crashes the node.
func (g *simGroup) flush(n *simNode) {
	if n.engine == nil {
		return
	}
	f, err := n.engine.flush()
	if err != nil {
		g.handleStorageError(n, err)
		return
	}
	g.events++
	for _, r := range f.RoleChanges {
		if id, ok := g.leaders[r.term]; r.role == Leader && ok && id != n.identity {
			g.recordError(fmt.Errorf("election safety: %s and %s lead term %d", id, n.identity, r.term))
		}
		if r.role == Leader {
			g.leaders[r.term] = n.identity
		}
	}
	if f.Save != nil {
		n.saves.add(f.Save)
	}
	for _, x := range f.MachineInputs {
		g.applyInput(n, x)
	}
	for _, x := range f.ReadResults {
		if start, ok := n.reads[x.readID]; ok && x.ok {
			n.confirmedReads[x.readID] = simRead{start, x.index}
		}
		delete(n.reads, x.readID)
	}
	for t, r := range n.confirmedReads {
		if n.applier.appliedIndex >= r.index {
			g.history = append(g.history, operation{start: r.start, end: g.events, position: len(n.commands), read: true})
			delete(n.confirmedReads, t)
		}
	}
	if n.engine != nil {
		g.checkLog(n)
	}
}

// applyInput passes one entry or snapshot to a node's state machine and checks that its
// state is consistent with that of the other nodes.
func (g *simGroup) applyInput(n *simNode, x machineInput) {
	if e := x.Entry; x.Restore == nil {
		old, known := g.committed[e.Index]
		if e.Index != n.applier.appliedIndex+1 || known && (old.Term != e.Term || old.Kind != e.Kind || !bytes.Equal(old.Data, e.Data)) {
			g.recordError(fmt.Errorf("state machine safety: got entry %v after applied index %d; it must have the next index and equal the entry first applied at its index (zero if none): %v", e, n.applier.appliedIndex, old))
		}
		g.committed[e.Index] = e
		if !known && e.Kind == EntryCommand {
			g.commands = append(g.commands, string(e.Data))
		}
	}
	r := n.applier.handle(taskBatch{[]task{{machineInput: x}}, n.saves.canCapture(), simLogBytes})
	if len(n.commands) > len(g.commands) || !slices.Equal(n.commands, g.commands[:len(n.commands)]) {
		g.recordError(fmt.Errorf("state machine safety: %s differs after entry %d", n.identity, n.applier.appliedIndex))
	}
	if p, ok := n.writes[x.Entry.Index]; ok && p.term == x.Entry.Term {
		g.history = append(g.history, operation{start: p.start, end: g.events, position: len(n.commands)})
		g.acked++
	}
	delete(n.writes, x.Entry.Index)
	if r.captured != nil {
		n.saves.add(r.captured)
	}
	if r.err != nil {
		g.handleStorageError(n, r.err)
	}
}

// stepSave performs one step of saving a snapshot: start it, write its file, or switch
// to it. Crashes and other inputs may occur between the steps.
func (g *simGroup) stepSave(n *simNode) {
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
		n.engine.core.now, n.written = g.now, false
		n.saves.obsolete, err = n.engine.snapshotSaved(n.saves.finish(), simKeep)
	}
	if err != nil {
		g.handleStorageError(n, err)
		return
	}
	if g.random.IntN(4) > 0 {
		g.flush(n)
	}
}

// checkLog checks log matching: entries with the same index and term are equal, and so
// are the terms of the entries before them.
func (g *simGroup) checkLog(n *simNode) {
	l := &n.engine.core.log
	before := l.baseTerm
	for _, e := range l.entries {
		key := logPosition{e.Index, e.Term}
		old, ok := g.appended[key]
		if ok && (old.before != before || old.kind != e.Kind || old.data != string(e.Data)) {
			g.recordError(fmt.Errorf("log matching: entry %v is %v and %v after term %d", key, old, e, before))
		}
		if !ok {
			g.appended[key] = logContent{before, e.Kind, string(e.Data)}
		}
		before = e.Term
	}
}

// input passes one input to a running node. At random, the outputs are executed
// immediately or after a later input, as by a loop that handles several inputs at
// once.
func (g *simGroup) input(n *simNode, f func(*core)) {
	if n.engine == nil || n.paused {
		return
	}
	n.engine.core.now = g.now
	f(n.engine.core)
	if g.random.IntN(4) > 0 {
		g.flush(n)
	}
}

// deliver delivers a random message. If lossy, it may lose or duplicate it.
func (g *simGroup) deliver(lossy bool) {
	i := g.random.IntN(len(g.network))
	b := g.network[i]
	chance := g.random.IntN(100)
	if !lossy || chance >= 5 {
		g.network[i] = g.network[len(g.network)-1]
		g.network = g.network[:len(g.network)-1]
	}
	if lossy && chance >= 5 && chance < 15 {
		return
	}
	m, err := DecodeMessage(b)
	g.recordError(err)
	if g.isolated[m.From.Identity] != g.isolated[m.To.Identity] {
		return
	}
	for _, n := range g.nodes {
		if n.identity == m.To.Identity {
			g.input(n, func(c *core) { c.step(m) })
		}
	}
}

// run simulates rounds of ticks, message deliveries, snapshots, requests for admission
// and client calls. If lossy, messages may be lost and nodes may crash.
func (g *simGroup) run(rounds int, lossy bool) {
	for range rounds {
		g.now += clock.Millis(1 + g.random.IntN(8))
		for _, n := range g.nodes {
			if g.random.IntN(3) > 0 {
				g.input(n, (*core).tick)
			}
			if g.random.IntN(2) == 0 {
				g.stepSave(n)
			}
		}
		if n := g.nodes[g.random.IntN(len(g.nodes))]; lossy && n.engine != nil && g.random.IntN(30) == 0 {
			g.crash(n)
			g.start(n)
		}
		for k := g.random.IntN(12); k > 0 && len(g.network) > 0; k-- {
			g.deliver(lossy)
		}
		if len(g.network) > 200 {
			g.network = g.network[len(g.network)-100:]
		}
		g.requestAdmissions()
		g.callRandomNode()
	}
}

// callRandomNode simulates a client call of a random node.
func (g *simGroup) callRandomNode() {
	n := g.nodes[g.random.IntN(len(g.nodes))]
	switch g.random.IntN(4) {
	case 0:
		g.propose(n)
	case 1:
		g.readIndex(n)
	}
}

// recover ends some of the faults, so that the group can make progress most of the
// time.
func (g *simGroup) recover() {
	for _, n := range g.nodes {
		if n.engine == nil && g.random.IntN(2) == 0 {
			g.start(n)
		}
		n.paused = n.paused && g.random.IntN(3) > 0
		n.disk.full = n.disk.full && g.random.IntN(3) > 0
		if g.random.IntN(4) == 0 {
			delete(g.isolated, n.identity)
		}
	}
}

// requestAdmissions simulates requests of random nodes to be admitted as voters.
func (g *simGroup) requestAdmissions() {
	for _, n := range g.nodes {
		if n.engine == nil || g.random.IntN(4) > 0 {
			continue
		}
		m := n.engine.core.self
		for _, l := range g.nodes {
			g.input(l, func(c *core) {
				if c.leading != nil && !c.membership().isVoter(m.Identity) {
					_, _ = c.admit(m)
				}
			})
		}
	}
}

func (g *simGroup) propose(n *simNode) {
	g.input(n, func(c *core) {
		g.events++
		i, t, err := c.propose(fmt.Appendf(nil, "command %d", g.events))
		if err == nil {
			n.writes[i] = simWrite{t, g.events}
		}
	})
}

func (g *simGroup) readIndex(n *simNode) {
	g.input(n, func(c *core) {
		g.events++
		readID := uint64(g.events)
		n.reads[readID] = g.events
		c.requestReadIndex(readID)
	})
}

// canLoseOne returns CanLoseOne of the running leader with the highest term. It is false
// within one election timeout after a wipe.
func (g *simGroup) canLoseOne() bool { return g.tolerableLosses() > 0 }

// tolerableLosses returns how many voters can be lost at once, according to the running
// leader with the highest term. It is 0 within one election timeout after a wipe.
func (g *simGroup) tolerableLosses() int {
	var best *simNode
	for _, n := range g.nodes {
		if n.engine != nil && !n.paused && n.engine.core.leading != nil && (best == nil || n.engine.core.state.Term > best.engine.core.state.Term) {
			best = n
		}
	}
	if best == nil || g.now-g.lastWipe < simTimeout {
		return 0
	}
	best.engine.core.now = g.now
	s := newPublishedStatus(best.engine.core, best.applier.appliedIndex).statusAt(g.now)
	caughtUp := 0
	for _, v := range s.Voters {
		if v.CaughtUp {
			caughtUp++
		}
	}
	losses := max(0, caughtUp-(len(s.Voters)/2+1))
	if s.CanLoseOne != (losses > 0) {
		g.recordError(fmt.Errorf("CanLoseOne is %v with %d caught-up voters of %d", s.CanLoseOne, caughtUp, len(s.Voters)))
	}
	return losses
}

// losePower takes the power of all nodes at once, while proposals are in progress. The given
// nodes come back with empty disks.
func (g *simGroup) losePower(emptied ...*simNode) {
	g.forEach(g.crash)
	g.forEach(func(n *simNode) {
		if slices.Contains(emptied, n) {
			g.wipe(n)
		} else {
			g.start(n)
		}
	})
}

// clearFaults ends all faults.
func (g *simGroup) clearFaults() {
	g.isolated = map[Identity]bool{}
	for _, n := range g.nodes {
		n.paused, n.disk.full, n.disk.failAfter = false, false, -1
		if n.engine == nil {
			g.start(n)
		}
	}
}

// checkRecovery ends all faults and checks that proposals succeed and that the history
// is linearizable.
func (g *simGroup) checkRecovery() {
	g.clearFaults()
	before := g.acked
	for range 400 {
		g.run(10, false)
		g.propose(g.nodes[g.random.IntN(len(g.nodes))])
		if g.acked > before+5 {
			break
		}
	}
	if g.acked <= before {
		g.recordError(errors.New("no proposal succeeded after all faults had ended"))
	}
	g.recordError(checkHistory(g.history))
}

// actions returns the faults and client calls that the property test combines. The
// names determine the actions that a seed selects.
func (g *simGroup) actions() map[string]func(*rapid.T) {
	// node draws a node, and the leader more often than the others.
	node := func(t *rapid.T) *simNode {
		i := rapid.IntRange(0, 2*len(g.nodes)-1).Draw(t, "node")
		for _, n := range g.nodes {
			if i >= len(g.nodes) && n.engine != nil && n.engine.core.leading != nil {
				return n
			}
		}
		return g.nodes[i%len(g.nodes)]
	}
	run := func(t *rapid.T) {
		g.recover()
		g.run(rapid.IntRange(1, 60).Draw(t, "rounds"), true)
	}
	return map[string]func(*rapid.T){
		// The four names make run more frequent than other actions.
		"run": run, "run again": run, "run more": run, "run on": run,
		"propose": func(t *rapid.T) {
			for range rapid.IntRange(1, 20).Draw(t, "proposals") {
				g.forEach(g.propose)
				g.run(1, true)
			}
		},
		"confirm": func(*rapid.T) { g.forEach(g.readIndex) },
		"restart": func(t *rapid.T) { g.forEach(g.crash, g.start) },
		"crash":   func(t *rapid.T) { g.crash(node(t)) },
		"fail":    func(t *rapid.T) { node(t).disk.failAfter = rapid.IntRange(0, 12).Draw(t, "operations") },
		// One disk at a time is full.
		"fill disk": func(t *rapid.T) {
			g.forEach(func(n *simNode) { n.disk.full = false })
			node(t).disk.full = true
		},
		"pause": func(t *rapid.T) { n := node(t); n.paused = !n.paused },
		"cut":   func(t *rapid.T) { g.isolated[node(t).identity] = true },
		"freeze": func(t *rapid.T) {
			n := node(t)
			n.paused = true
			g.run(60, true)
			g.forEach(g.propose)
			g.run(10, true)
			n.paused = false
			g.readIndex(n)
		},
		"transfer": func(t *rapid.T) { g.input(node(t), func(c *core) { _ = c.transferLeadership() }) },
		"wipe": func(t *rapid.T) {
			// Long enough to complete the replacement after the previous wipe.
			g.clearFaults()
			g.run(120, true)
			if g.canLoseOne() {
				g.wipe(node(t))
			}
		},
		"lose power": func(t *rapid.T) {
			g.clearFaults()
			g.run(120, true)
			g.forEach(g.propose)
			g.run(rapid.IntRange(0, 8).Draw(t, "rounds before"), false)
			first := node(t)
			var emptied []*simNode
			for i := range g.tolerableLosses() {
				emptied = append(emptied, g.nodes[(slices.Index(g.nodes, first)+i)%len(g.nodes)])
			}
			g.losePower(emptied...)
		},
		"": func(t *rapid.T) {
			if g.failure != nil {
				t.Fatal(g.failure)
			}
		},
	}
}

// Guards against two leaders in a term, diverging logs or state machines, lost
// acknowledged entries, stale reads, a group that does not elect a leader after all
// faults have ended, and CanLoseOne being true too early.
func TestGroupProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([][2]int{{1, 1}, {1, 3}, {2, 3}, {3, 3}, {3, 3}, {3, 4}, {5, 5}}).Draw(t, "voters and replicas")
		names := []ReplicaID{"a", "b", "c", "d", "e"}[:size[1]]
		g := newSimGroup(rapid.Uint64().Draw(t, "seed"), false, size[0], names...)
		t.Repeat(g.actions())
		g.checkRecovery()
		if g.failure != nil {
			t.Fatal(g.failure)
		}
	})
}

// Guards against a simulation that cannot detect faults: if fsync does nothing, crashes
// must violate at least one invariant.
func TestGroupPropertiesNoticeLostWrites(t *testing.T) {
	for seed := range uint64(50) {
		g := newSimGroup(seed, true, 3, "a", "b", "c")
		for range 20 {
			g.run(60, true)
			g.forEach(g.propose)
			g.run(20, true)
			g.forEach(g.crash, g.start)
		}
		if g.failure != nil {
			return
		}
	}
	qt.Assert(t, false, qt.IsTrue, qt.Commentf("no invariant was violated"))
}
