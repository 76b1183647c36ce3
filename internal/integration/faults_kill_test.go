package integration

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/integration/cluster"
	"github.com/gentiansail/gentiansail/internal/wire"
)

// mixedServices returns the services of faultConfig with their targets.
func mixedServices() map[wire.ServiceName]cluster.Service {
	return map[wire.ServiceName]cluster.Service{
		"catalogue": {Targets: 3, ChecksGrants: true}, "archive": {Targets: 2}, "pledges": {Targets: 2},
	}
}

// Guards against keys without an owner, duplicate runs, two owners of one key and
// wrong responses when processes are killed under load.
func TestFaultsKill(t *testing.T) {
	f := startFaults(t, mixedServices())
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
		var killed []*cluster.Process
		if l.leader {
			killed = append(killed, f.leader().Process)
		}
		if l.node {
			killed = append(killed, owner.Node)
		}
		if l.target {
			killed = append(killed, owner.Target)
		}
		// The first requests run at their targets when the processes are killed, the
		// others have sent a part of their responses.
		inFlight := append(f.startInFlight("&work=400", "catalogue", "pledges"), f.startInFlight("&delay=300", "catalogue", "pledges")...)
		lostAt := time.Now()
		for _, p := range killed {
			p.Kill()
		}
		f.checkKeysServed(l.name, "catalogue", lostAt, through)
		for _, p := range killed {
			qt.Assert(t, p.Start(f.ctx), qt.IsNil)
		}
		f.awaitReady()
		f.awaitResponses(inFlight)
	}
	f.finish(nil)
}
