package node

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against a node that calls an address that is not in its settings, which it may be
// unable to reach, and against one that keeps calling a replica that is not the leader.
func TestNextReplica(t *testing.T) {
	tests := map[string]struct {
		err  error
		want wire.Address
	}{
		"leader in the settings": {&rpc.Error{Code: rpc.CodeNotLeader, Leader: "c"}, "c"},
		"leader not in settings": {&rpc.Error{Code: rpc.CodeNotLeader, Leader: "x"}, "b"},
		"no leader known":        {&rpc.Error{Code: rpc.CodeNotLeader}, "b"},
		"names itself as leader": {&rpc.Error{Code: rpc.CodeNotLeader, Leader: "a"}, "b"},
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
