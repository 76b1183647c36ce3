package ingress

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/exchange"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against requests that are sent to an evacuated failure domain although another target
// could run them, and against keys that have no owner while they move away.
func TestEvacuatedTargetIsNotChosen(t *testing.T) {
	m := clock.NewManual(1000)
	in := newKeyedIngress(t, m.Clock(), exchange.NewPool(exchange.Options{}), "127.0.0.1:1")
	in.options.Domain = "b"
	apply := func(version message.Version, elements map[string]any) {
		reply := message.WatchReply{Version: version, Removed: []string{}}
		for name, element := range elements {
			text, err := json.Marshal(element)
			qt.Assert(t, err, qt.IsNil)
			reply.Items = append(reply.Items, message.Item{Name: name, Text: string(text)})
		}
		qt.Assert(t, in.options.Views.Apply(reply), qt.IsNil)
	}
	apply(2, map[string]any{
		message.ItemInstance + "i-1":      message.Instance{Incarnation: message.Incarnation{ID: "i-1"}, Service: "catalogue", Domain: "b", Slots: 8},
		message.ItemInstance + "i-2":      message.Instance{Incarnation: message.Incarnation{ID: "i-2"}, Service: "catalogue", Domain: "a", Slots: 1},
		message.ItemEvacuation + "b":      true,
		message.ItemEvacuation + "nobody": true,
	})
	choose := func(req *request) (message.InstanceID, hop.Reason) {
		target, reason := in.chooseTarget(in.options.Views.Current(), req, map[message.InstanceID]bool{})
		return target.Incarnation.ID, reason
	}
	id, _ := choose(&request{service: "catalogue", key: hop.NoKey})
	qt.Check(t, id, qt.Equals, message.InstanceID("i-2"))
	id, _ = choose(&request{service: "catalogue", keyed: true, key: 77})
	qt.Check(t, id, qt.Equals, message.InstanceID("i-1"))
	apply(3, map[string]any{message.ItemEvacuation + "a": true})
	_, reason := choose(&request{service: "catalogue", key: hop.NoKey})
	qt.Check(t, reason, qt.Equals, hop.NoTarget)
}
