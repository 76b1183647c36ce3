package core

import (
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/pkg/replog"
)

// Guards against a lease for a target whose removal is still being committed, because its
// registration changed meanwhile: its keys would have two owners.
func TestRegistrationDoesNotEndExpiryInProgress(t *testing.T) {
	for name, earlierUnknown := range map[string]bool{"first removal": false, "second removal": true} {
		t.Run(name, func(t *testing.T) {
			l, m := newTestLeadershipFor(t, message.ServiceSpec{Name: "finder", Keyed: true, Source: "{}"}, first, second)
			index := replog.Index(100)
			apply := func(_ context.Context, data []byte) (any, error) {
				index++
				return l.machine.Apply(replog.Entry{Index: index, Data: data}), nil
			}
			fail := func(context.Context, []byte) (any, error) { return nil, errors.New("not known") }
			instance, _ := l.machine.Instance(first.ID)
			m.Advance(deregisterAfter)
			if earlierUnknown {
				l.commit = fail
				qt.Assert(t, l.expireIfLost(t.Context(), instance), qt.IsNotNil)
			}
			changed := instance
			changed.Slots++
			l.commit = func(ctx context.Context, _ []byte) (any, error) {
				// The registration is proposed and applied before the removal.
				l.commit = apply
				if err := l.register(ctx, changed, nil); err != nil {
					return nil, err
				}
				_, err := l.grant(message.Heartbeat{Instance: changed, Sequence: 2}, m.Clock().Now())
				qt.Check(t, err, qt.IsNotNil, qt.Commentf("a lease is granted while the removal is being committed"))
				return nil, errors.New("not known")
			}
			qt.Assert(t, l.expireIfLost(t.Context(), instance), qt.IsNotNil)
			_, err := l.grant(message.Heartbeat{Instance: changed, Sequence: 3}, m.Clock().Now())
			qt.Check(t, err, qt.IsNotNil, qt.Commentf("a lease is granted although the removal may be applied later"))

			l.commit = apply
			changed.Slots++
			qt.Assert(t, l.register(t.Context(), changed, nil), qt.IsNil)
			_, err = l.grant(message.Heartbeat{Instance: changed, Sequence: 4}, m.Clock().Now())
			qt.Check(t, err, qt.IsNil, qt.Commentf("the removal was proposed before the registration"))
		})
	}
}
