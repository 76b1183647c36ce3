package sidecar

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/ownership/delivery"
	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/internal/settings"
	"github.com/gentiansail/gentiansail/internal/traffic/gate"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// testCore is a core that accepts heartbeats and, unless told otherwise, rejects reports of
// departures.
type testCore struct {
	heartbeats atomic.Int64
	// draining is true if the last heartbeat said that the target is draining.
	draining atomic.Bool
	// last is the last heartbeat, rejects the incarnation whose heartbeats are rejected for good.
	last    atomic.Pointer[message.Heartbeat]
	rejects message.Incarnation
	// acceptsLeaves is true if reports of departures are accepted.
	acceptsLeaves bool
	// reply, if it is set, responds to heartbeats.
	reply func(message.Heartbeat) message.HeartbeatReply
}

// newTestSidecar returns a sidecar that is not running, beside a target that takes its keys
// by calls, and its core.
func newTestSidecar(t *testing.T, clk clock.Clock) (*Sidecar, *testCore) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	core := &testCore{}
	server := rpc.NewServer()
	rpc.Handle(server, message.MethodHeartbeat, func(_ context.Context, h message.Heartbeat) (message.HeartbeatReply, error) {
		core.heartbeats.Add(1)
		core.draining.Store(h.Instance.Draining)
		core.last.Store(&h)
		if h.Instance.Incarnation == core.rejects {
			return message.HeartbeatReply{}, &rpc.Error{Code: rpc.CodeRejected}
		}
		if core.reply != nil {
			return core.reply(h), nil
		}
		return message.HeartbeatReply{Grants: []message.RangeGrant{}}, nil
	})
	rpc.Handle(server, message.MethodLeave, func(context.Context, message.Leave) (struct{}, error) {
		if core.acceptsLeaves {
			return struct{}{}, nil
		}
		return struct{}{}, &rpc.Error{Code: rpc.CodeRejected}
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		qt.Check(t, <-ended, qt.IsNil)
	})
	port := l.Addr().(*net.TCPAddr).Port
	s := New(Options{Clock: clk, Log: zerolog.Nop(), Metrics: prometheus.NewRegistry(), Settings: settings.Host{
		Name: "host-1", IP: "127.0.0.1", PeerPort: port, Seeds: []string{"127.0.0.1:1"}, Listen: settings.HostListeners{Control: "127.0.0.1:1"},
		Target: settings.HostTarget{Address: "127.0.0.1:9", Service: "finder"},
	}})
	t.Cleanup(s.core.close)
	return s, core
}

// publish gives the sidecar a state in which another incarnation of its target is listed.
func publish(t *testing.T, s *Sidecar, listed message.Incarnation) {
	publishInstance(t, s, message.Instance{Incarnation: listed, Service: "finder", Peer: s.peerAddress()})
}

// publishInstance gives the sidecar a state in which an instance is listed.
func publishInstance(t *testing.T, s *Sidecar, listed message.Instance) {
	items := []message.Item{}
	for name, element := range map[string]any{
		message.ItemService + "finder":                       message.ServiceSpec{Name: "finder", Keyed: true, GrantsByCall: true},
		message.ItemInstance + string(listed.Incarnation.ID): listed,
	} {
		text, err := json.Marshal(element)
		qt.Assert(t, err, qt.IsNil)
		items = append(items, message.Item{Name: name, Text: string(text)})
	}
	qt.Assert(t, s.views.Apply(message.WatchReply{Version: 1, Full: true, Items: items}), qt.IsNil)
}

// Guards against two owners of a key after a restart of a sidecar and of its target: its
// predecessor may have granted keys of the previous incarnation to the new one. In a recorded
// day the core learned of the new one before the sidecar knew how its keys are granted.
func TestNewIncarnationIsAnnouncedAfterThePredecessorsGrants(t *testing.T) {
	m := clock.NewManual(1000)
	s, core := newTestSidecar(t, m.Clock())
	beat := Heartbeat{Incarnation: message.Incarnation{ID: "i-2", StartTime: 2}, Service: "finder", Address: "127.0.0.1:9", Slots: 4, Sequence: 1}
	send := func(ctx context.Context) error {
		beat.Sequence++
		_, err := s.HandleHeartbeat(ctx, beat)
		return err
	}
	noView, cancel := context.WithCancel(t.Context())
	cancel()
	qt.Check(t, send(noView), qt.ErrorIs, ErrCoreUnavailable)
	qt.Check(t, core.heartbeats.Load(), qt.Equals, int64(0))
	publish(t, s, message.Incarnation{ID: "i-1", StartTime: 1})
	m.Advance(delivery.LeaseDuration - 1)
	qt.Check(t, send(t.Context()), qt.ErrorIs, ErrCoreUnavailable)
	qt.Check(t, core.heartbeats.Load(), qt.Equals, int64(0))
	m.Advance(1)
	qt.Check(t, send(t.Context()), qt.IsNil)
	qt.Check(t, core.heartbeats.Load(), qt.Equals, int64(1))
}

// Guards against requests for a target that has left, after a restart of the sidecar beside
// it: when the drain was acknowledged is not known then.
func TestDrainOutlivesRestart(t *testing.T) {
	m := clock.NewManual(1000)
	s, _ := newTestSidecar(t, m.Clock())
	i := message.Incarnation{ID: "i-1", StartTime: 1}
	publishInstance(t, s, message.Instance{Incarnation: i, Service: "finder", Peer: s.peerAddress(), Draining: true})
	m.Advance(delivery.LeaseDuration)
	_, err := s.HandleHeartbeat(t.Context(), Heartbeat{Incarnation: i, Service: "finder", Address: "127.0.0.1:9", Slots: 4, Sequence: 1})
	qt.Assert(t, err, qt.IsNil)
	request := &gate.TargetRequest{Request: hop.Request{Service: "finder", RemainingMillis: 1000, Key: hop.NoKey}, Header: http.Header{}}
	qt.Assert(t, s.gate.Do(t.Context(), request).Reason, qt.Equals, hop.NoTarget)
}

// Guards against a core that never learns that a target is leaving, since it could not be
// reached when a response said so.
func TestHeartbeatsRepeatDeparture(t *testing.T) {
	m := clock.NewManual(1000)
	s, core := newTestSidecar(t, m.Clock())
	publish(t, s, message.Incarnation{})
	m.Advance(delivery.LeaseDuration)
	for _, id := range []message.InstanceID{"i-1", "i-2"} {
		i := message.Incarnation{ID: id, StartTime: message.StartTime(m.Clock().Now())}
		for sequence, leaving := range []bool{false, true} {
			if leaving {
				s.handleLeaving(i)
			}
			_, err := s.HandleHeartbeat(t.Context(), Heartbeat{Incarnation: i, Service: "finder", Address: "127.0.0.1:9", Slots: 4, Sequence: sequence})
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, core.draining.Load(), qt.Equals, leaving, qt.Commentf("%s", id))
		}
		m.Advance(delivery.LeaseDuration)
	}
}

// Guards against a grant that a target has applied and that counts as refused, so that the
// keys get a second owner: a faulty target writes its earlier refusal once more.
func TestRefusalOfGrantWrittenTwice(t *testing.T) {
	refusals := map[string]int{"higher token": http.StatusConflict, "not applied": http.StatusNotFound, "no statement": http.StatusInternalServerError}
	for name, status := range refusals {
		t.Run(name, func(t *testing.T) {
			refused := ""
			target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if refused == "" || refused == r.RemoteAddr {
					refused = r.RemoteAddr
					w.WriteHeader(status)
				}
			}))
			defer target.Close()
			s, _ := newTestSidecar(t, clock.System())
			s.options.Settings.Target.Address = target.Listener.Addr().String()
			i := message.Incarnation{ID: "i-1", StartTime: 1}
			l := s.leaser
			l.incarnation, l.heardAt, l.ledger = i, clock.System().Now(), delivery.NewLedger(0)
			l.calls = TargetCalls{
				Request: func(address string, _ delivery.Call) (*http.Request, error) {
					return http.NewRequest(http.MethodPost, "http://"+address+"/grant", http.NoBody)
				},
				Outcome: func(r *http.Response) delivery.Outcome {
					kinds := map[int]delivery.OutcomeKind{http.StatusOK: delivery.Applied, http.StatusConflict: delivery.Refused, http.StatusNotFound: delivery.NotApplied, http.StatusInternalServerError: delivery.Unanswered}
					return delivery.Outcome{Kind: kinds[r.StatusCode]}
				},
			}
			call := delivery.Call{Kind: delivery.Grant, SendBy: l.heardAt + 60_000, EndBy: l.heardAt + 60_000}
			first, err := l.send(t.Context(), i, call)
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, first.Kind, qt.Not(qt.Equals), delivery.Applied)
			second, err := l.send(t.Context(), i, call)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, second.Kind, qt.Equals, delivery.Applied)
		})
	}
}
