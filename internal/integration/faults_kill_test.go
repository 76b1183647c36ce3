package integration

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/integration/cluster"
	"github.com/gentiansail/gentiansail/internal/wire"
)

// mixed are the services of faultConfig.
func mixed() map[wire.ServiceName]cluster.Service {
	return map[wire.ServiceName]cluster.Service{
		"catalogue": {Targets: 3, ChecksGrants: true}, "archive": {Targets: 2}, "pledges": {Targets: 2},
	}
}

// Guards against keys that stay without an owner, a second run, a second owner
// and a wrong answer to a caller when processes are killed under load.
func TestFaultsKill(t *testing.T) {
	f := startFaults(t, mixed())
	losses := []struct {
		name                 string
		node, target, leader bool
	}{
		{name: "owning node", node: true},
		{name: "target", target: true},
		{name: "owning node and its target", node: true, target: true},
		{name: "control leader", leader: true},
		{name: "control leader and owning node", leader: true, node: true},
		{name: "control leader and target", leader: true, target: true},
	}
	for _, l := range losses {
		owner, through := f.owner("catalogue")
		var lose []*cluster.Process
		if l.leader {
			lose = append(lose, f.leader().Process)
		}
		if l.node {
			lose = append(lose, owner.Node)
		}
		if l.target {
			lose = append(lose, owner.Target)
		}
		// Some requests are at targets, some responses are half sent.
		held := append(f.hold("&work=400", "catalogue", "pledges"), f.hold("&delay=300", "catalogue", "pledges")...)
		lost := time.Now()
		for _, p := range lose {
			p.Kill()
		}
		f.servedAgain(l.name, "catalogue", lost, through)
		for _, p := range lose {
			qt.Assert(t, p.Start(f.ctx), qt.IsNil)
		}
		f.ready()
		f.settled(held)
	}
	f.finish(nil)
}
