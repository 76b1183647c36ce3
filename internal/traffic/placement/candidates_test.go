package placement

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against a question about candidates after which a target that has just joined counts as
// known and gets requests from all hosts while it is cold.
func TestCandidatesLeavesNewTargetsNew(t *testing.T) {
	b := New(clock.NewManual(1000).Clock(), "d", func() float64 { return 0.5 })
	known, joined := newInstance("a", "d"), newInstance("b", "d")
	b.RecordSent("a")
	b.RecordResponse("a", newLoad(0, 60), false)
	instances := []message.Instance{known, joined}
	b.Candidates(instances)
	b.ExpectCold(instances, 3000)
	limited := map[message.InstanceID]bool{}
	for _, c := range b.Candidates(instances) {
		limited[c.Instance.Incarnation.ID] = c.Limited
	}
	qt.Assert(t, limited, qt.DeepEquals, map[message.InstanceID]bool{"a": false, "b": true})
}
