package bench

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/state"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/partition"
)

// Guards against counting moves of another service or from before the run, against
// counting first assignments as moves, and against counting unnecessary moves as
// required.
func TestChurnFollowsTheAuditTrail(t *testing.T) {
	hot := "catalogue/k" + partition.FormatHash(partition.Hash(keyName(0)))
	home := string(state.PartitionID("catalogue", partition.OfKey(keyName(0), 2)))
	other := map[string]string{"catalogue/0": "catalogue/1", "catalogue/1": "catalogue/0"}[home]
	earlier := []wire.AuditRecord{
		{Who: "n1", What: "member registered for catalogue", To: "i1"},
		{Who: "n2", What: "member registered for catalogue", To: "i2"},
		{What: "assigned: " + home + ": unowned", To: "i1"},
		{What: "released: " + home, From: "i1", To: "i2"},
	}
	keys := 100
	keyCounts := newTrail("catalogue", 2, keys).keys
	cases := map[string]struct {
		records []wire.AuditRecord
		want    Churn
	}{
		"nothing":       {nil, Churn{}},
		"first owner":   {[]wire.AuditRecord{{What: "assigned: " + other + ": unowned", To: "i1"}}, Churn{}},
		"other service": {[]wire.AuditRecord{{What: "released: finder/1", From: "i1", To: "i2"}}, Churn{}},
		"balance":       {[]wire.AuditRecord{{What: "released: " + home, From: "i2", To: "i1"}}, Churn{Partitions: 1, Keys: keyCounts[home]}},
		"loss": {
			[]wire.AuditRecord{{What: "member ended: lost", From: "i2"}, {What: "assigned: " + home + ": unowned", To: "i1"}},
			Churn{Partitions: 1, Keys: keyCounts[home], Required: float64(keyCounts[home]), Ratio: 1},
		},
		"drain": {
			[]wire.AuditRecord{{Who: "op", What: "drain n2", From: "false", To: "true"}, {What: "released: " + home, From: "i2", To: "i1"}},
			Churn{Partitions: 1, Keys: keyCounts[home], Required: float64(keyCounts[home]), Ratio: 1},
		},
		"withdrawal": {
			[]wire.AuditRecord{{Who: "n2", What: "member i2 draining", From: "false", To: "true"}, {What: "released: " + home, From: "i2", To: "i1"}},
			Churn{Partitions: 1, Keys: keyCounts[home], Required: float64(keyCounts[home]), Ratio: 1},
		},
		"join": {
			[]wire.AuditRecord{{Who: "n3", What: "member registered for catalogue", To: "i3"}, {What: "released: " + home, From: "i2", To: "i3"}},
			Churn{Partitions: 1, Keys: keyCounts[home], Required: float64(keys) / 3, Ratio: float64(keyCounts[home]) * 3 / float64(keys)},
		},
		"hot key": {
			[]wire.AuditRecord{{What: "override set: " + hot, From: home, To: hot}, {What: "released: " + hot, From: "i2", To: "i1"}, {What: "released: " + home, From: "i2", To: "i1"}},
			Churn{Partitions: 2, Keys: keyCounts[home]},
		},
	}
	for name, c := range cases {
		records := earlier
		for _, r := range c.records {
			r.Index = 9
			records = append(records, r)
		}
		got := newTrail("catalogue", 2, keys).follow(records, 5)
		got.Ratio = float64(int(got.Ratio*1000+0.5)) / 1000
		c.want.Ratio = float64(int(c.want.Ratio*1000+0.5)) / 1000
		qt.Assert(t, got, qt.Equals, c.want, qt.Commentf("%s", name))
	}
}
