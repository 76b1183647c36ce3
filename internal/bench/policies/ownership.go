package policies

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/gentiansail/gentiansail/pkg/balance"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/hotkey"
	"github.com/gentiansail/gentiansail/pkg/partition"
)

const (
	// partitions is the number of partitions of the keyed service.
	partitions = 256
	// reassignmentTime is the assumed time until the partitions of a lost target have a
	// new owner: a lease of 900 ms, and 300 ms to commit and deliver the change.
	reassignmentTime millis = 1200
	// movePause is the assumed time for which requests are rejected during a planned
	// move.
	movePause millis = 20
	// rateWeight is the weight of the last second in a partition's rate.
	rateWeight = 0.3
	// hotFraction is the fraction of the mean load of a target above which a key gets
	// a dedicated partition.
	hotFraction = 0.1
	// sketchSize and sketchHalfLife are the settings of the hot-key sketch.
	sketchSize                  = 256
	sketchHalfLife clock.Millis = 2000
)

// assignFunc returns the new owner of each partition.
type assignFunc func(current map[partition.ID]string, targets []partition.Target, load partition.Load) map[partition.ID]string

// ownership assigns partitions to targets and keeps the owner of each partition.
type ownership struct {
	events    *events
	assign    assignFunc
	overrides bool
	periodic  bool
	// speeds, if set, returns the fraction of its capacity that each target can use.
	speeds         func() map[string]float64
	targets        []partition.Target
	owner          map[partition.ID]string
	readyAt        map[partition.ID]millis
	requestCounts  partition.Load
	rate           partition.Load
	sketch         *hotkey.Sketch
	basePartitions []partition.ID // numbered partition by key, without hot keys
	hotPartitions  map[uint64]partition.ID
	// moved counts changes of owner. required counts the partitions whose target was
	// lost or drained, and the share that each joining target must receive.
	moved, required float64
}

func newOwnership(e *events, p policy) *ownership {
	o := &ownership{
		events: e, assign: p.assign, overrides: p.overrides, periodic: p.periodic,
		owner: make(map[partition.ID]string), readyAt: make(map[partition.ID]millis),
		requestCounts: make(partition.Load), rate: make(partition.Load), hotPartitions: make(map[uint64]partition.ID),
		sketch: hotkey.New(sketchSize, sketchHalfLife, e.clock()),
	}
	for n := range partitions {
		o.owner[partition.ID("catalogue/"+strconv.Itoa(n))] = ""
	}
	for k := range keyCount {
		o.basePartitions = append(o.basePartitions, partition.ID("catalogue/"+strconv.Itoa(int(partition.OfHash(keyHash(k), partitions)))))
	}
	return o
}

func keyHash(key int) uint64 { return partition.Hash("key-" + strconv.Itoa(key)) }

// partitionOf returns the key's dedicated partition or else its numbered partition.
func (o *ownership) partitionOf(key int) partition.ID {
	if id, ok := o.hotPartitions[keyHash(key)]; ok {
		return id
	}
	return o.basePartitions[key]
}

// observe counts a request for the key.
func (o *ownership) observe(key int) {
	o.requestCounts[o.partitionOf(key)]++
	o.sketch.Observe(keyHash(key))
}

// chooser returns a chooser that routes each key to its owner. All ingress nodes share
// the same table.
func (o *ownership) chooser() chooser {
	return chooser{
		update: func([]balance.Target) {},
		begin:  func(string) {},
		end:    func(string, balance.Result) {},
		pick: func(key int, _ func(string) bool) (string, bool) {
			id := o.partitionOf(key)
			owner := o.owner[id]
			return owner, owner != "" && o.events.now >= o.readyAt[id]
		},
	}
}

// setMembers reassigns partitions after a change of members.
func (o *ownership) setMembers(members []balance.Target) {
	old := o.targets
	o.targets = nil
	var capacity float64
	for _, m := range members {
		o.targets = append(o.targets, partition.Target{ID: m.ID, Domain: m.ID, Capacity: m.Capacity, Accepting: true})
		capacity += m.Capacity
	}
	for _, t := range o.targets {
		if len(old) > 0 && !contains(old, t.ID) {
			o.required += partitions * t.Capacity / capacity
		}
	}
	for _, id := range o.sortedPartitions() {
		if owner := o.owner[id]; owner != "" && !contains(o.targets, owner) {
			o.required++
		}
	}
	o.reassign()
}

// plan runs once per second. It updates the rates of partitions and, depending on the
// policy, isolates hot keys and balances load.
func (o *ownership) plan() {
	for id := range o.owner {
		o.rate[id] = (1-rateWeight)*o.rate[id] + rateWeight*o.requestCounts[id]
	}
	o.requestCounts = make(partition.Load)
	if o.overrides {
		o.isolateHotKeys()
	}
	if o.periodic {
		o.reassign()
	}
}

// isolateHotKeys gives each hot key a dedicated partition. The partition keeps the
// key's owner until a plan moves it.
func (o *ownership) isolateHotKeys() {
	var total float64
	for _, r := range o.rate {
		total += r
	}
	for _, i := range o.sketch.Top(8) {
		_, known := o.hotPartitions[i.Key]
		hot := i.Rate-i.MaxError > hotFraction*total/float64(len(o.targets))
		if known || !hot {
			continue
		}
		id := partition.ID("catalogue/k" + partition.FormatHash(i.Key))
		from := partition.ID("catalogue/" + strconv.Itoa(int(partition.OfHash(i.Key, partitions))))
		o.hotPartitions[i.Key] = id
		o.owner[id] = o.owner[from]
		o.readyAt[id] = o.readyAt[from]
		o.rate[id] = i.Rate
		o.rate[from] = max(o.rate[from]-i.Rate, 0)
	}
}

// reassign applies the assignment function and records the moves.
func (o *ownership) reassign() {
	if len(o.targets) == 0 {
		return
	}
	next := o.assign(o.owner, o.targetsBySpeed(), o.rate)
	for _, id := range o.sortedPartitions() {
		owner := o.owner[id]
		if next[id] == owner {
			continue
		}
		if owner != "" {
			o.moved++
		}
		if contains(o.targets, owner) {
			o.readyAt[id] = o.events.now + movePause
		}
		o.owner[id] = next[id]
	}
}

// targetsBySpeed returns the targets with their capacity scaled by their speed.
func (o *ownership) targetsBySpeed() []partition.Target {
	if o.speeds == nil {
		return o.targets
	}
	all := slices.Clone(o.targets)
	speeds := o.speeds()
	for i := range all {
		all[i].Capacity *= speeds[all[i].ID]
	}
	return all
}

// sortedPartitions returns all partitions in order, so that runs are repeatable.
func (o *ownership) sortedPartitions() []partition.ID {
	ids := make([]partition.ID, 0, len(o.owner))
	for id := range o.owner {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// churn returns the number of moves divided by the number of required moves, or the
// number of moves if less than one was required.
func (o *ownership) churn() float64 { return o.moved / max(o.required, 1) }

func contains(targets []partition.Target, id string) bool {
	return slices.ContainsFunc(targets, func(t partition.Target) bool { return t.ID == id })
}

// planAssignment assigns partitions with partition.Plan, as gentiansail does.
func planAssignment(current map[partition.ID]string, targets []partition.Target, load partition.Load) map[partition.ID]string {
	next := make(map[partition.ID]string, len(current))
	for id, owner := range current {
		next[id] = owner
	}
	for _, m := range partition.Plan(current, targets, load, partition.Limits{MaxBalanceMoves: 4, MaxDrainMoves: partitions}) {
		next[m.Partition] = m.To
	}
	return next
}

// rendezvous assigns partitions by highest-random-weight hashing without weights for
// capacity.
func rendezvous(current map[partition.ID]string, targets []partition.Target, _ partition.Load) map[partition.ID]string {
	next := make(map[partition.ID]string, len(current))
	for id := range current {
		best := slices.MaxFunc(targets, func(a, b partition.Target) int {
			return cmp.Compare(xxhash.Sum64String(string(id)+"/"+a.ID), xxhash.Sum64String(string(id)+"/"+b.ID))
		})
		next[id] = best.ID
	}
	return next
}

// modulo assigns partitions by their hash modulo the number of targets.
func modulo(current map[partition.ID]string, targets []partition.Target, _ partition.Load) map[partition.ID]string {
	next := make(map[partition.ID]string, len(current))
	for id := range current {
		next[id] = targets[xxhash.Sum64String(string(id))%uint64(len(targets))].ID
	}
	return next
}
