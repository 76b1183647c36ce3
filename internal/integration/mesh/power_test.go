package mesh

import (
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/coordination/registry"
)

// Guards against an acknowledged configuration that is lost, a second group, and keys that
// stay unserved when two of five core replicas lose their disks, both of them seeds, and all
// other hosts lose power at the same moment, those beside targets included.
func TestPowerLostTogetherWithTwoDisks(t *testing.T) {
	const recovery = 15 * time.Second
	s := startMesh(t, 5)
	hosts := []*host{s.addHost(1, "catalogue"), s.addHost(2, "catalogue")}
	s.eventually("all keys have an owner", func() bool { return hosts[0].target.grantedKeys()+hosts[1].target.grantedKeys() == 65536 })
	s.eventually("two replicas can be lost", func() bool { return s.tolerableLosses() == 2 })
	change := message.ConfigurationChange{Version: 4, BaseVersion: 1, Digest: "second", Routes: []message.Route{
		{Name: "newest", HostName: "mesh.example", Prefix: "/newest/", Repeatable: true, MaxAttempts: 2, Splits: []message.Split{{Service: "catalogue", Weight: 1}}, Source: "{}"},
	}}
	qt.Assert(t, s.applyChange(change).Status, qt.Equals, registry.Done)
	// The disks as they are at the moment of the loss. The processes end afterwards.
	var disks []string
	for _, folder := range s.folders {
		disk := t.TempDir()
		qt.Assert(t, os.CopyFS(disk, os.DirFS(folder)), qt.IsNil)
		disks = append(disks, disk)
	}
	for _, h := range hosts {
		h.target.crash()
		h.stopSidecar()
		qt.Assert(t, <-h.sidecarErr, qt.IsNil)
	}
	for _, stop := range s.stopCore {
		stop()
	}
	begin := time.Now()
	for i := range s.cores {
		if i < 2 {
			disks[i] = t.TempDir()
		}
		s.startCore(i, disks[i], false)
	}
	for i := range hosts {
		hosts[i] = s.startHost(i+1, "catalogue", 2)
	}
	s.eventually("the configuration can be read", func() bool {
		for _, c := range s.cores {
			configuration, err := c.ReadConfiguration(t.Context())
			if err == nil {
				qt.Assert(t, configuration.Revision.Version, qt.Equals, 4)
				return true
			}
		}
		return false
	})
	s.eventually("all keys are served by the newest route", func() bool {
		for n, key := range []int{0, 20_000, 40_000, 65_535} {
			if hosts[n%2].send(http.MethodGet, "/newest/x", fmt.Sprint("r", time.Now().UnixNano()), key, "").status != http.StatusOK {
				return false
			}
		}
		return true
	})
	qt.Assert(t, time.Since(begin) < recovery, qt.IsTrue, qt.Commentf("%v", time.Since(begin)))
	s.eventually("the emptied replicas are voters again", func() bool { return s.tolerableLosses() == 2 })
	qt.Assert(t, s.applyChange(change).Status, qt.Equals, registry.Done, qt.Commentf("the acknowledged change is acknowledged again"))
}
