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

// group is a stand-in control replica that records what it receives.
type group struct {
	mu       sync.Mutex
	applied  []wire.ApplyRequest
	calls    []string
	revision wire.Revision
}

func serve(t *testing.T, register func(*rpc.Server)) wire.Address {
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

func unused(t *testing.T) wire.Address {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = l.Close() }()
	return wire.Address(l.Addr().String())
}

// leader serves apply, config and status; the first answers of apply are those
// of failures.
func leader(t *testing.T, g *group, failures ...error) wire.Address {
	return serve(t, func(s *rpc.Server) {
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

func follower(t *testing.T, leader wire.Address) wire.Address {
	refuse := &rpc.Error{Code: rpc.CodeNotLeader, Message: "not the leader", Leader: string(leader)}
	return serve(t, func(s *rpc.Server) {
		rpc.Handle(s, wire.MethodOperatorConfig, func(context.Context, wire.ConfigRequest) (wire.ConfigResponse, error) {
			return wire.ConfigResponse{}, refuse
		})
		rpc.Handle(s, wire.MethodOperatorApply, func(context.Context, wire.ApplyRequest) (wire.ApplyResponse, error) {
			return wire.ApplyResponse{}, refuse
		})
	})
}

func session(control ...wire.Address) (*Session, *bytes.Buffer, *bytes.Buffer) {
	var out, err bytes.Buffer
	return &Session{Group: "tz", Operator: "amina", Control: control, Timeout: 2000, Out: &out, Err: &err}, &out, &err
}

func folder(t *testing.T, text string) string {
	t.Helper()
	f := t.TempDir()
	qt.Assert(t, os.WriteFile(filepath.Join(f, "a.jsonc"), []byte(text), 0o600), qt.IsNil)
	return f
}

const courier = `{"Services": [{"Name": "courier", "Keyed": false}]}`

// Guards against a command that fails because the first replica named is gone
// or does not lead.
func TestApplyFindsLeader(t *testing.T) {
	g := &group{revision: 6}
	s, out, _ := session(unused(t), follower(t, leader(t, g)))
	err := s.Apply(t.Context(), ApplyOptions{Folder: folder(t, courier), Base: CurrentRevision})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, out.String(), qt.Equals, "revision 7 accepted\n")
	qt.Assert(t, g.applied[0].BaseRevision, qt.Equals, wire.Revision(6))
	qt.Assert(t, g.applied[0].Operator, qt.Equals, wire.OperatorName("amina"))
}

// Guards against a resend that counts as a second change, and against an unknown
// outcome that is reported as a failure.
func TestApplyOutcomes(t *testing.T) {
	unknown := &rpc.Error{Code: rpc.CodeUnknown, Message: "leadership lost"}
	refused := &rpc.Error{Code: rpc.CodeRejected, Message: "another group"}
	tests := map[string]struct {
		base     wire.Revision
		wait     bool
		failures []error
		code     int
		message  string
		sent     int
	}{
		"unknown, then accepted":  {6, false, []error{unknown}, ExitOK, "", 2},
		"stays unknown":           {6, false, manyTimes(unknown, 1000), ExitUnknown, "--base 6 --request-id 0190", 0},
		"another change won":      {5, false, nil, ExitRejected, "base revision is not current; the current revision is 6", 1},
		"refused":                 {6, false, []error{refused}, ExitRejected, "another group", 1},
		"never reaches the group": {6, false, manyTimes(&rpc.Error{Code: rpc.CodeUnavailable, Message: "no leader"}, 1000), ExitUnavailable, "no leader", 0},
		"one node stays behind":   {6, true, nil, ExitUnavailable, "revision 7 is not in force on dsm-b-1", 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := &group{revision: 6}
			s, _, _ := session(leader(t, g, test.failures...))
			s.Timeout = 700
			o := ApplyOptions{Folder: folder(t, courier), Base: test.base, RequestID: "0190"}
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

func manyTimes(err error, n int) []error {
	out := make([]error, n)
	for i := range out {
		out[i] = err
	}
	return out
}

// Guards against a refusal of the second attempt hiding that the first one may
// have released the request.
func TestRefusalAfterUncertainAttemptIsUnknown(t *testing.T) {
	g := &group{}
	s, _, _ := session(leader(t, g, &rpc.Error{Code: rpc.CodeUnknown}, &rpc.Error{Code: rpc.CodeRejected, Message: "not quarantined"}))
	qt.Assert(t, ExitCode(s.Release(t.Context(), "f1")), qt.Equals, ExitUnknown)
}

// Guards against a request being sent with an invalid configuration, and against
// an invalid folder and a missing one having the same exit code.
func TestInvalidFolderIsNotSent(t *testing.T) {
	s, _, _ := session(unused(t))
	o := ApplyOptions{Folder: folder(t, `{"Services": [{}]}`), Base: CurrentRevision}
	qt.Assert(t, ExitCode(s.Apply(t.Context(), o)), qt.Equals, ExitRejected)
	qt.Assert(t, ExitCode(s.Validate(t.TempDir())), qt.Equals, ExitUsage)
	_, err := ParseAddresses("localhost:7101")
	qt.Assert(t, ExitCode(err), qt.Equals, ExitUsage)
}

// Guards against an emptied replica being written to before the others have
// refused the record, which would begin a second group.
func TestBootstrapWritesEmptyReplicasLast(t *testing.T) {
	g := &group{}
	replica := func(name string, empty bool, err error) wire.Address {
		return serve(t, func(s *rpc.Server) {
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
	s, out, _ := session(replica("a", true, nil), replica("b", false, nil), replica("c", true, nil))
	s.Output = JSON
	qt.Assert(t, s.Bootstrap(t.Context()), qt.IsNil)
	qt.Assert(t, g.calls, qt.DeepEquals, []string{"b", "a", "c"})
	var r wire.BootstrapRequest
	qt.Assert(t, json.Unmarshal(out.Bytes(), &r), qt.IsNil)
	qt.Assert(t, r.Members, qt.HasLen, 3)

	g.calls = nil
	s, _, _ = session(replica("a", true, nil), replica("b", false, &rpc.Error{Code: rpc.CodeRejected, Message: "another record"}))
	qt.Assert(t, ExitCode(s.Bootstrap(t.Context())), qt.Equals, ExitRejected)
	qt.Assert(t, g.calls, qt.DeepEquals, []string{"b"})
}

// Guards against an audit that cuts a log entry with many records in two, or
// that shows the oldest changes in place of the newest.
func TestAuditShowsNewestRecords(t *testing.T) {
	records := []wire.AuditRecord{{Index: 7, What: "first"}, {Index: 7, What: "second"}, {Index: 8, What: "third"}}
	a := serve(t, func(s *rpc.Server) {
		rpc.Handle(s, wire.MethodOperatorAudit, func(_ context.Context, r wire.AuditRequest) (wire.AuditResponse, error) {
			return wire.AuditResponse{Records: records[:min(r.Limit, len(records))]}, nil
		})
	})
	for limit, want := range map[int][]wire.AuditRecord{-1: {}, 2: records[1:], 100: records} {
		s, out, _ := session(a)
		s.Output = JSON
		qt.Assert(t, s.Audit(t.Context(), 0, limit), qt.IsNil)
		var got wire.AuditResponse
		qt.Assert(t, json.Unmarshal(out.Bytes(), &got), qt.IsNil)
		qt.Assert(t, got.Records, qt.DeepEquals, want)
	}
}

// Guards against a table that leaves out what an operator must act on.
func TestStatusNamesWhatNeedsAction(t *testing.T) {
	s, out, _ := session(leader(t, &group{revision: 6}))
	qt.Assert(t, s.Status(t.Context()), qt.IsNil)
	qt.Assert(t, strings.Contains(out.String(), "warning: the control group would lose its majority with one more replica"), qt.IsTrue)
	qt.Assert(t, strings.Contains(out.String(), "warning: node dsm-b-1 is at configuration revision 6"), qt.IsTrue)
}

// Guards against a wait that ends early, or names thousands of nodes, with
// control replicas that list all nodes and with those that keep to the limit.
func TestWaitCountsNodesWithoutNaming(t *testing.T) {
	behind := func(n wire.NodeStatus) bool { return n.RevisionInForce >= 7 }
	nodes := make([]wire.NodeStatus, maxMissing+5)
	for i := range nodes {
		nodes[i].Node = "dsm-a-1"
	}
	list := strings.Repeat("dsm-a-1, ", maxMissing-1) + "dsm-a-1"
	cases := map[string]struct {
		status wire.StatusResponse
		want   string
	}{
		"earlier version": {wire.StatusResponse{Nodes: nodes}, list + " and 5 others"},
		"limit":           {wire.StatusResponse{Nodes: nodes[:maxMissing], NodesOmitted: 2980}, list + " and 2980 others"},
		"one":             {wire.StatusResponse{Nodes: nodes[:1]}, "dsm-a-1"},
		"in force":        {wire.StatusResponse{Nodes: []wire.NodeStatus{{Node: "dsm-a-1", RevisionInForce: 7}}}, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, missingIn(c.status, behind).String(), qt.Equals, c.want)
		})
	}
}
