package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/operator"
	"github.com/gentiansail/gentiansail/internal/state"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/partition"
)

// auditRecords is the number of audit records that the control group keeps.
const auditRecords = 10_000

// Churn counts the keys of the run that changed owner.
type Churn struct {
	// Partitions and Keys count moves; a key that moves twice counts twice. Keys
	// includes only the keys that the tool requests.
	Partitions, Keys int
	// Required is the minimum number of keys that had to move: the keys whose
	// owner was lost or drained, and an even share for each target that joined.
	Required float64
	// Ratio is Keys divided by Required, or 0 if Required is 0.
	Ratio float64
}

// ratio formats Ratio for the text report.
func (c Churn) ratio() string {
	if c.Required == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", c.Ratio)
}

// controlGroup reads the configuration and audit trail of the control group.
type controlGroup struct {
	session operator.Session
	out     bytes.Buffer
}

func newControlGroup(o Options) *controlGroup {
	g := &controlGroup{}
	g.session = operator.Session{Group: o.Group, Operator: "bench", Control: o.Control, Output: operator.JSON, Out: &g.out}
	return g
}

// read runs an operator command and decodes its JSON output into v.
func (g *controlGroup) read(v any, command func(*operator.Session) error) error {
	g.out.Reset()
	if err := command(&g.session); err != nil {
		return merry.Wrap(ErrControl, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	if err := json.Unmarshal(g.out.Bytes(), v); err != nil {
		return merry.Wrap(ErrControl, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	return nil
}

// audit returns the newest audit records.
func (g *controlGroup) audit(ctx context.Context) ([]wire.AuditRecord, error) {
	var r wire.AuditResponse
	err := g.read(&r, func(s *operator.Session) error { return s.Audit(ctx, 0, auditRecords) })
	return r.Records, err
}

// partitions returns the number of partitions of each keyed service.
func (g *controlGroup) partitions(ctx context.Context) (map[string]int, error) {
	var r wire.ConfigResponse
	if err := g.read(&r, func(s *operator.Session) error { return s.Config(ctx) }); err != nil {
		return nil, err
	}
	counts := make(map[string]int)
	for _, s := range r.Configuration.Services {
		if s.Keyed {
			counts[string(s.Name)] = s.Partitions
		}
	}
	return counts, nil
}

// lastIndex returns the log index of the newest audit record, or 0 without a
// control group. Read before the run, it separates earlier records from the run's.
func lastIndex(ctx context.Context, o Options) (wire.Version, error) {
	if len(o.Control) == 0 {
		return 0, nil
	}
	records, err := newControlGroup(o).audit(ctx)
	if err != nil || len(records) == 0 {
		return 0, err
	}
	return records[len(records)-1].Index, nil
}

// churn returns the moves recorded after the given index, for each keyed service
// of the run.
func churn(ctx context.Context, o Options, after wire.Version) (map[string]Churn, error) {
	if len(o.Control) == 0 {
		return nil, nil
	}
	g := newControlGroup(o)
	counts, err := g.partitions(ctx)
	if err != nil {
		return nil, err
	}
	records, err := g.audit(ctx)
	if err != nil {
		return nil, err
	}
	all := make(map[string]Churn)
	for _, s := range services(o) {
		if counts[s] > 0 {
			all[s] = newTrail(s, counts[s], o.Keys).follow(records, after)
		}
	}
	return all, nil
}

// trail follows the owners of one service's partitions through audit records.
// If the control group has already dropped the records of the first assignments,
// members and owners from before the oldest record are unknown, and the figures
// are lower bounds.
type trail struct {
	service string
	total   int
	keys    map[string]int  // number of keys by partition
	hashes  map[uint64]bool // hashes of the keys that the tool requests
	// assigned contains the partitions that have had an owner.
	assigned map[string]bool
	// nodes maps the incarnation of each registered member to its node.
	nodes map[string]string
	// draining contains the draining nodes and incarnations.
	draining map[string]bool
	churn    Churn
}

func newTrail(service string, partitions, keys int) *trail {
	t := &trail{
		service: service, total: keys, keys: make(map[string]int), hashes: make(map[uint64]bool), assigned: make(map[string]bool),
		nodes: make(map[string]string), draining: make(map[string]bool),
	}
	for k := range keys {
		hash := partition.Hash(keyName(k))
		t.hashes[hash] = true
		n := partition.OfHash(hash, partitions)
		t.keys[string(state.PartitionID(wire.ServiceName(service), n))]++
	}
	return t
}

// follow applies the records and returns the churn of those after the index.
func (t *trail) follow(records []wire.AuditRecord, after wire.Version) Churn {
	for _, r := range records {
		t.apply(r, r.Index > after)
	}
	c := t.churn
	if c.Required > 0 {
		c.Ratio = float64(c.Keys) / c.Required
	}
	return c
}

// apply updates the trail from a record. counted is false for records from before
// the run, which do not add to the churn.
func (t *trail) apply(r wire.AuditRecord, counted bool) {
	what, rest, _ := strings.Cut(r.What, ": ")
	id, _, _ := strings.Cut(rest, ": ")
	switch {
	case !strings.HasPrefix(id, t.service+"/"):
		t.applyMember(r, what, counted)
	case what == "override set":
		t.moveHotKey(r.From, r.To, 1)
	case what == "override cleared":
		t.moveHotKey(r.To, r.From, -1)
	case what == "released" && r.To != "":
		t.move(id, counted, t.draining[r.From] || t.draining[t.nodes[r.From]])
	case what == "assigned":
		t.move(id, counted && t.assigned[id], true)
	}
}

// applyMember updates the trail from a record about a member or node.
func (t *trail) applyMember(r wire.AuditRecord, what string, counted bool) {
	switch {
	case what == "member registered for "+t.service:
		t.nodes[r.To] = r.Who
		if counted {
			t.churn.Required += float64(t.total) / float64(len(t.nodes))
		}
	case what == "member ended":
		delete(t.nodes, r.From)
	case strings.HasPrefix(what, "member ") && strings.HasSuffix(what, " draining"):
		t.draining[strings.Fields(what)[1]] = true
	case strings.HasPrefix(what, "drain "):
		t.draining[strings.TrimPrefix(what, "drain ")] = r.To == "true"
	}
}

// moveHotKey moves keys (1, or -1 for back) from the numbered partition base of a
// hot key to its dedicated partition, if the tool requests the key.
func (t *trail) moveHotKey(base, dedicated string, keys int) {
	hash, ok := partition.ParseHash(strings.TrimPrefix(dedicated, t.service+"/k"))
	if !ok || !t.hashes[hash] {
		return
	}
	t.keys[base] -= keys
	t.keys[dedicated] += keys
	t.assigned[dedicated] = t.assigned[base]
}

// move records a new owner of the partition and, if counted, adds its keys to the
// churn.
func (t *trail) move(id string, counted, required bool) {
	t.assigned[id] = true
	if !counted {
		return
	}
	t.churn.Partitions++
	t.churn.Keys += t.keys[id]
	if required {
		t.churn.Required += float64(t.keys[id])
	}
}
