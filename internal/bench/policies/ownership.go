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
	// ownerLossKnown is the assumed time until the partitions of a lost server
	// have a new owner: a lease of 900 ms and 300 ms to commit and deliver.
	ownerLossKnown millis = 1200
	// movePause is the assumed time for which requests are refused during a
	// planned move.
	movePause millis = 20
	// rateWeight is the weight of the last second in a partition's rate.
	rateWeight = 0.3
	// hotPart is the part of the mean server's load from which a key gets a
	// partition of its own.
	hotPart = 0.1
	// sketchSize and sketchHalfLife are the settings of the hot-key sketch.
	sketchSize                  = 256
	sketchHalfLife clock.Millis = 2000
)

// assign returns the new owner of each partition.
type assign func(current map[partition.ID]string, servers []partition.Target, load partition.Load) map[partition.ID]string

// ownership is the owner of each partition.
type ownership struct {
	events    *events
	assign    assign
	overrides bool
	periodic  bool
	// speeds, if set, returns the part of its capacity that each server can use.
	speeds  func() map[string]float64
	servers []partition.Target
	owner   map[partition.ID]string
	readyAt map[partition.ID]millis
	seen    partition.Load
	rate    partition.Load
	sketch  *hotkey.Sketch
	ids     []partition.ID // by key, fixed
	hot     map[uint64]partition.ID
	// moved counts changes of owner, needed those of partitions whose server
	// was lost or drained, or that even a joining server must receive.
	moved, needed float64
}

func newOwnership(e *events, p policy) *ownership {
	o := &ownership{
		events: e, assign: p.assign, overrides: p.overrides, periodic: p.periodic,
		owner: make(map[partition.ID]string), readyAt: make(map[partition.ID]millis),
		seen: make(partition.Load), rate: make(partition.Load), hot: make(map[uint64]partition.ID),
		sketch: hotkey.New(sketchSize, sketchHalfLife, e.clock()),
	}
	for n := range partitions {
		o.owner[partition.ID("catalogue/"+strconv.Itoa(n))] = ""
	}
	for k := range keyCount {
		o.ids = append(o.ids, partition.ID("catalogue/"+strconv.Itoa(int(partition.OfHash(keyHash(k), partitions)))))
	}
	return o
}

func keyHash(key int) uint64 { return partition.Hash("key-" + strconv.Itoa(key)) }

func (o *ownership) partitionOf(key int) partition.ID {
	if id, ok := o.hot[keyHash(key)]; ok {
		return id
	}
	return o.ids[key]
}

func (o *ownership) observe(key int) {
	o.seen[o.partitionOf(key)]++
	o.sketch.Observe(keyHash(key))
}

// chooser routes each key to its owner. All ingress nodes share the table.
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

// setMembers assigns partitions anew for a changed set of servers.
func (o *ownership) setMembers(members []balance.Target) {
	old := o.servers
	o.servers = nil
	var capacity float64
	for _, m := range members {
		o.servers = append(o.servers, partition.Target{ID: m.ID, Domain: m.ID, Capacity: m.Capacity, Accepting: true})
		capacity += m.Capacity
	}
	for _, s := range o.servers {
		if len(old) > 0 && !contains(old, s.ID) {
			o.needed += partitions * s.Capacity / capacity
		}
	}
	for _, id := range o.sorted() {
		if owner := o.owner[id]; owner != "" && !contains(o.servers, owner) {
			o.needed++
		}
	}
	o.change()
}

// plan runs once a second: it learns rates, isolates hot keys and, for policies
// that do so, evens out load.
func (o *ownership) plan() {
	for id := range o.owner {
		o.rate[id] = (1-rateWeight)*o.rate[id] + rateWeight*o.seen[id]
	}
	o.seen = make(partition.Load)
	if o.overrides {
		o.isolate()
	}
	if o.periodic {
		o.change()
	}
}

// isolate gives each hot key a partition of its own, which stays where the key
// is until the plan moves it.
func (o *ownership) isolate() {
	var total float64
	for _, r := range o.rate {
		total += r
	}
	for _, i := range o.sketch.Top(8) {
		_, known := o.hot[i.Key]
		hot := i.Rate-i.MaxError > hotPart*total/float64(len(o.servers))
		if known || !hot {
			continue
		}
		id := partition.ID("catalogue/k" + partition.FormatHash(i.Key))
		from := partition.ID("catalogue/" + strconv.Itoa(int(partition.OfHash(i.Key, partitions))))
		o.hot[i.Key] = id
		o.owner[id] = o.owner[from]
		o.readyAt[id] = o.readyAt[from]
		o.rate[id] = i.Rate
		o.rate[from] = max(o.rate[from]-i.Rate, 0)
	}
}

func (o *ownership) change() {
	if len(o.servers) == 0 {
		return
	}
	next := o.assign(o.owner, o.usable(), o.rate)
	for _, id := range o.sorted() {
		owner := o.owner[id]
		if next[id] == owner {
			continue
		}
		if owner != "" {
			o.moved++
		}
		if contains(o.servers, owner) {
			o.readyAt[id] = o.events.now + movePause
		}
		o.owner[id] = next[id]
	}
}

// usable returns the servers with the capacity that they can use now.
func (o *ownership) usable() []partition.Target {
	if o.speeds == nil {
		return o.servers
	}
	all := slices.Clone(o.servers)
	speeds := o.speeds()
	for i := range all {
		all[i].Capacity *= speeds[all[i].ID]
	}
	return all
}

func (o *ownership) sorted() []partition.ID {
	ids := make([]partition.ID, 0, len(o.owner))
	for id := range o.owner {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// churn is the number of moves for each one that was needed, or the number of
// moves when none was needed.
func (o *ownership) churn() float64 { return o.moved / max(o.needed, 1) }

func contains(servers []partition.Target, id string) bool {
	return slices.ContainsFunc(servers, func(s partition.Target) bool { return s.ID == id })
}

// planned is gentiansail's own assignment.
func planned(current map[partition.ID]string, servers []partition.Target, load partition.Load) map[partition.ID]string {
	next := make(map[partition.ID]string, len(current))
	for id, s := range current {
		next[id] = s
	}
	for _, m := range partition.Plan(current, servers, load, partition.Limits{MaxBalanceMoves: 4, MaxDrainMoves: partitions}) {
		next[m.Partition] = m.To
	}
	return next
}

// rendezvous is plain highest-random-weight hashing.
func rendezvous(current map[partition.ID]string, servers []partition.Target, _ partition.Load) map[partition.ID]string {
	next := make(map[partition.ID]string, len(current))
	for id := range current {
		best := slices.MaxFunc(servers, func(a, b partition.Target) int {
			return cmp.Compare(xxhash.Sum64String(string(id)+"/"+a.ID), xxhash.Sum64String(string(id)+"/"+b.ID))
		})
		next[id] = best.ID
	}
	return next
}

// modulo is the partition's hash modulo the number of servers.
func modulo(current map[partition.ID]string, servers []partition.Target, _ partition.Load) map[partition.ID]string {
	next := make(map[partition.ID]string, len(current))
	for id := range current {
		next[id] = servers[xxhash.Sum64String(string(id))%uint64(len(servers))].ID
	}
	return next
}
