package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/internal/wire"
)

// fakeGroup is the state of a fake control group; it records the requests received.
type fakeGroup struct {
	mu       sync.Mutex
	applied  []wire.ApplyRequest
	calls    []string
	revision wire.Revision
}

func serveRPC(t *testing.T, register func(*rpc.Server)) wire.Address {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := rpc.NewServer()
	register(s)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, l) }()
	t.Cleanup(func() { cancel(); <-done })
	return wire.Address(l.Addr().String())
}

func unusedAddress(t *testing.T) wire.Address {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = l.Close() }()
	return wire.Address(l.Addr().String())
}

// serveLeader starts a fake leader. Its first responses to apply and release are the
// elements of failures, where nil means no failure.
func serveLeader(t *testing.T, g *fakeGroup, failures ...error) wire.Address {
	return serveRPC(t, func(s *rpc.Server) {
		rpc.Handle(s, wire.MethodOperatorConfig, func(context.Context, wire.ConfigRequest) (wire.ConfigResponse, error) {
			return wire.ConfigResponse{Revision: g.revision}, nil
		})
		rpc.Handle(s, wire.MethodOperatorApply, func(_ context.Context, r wire.ApplyRequest) (wire.ApplyResponse, error) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.applied = append(g.applied, r)
			if n := len(g.applied); n <= len(failures) && failures[n-1] != nil {
				return wire.ApplyResponse{}, failures[n-1]
			}
			if r.BaseRevision != g.revision {
				return wire.ApplyResponse{RejectReason: "base revision is not current", Revision: g.revision}, nil
			}
			return wire.ApplyResponse{Accepted: true, Revision: g.revision + 1}, nil
		})
		rpc.Handle(s, wire.MethodOperatorStatus, func(context.Context, wire.StatusRequest) (wire.StatusResponse, error) {
			return wire.StatusResponse{Group: "tz", Revision: g.revision + 1, Nodes: []wire.NodeStatus{
				{Node: "dsm-a-1", RevisionInForce: g.revision + 1}, {Node: "dsm-b-1", RevisionInForce: g.revision},
			}}, nil
		})
		rpc.Handle(s, wire.MethodOperatorRelease, func(context.Context, wire.ReleaseRequest) (wire.Ack, error) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.calls = append(g.calls, "release")
			return wire.Ack{}, failures[len(g.calls)-1]
		})
	})
}

func serveFollower(t *testing.T, leader wire.Address) wire.Address {
	notLeader := &rpc.Error{Code: rpc.CodeNotLeader, Message: "not the leader", Leader: string(leader)}
	return serveRPC(t, func(s *rpc.Server) {
		rpc.Handle(s, wire.MethodOperatorConfig, func(context.Context, wire.ConfigRequest) (wire.ConfigResponse, error) {
			return wire.ConfigResponse{}, notLeader
		})
		rpc.Handle(s, wire.MethodOperatorApply, func(context.Context, wire.ApplyRequest) (wire.ApplyResponse, error) {
			return wire.ApplyResponse{}, notLeader
		})
	})
}

func newTestSession(control ...wire.Address) (*Session, *bytes.Buffer, *bytes.Buffer) {
	var out, err bytes.Buffer
	return &Session{Group: "tz", Operator: "amina", Control: control, Timeout: 2000, Out: &out, Err: &err}, &out, &err
}

func writeConfigFolder(t *testing.T, text string) string {
	t.Helper()
	f := t.TempDir()
	qt.Assert(t, os.WriteFile(filepath.Join(f, "a.jsonc"), []byte(text), 0o600), qt.IsNil)
	return f
}

const courierConfiguration = `{"Services": [{"Name": "courier", "Keyed": false}]}`

// Guards against a command that fails because the first replicas in the list are
// unreachable or not the leader.
func TestApplyFindsLeader(t *testing.T) {
	g := &fakeGroup{revision: 6}
	s, out, _ := newTestSession(unusedAddress(t), serveFollower(t, serveLeader(t, g)))
	err := s.Apply(t.Context(), ApplyOptions{Folder: writeConfigFolder(t, courierConfiguration), Base: CurrentRevision})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, out.String(), qt.Equals, "revision 7 accepted\n")
	qt.Assert(t, g.applied[0].BaseRevision, qt.Equals, wire.Revision(6))
	qt.Assert(t, g.applied[0].Operator, qt.Equals, wire.OperatorName("amina"))
}

// Guards against a resend with a new request id, which would be applied as a second
// change, and against an unknown outcome that is reported as a rejection.
func TestApplyOutcomes(t *testing.T) {
	unknown := &rpc.Error{Code: rpc.CodeUnknown, Message: "leadership lost"}
	rejected := &rpc.Error{Code: rpc.CodeRejected, Message: "another group"}
	tests := map[string]struct {
		base     wire.Revision
		wait     bool
		failures []error
		code     int
		message  string
		sent     int
	}{
		"unknown, then accepted":  {6, false, []error{unknown}, ExitOK, "", 2},
		"stays unknown":           {6, false, repeatError(unknown, 1000), ExitUnknown, "--base 6 --request-id 0190", 0},
		"another change won":      {5, false, nil, ExitRejected, "base revision is not current; the current revision is 6", 1},
		"rejected":                {6, false, []error{rejected}, ExitRejected, "another group", 1},
		"never reaches the group": {6, false, repeatError(&rpc.Error{Code: rpc.CodeUnavailable, Message: "no leader"}, 1000), ExitUnavailable, "no leader", 0},
		"one node stays behind":   {6, true, nil, ExitUnavailable, "revision 7 is not in force on dsm-b-1", 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := &fakeGroup{revision: 6}
			s, _, _ := newTestSession(serveLeader(t, g, test.failures...))
			s.Timeout = 700
			o := ApplyOptions{Folder: writeConfigFolder(t, courierConfiguration), Base: test.base, RequestID: "0190"}
			if test.wait {
				o.Wait = 300
			}
			err := s.Apply(t.Context(), o)
			qt.Assert(t, ExitCode(err), qt.Equals, test.code, qt.Commentf("%v", err))
			if test.message != "" {
				qt.Assert(t, strings.Contains(err.Error(), test.message), qt.IsTrue, qt.Commentf("%v", err))
			}
			if test.sent > 0 {
				qt.Assert(t, g.applied, qt.HasLen, test.sent)
			}
			for _, r := range g.applied {
				qt.Assert(t, r.RequestID, qt.Equals, wire.RequestID("0190"))
			}
		})
	}
}

func repeatError(err error, n int) []error {
	out := make([]error, n)
	for i := range out {
		out[i] = err
	}
	return out
}

// Guards against reporting a rejection when the first attempt may have released the
// request and the second one was rejected.
func TestRejectionAfterUncertainAttemptIsUnknown(t *testing.T) {
	g := &fakeGroup{}
	s, _, _ := newTestSession(serveLeader(t, g, &rpc.Error{Code: rpc.CodeUnknown}, &rpc.Error{Code: rpc.CodeRejected, Message: "not quarantined"}))
	qt.Assert(t, ExitCode(s.Release(t.Context(), "f1")), qt.Equals, ExitUnknown)
}

// Guards against sending an invalid configuration, and against the same exit code
// for an invalid configuration and a folder without one.
func TestInvalidFolderIsNotSent(t *testing.T) {
	s, _, _ := newTestSession(unusedAddress(t))
	o := ApplyOptions{Folder: writeConfigFolder(t, `{"Services": [{}]}`), Base: CurrentRevision}
	qt.Assert(t, ExitCode(s.Apply(t.Context(), o)), qt.Equals, ExitRejected)
	qt.Assert(t, ExitCode(s.Validate(t.TempDir())), qt.Equals, ExitUsage)
	_, err := ParseAddresses("localhost:7101")
	qt.Assert(t, ExitCode(err), qt.Equals, ExitUsage)
}

// Guards against writing to a replica that has lost its data before the others have
// rejected the record: that would start a second group.
func TestBootstrapWritesEmptyReplicasLast(t *testing.T) {
	g := &fakeGroup{}
	serveReplica := func(name string, empty bool, err error) wire.Address {
		return serveRPC(t, func(s *rpc.Server) {
			rpc.Handle(s, wire.MethodReplicaIdentity, func(context.Context, wire.IdentityRequest) (wire.IdentityResponse, error) {
				return wire.IdentityResponse{Name: wire.ReplicaID(name), Identity: wire.Identity("id-" + name), Empty: empty}, nil
			})
			rpc.Handle(s, wire.MethodReplicaBootstrap, func(_ context.Context, r wire.BootstrapRequest) (wire.Ack, error) {
				g.mu.Lock()
				defer g.mu.Unlock()
				g.calls = append(g.calls, name)
				return wire.Ack{}, err
			})
		})
	}
	s, out, _ := newTestSession(serveReplica("a", true, nil), serveReplica("b", false, nil), serveReplica("c", true, nil))
	s.Output = JSON
	qt.Assert(t, s.Bootstrap(t.Context()), qt.IsNil)
	qt.Assert(t, g.calls, qt.DeepEquals, []string{"b", "a", "c"})
	var r wire.BootstrapRequest
	qt.Assert(t, json.Unmarshal(out.Bytes(), &r), qt.IsNil)
	qt.Assert(t, r.Members, qt.HasLen, 3)

	g.calls = nil
	s, _, _ = newTestSession(serveReplica("a", true, nil), serveReplica("b", false, &rpc.Error{Code: rpc.CodeRejected, Message: "another record"}))
	qt.Assert(t, ExitCode(s.Bootstrap(t.Context())), qt.Equals, ExitRejected)
	qt.Assert(t, g.calls, qt.DeepEquals, []string{"b"})
}

// Guards against an audit that shows the oldest records instead of the newest, or
// requests too few records and splits a log entry.
func TestAuditShowsNewestRecords(t *testing.T) {
	records := []wire.AuditRecord{{Index: 7, What: "first"}, {Index: 7, What: "second"}, {Index: 8, What: "third"}}
	a := serveRPC(t, func(s *rpc.Server) {
		rpc.Handle(s, wire.MethodOperatorAudit, func(_ context.Context, r wire.AuditRequest) (wire.AuditResponse, error) {
			return wire.AuditResponse{Records: records[:min(r.Limit, len(records))]}, nil
		})
	})
	for limit, want := range map[int][]wire.AuditRecord{-1: {}, 2: records[1:], 100: records} {
		s, out, _ := newTestSession(a)
		s.Output = JSON
		qt.Assert(t, s.Audit(t.Context(), 0, limit), qt.IsNil)
		var got wire.AuditResponse
		qt.Assert(t, json.Unmarshal(out.Bytes(), &got), qt.IsNil)
		qt.Assert(t, got.Records, qt.DeepEquals, want)
	}
}

// Guards against a status table without the warnings that an operator must act on.
func TestStatusNamesWhatNeedsAction(t *testing.T) {
	s, out, _ := newTestSession(serveLeader(t, &fakeGroup{revision: 6}))
	qt.Assert(t, s.Status(t.Context()), qt.IsNil)
	qt.Assert(t, strings.Contains(out.String(), "warning: the control group would lose its majority with one more replica"), qt.IsTrue)
	qt.Assert(t, strings.Contains(out.String(), "warning: node dsm-b-1 is at configuration revision 6"), qt.IsTrue)
}

// Guards against a wait that ends early or lists thousands of nodes, both with
// control replicas that list all nodes and with replicas that apply MaxNodes.
func TestWaitCountsNodesWithoutNaming(t *testing.T) {
	inForce := func(n wire.NodeStatus) bool { return n.RevisionInForce >= 7 }
	nodes := make([]wire.NodeStatus, maxPendingNodes+5)
	for i := range nodes {
		nodes[i].Node = "dsm-a-1"
	}
	list := strings.Repeat("dsm-a-1, ", maxPendingNodes-1) + "dsm-a-1"
	cases := map[string]struct {
		status wire.StatusResponse
		want   string
	}{
		"earlier version": {wire.StatusResponse{Nodes: nodes}, list + " and 5 others"},
		"limit":           {wire.StatusResponse{Nodes: nodes[:maxPendingNodes], NodesOmitted: 2980}, list + " and 2980 others"},
		"one":             {wire.StatusResponse{Nodes: nodes[:1]}, "dsm-a-1"},
		"in force":        {wire.StatusResponse{Nodes: []wire.NodeStatus{{Node: "dsm-a-1", RevisionInForce: 7}}}, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, findPendingNodes(c.status, inForce).String(), qt.Equals, c.want)
		})
	}
}
