package registry

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
)

func (l *log) evacuate(domain message.FailureDomain, active bool) Status {
	return l.apply(message.Command{Evacuation: &message.Evacuation{Domain: domain, Active: active}}).Status
}

// Guards against orders that are rejected when they are resent, and against evacuations that
// a snapshot or a later configuration forgets.
func TestEvacuation(t *testing.T) {
	l := &log{t: t, machine: New()}
	for name, active := range map[string]bool{"begin": true, "end": false} {
		for range 2 {
			qt.Assert(t, l.evacuate("b", active), qt.Equals, Done, qt.Commentf("%s, sent twice", name))
			qt.Assert(t, l.machine.Evacuated("b"), qt.Equals, active)
		}
	}
	qt.Assert(t, l.evacuate("b", true), qt.Equals, Done)
	known := l.machine.Index()
	qt.Assert(t, l.evacuate("b", true), qt.Equals, Done)
	qt.Assert(t, l.machine.ChangesSince(known).Items, qt.HasLen, 0, qt.Commentf("an order that changes nothing is not published again"))
	qt.Assert(t, l.apply(message.Command{Change: ptr(change(1, 0, "first", "r"))}).Status, qt.Equals, Done)
	l.restart()
	qt.Assert(t, l.machine.EvacuatedDomains(), qt.DeepEquals, []message.FailureDomain{"b"})
	published := map[string]bool{}
	for _, i := range l.machine.ChangesSince(0).Items {
		published[i.Name] = true
	}
	qt.Assert(t, published[message.ItemEvacuation+"b"], qt.IsTrue)
	known = l.machine.Index()
	qt.Assert(t, l.evacuate("b", false), qt.Equals, Done)
	qt.Assert(t, l.machine.ChangesSince(known).Removed, qt.DeepEquals, []string{message.ItemEvacuation + "b"})
}

// Guards against a snapshot of an earlier release, which has no evacuations, after which the
// first order panics.
func TestEvacuationAfterOlderSnapshot(t *testing.T) {
	l := &log{t: t, machine: New()}
	qt.Assert(t, l.machine.Restore([]byte(`{"Index":4}`)), qt.IsNil)
	qt.Assert(t, l.evacuate("b", true), qt.Equals, Done)
}

// Guards against orders with which the state grows without limit.
func TestEvacuationLimits(t *testing.T) {
	for name, domain := range map[string]message.FailureDomain{
		"empty": "", "too long": message.FailureDomain(strings.Repeat("z", maxDomainBytes+1)), "slash": "a/b", "space": "a b", "control character": "a\n", "not ASCII": "zürich",
	} {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, (&log{t: t, machine: New()}).evacuate(domain, true), qt.Equals, Invalid)
		})
	}
	l := &log{t: t, machine: New()}
	for i := range maxEvacuations {
		qt.Assert(t, l.evacuate(message.FailureDomain(fmt.Sprint("d", i)), true), qt.Equals, Done)
	}
	qt.Check(t, l.evacuate("one-more", true), qt.Equals, Invalid)
	qt.Check(t, l.evacuate("d7", true), qt.Equals, Done)
}
