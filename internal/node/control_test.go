package node

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against a node that leaves the addresses of its settings, through
// which alone it is sure to reach the replicas, and against one that stays with
// a replica that does not lead.
func TestNextReplica(t *testing.T) {
	tests := map[string]struct {
		err  error
		want wire.Address
	}{
		"leader of the settings": {&rpc.Error{Code: rpc.CodeNotLeader, Leader: "c"}, "c"},
		"leader elsewhere":       {&rpc.Error{Code: rpc.CodeNotLeader, Leader: "x"}, "b"},
		"no leader known":        {&rpc.Error{Code: rpc.CodeNotLeader}, "b"},
		"itself as the leader":   {&rpc.Error{Code: rpc.CodeNotLeader, Leader: "a"}, "b"},
		"no response":            {rpc.ErrLost, "b"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newControlClient(clock.System(), []wire.Address{"a", "b", "c"})
			c.updateLeader(c.current(), tt.err)
			qt.Assert(t, c.current().Address(), qt.Equals, string(tt.want))
		})
	}
}
