package operator

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"

	"github.com/gentiansail/gentiansail/internal/config"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// statusPollInterval is the pause between two status requests during a wait.
const statusPollInterval clock.Millis = 200

// maxPendingNodes limits the nodes that a wait requests and lists by name. At about
// 300 B per node, the limit keeps a response below 10 KB in a group of any size.
const maxPendingNodes = 20

// CurrentRevision, used as ApplyOptions.Base, selects the revision that is current
// when the command starts.
const CurrentRevision wire.Revision = -1

// ApplyOptions are the options of the apply command.
type ApplyOptions struct {
	Folder string
	// Base is the revision that the change starts from, or CurrentRevision.
	Base wire.Revision
	// RequestID is the id of an earlier attempt that is sent again; empty for a
	// new change.
	RequestID wire.RequestID
	// Wait, if positive, limits how long Apply waits for the change to be in force
	// on every node.
	Wait clock.Millis
}

// applyOutcome is the JSON output of apply.
type applyOutcome struct {
	RequestID    wire.RequestID
	BaseRevision wire.Revision
	wire.ApplyResponse
	// NotInForce lists at most maxPendingNodes of the nodes that had not reported
	// the revision when the wait ended; absent without a wait.
	NotInForce []wire.NodeID `json:",omitempty"`
	// NotInForceOthers is the number of such nodes that NotInForce leaves out.
	NotInForceOthers int `json:",omitempty"`
}

// pendingNodes are the nodes for which a wait has not completed.
type pendingNodes struct {
	nodes []wire.NodeID
	// others is the number of pending nodes that are not in nodes.
	others int
}

// Validate checks a configuration folder without any control replica.
func (s *Session) Validate(folder string) error {
	c, err := loadConfiguration(folder)
	if err != nil {
		return err
	}
	return s.print(c, func(t *table) {
		t.line("valid: %d regions, %d services, %d routes, %d caller limits",
			len(c.Regions), len(c.Services), len(c.Routes), len(c.CallerLimits))
	})
}

func loadConfiguration(folder string) (wire.Configuration, error) {
	c, err := config.Load(folder)
	switch {
	case errors.Is(err, config.ErrRead):
		return c, merry.Wrap(ErrUsage, merry.AppendMessage(err.Error()))
	case err != nil:
		return c, merry.Wrap(ErrRejected, merry.WithMessage("invalid configuration\n"+err.Error()))
	}
	return c, nil
}

// Apply sends the configuration in a folder to the control group. It first prints
// the request id and base revision to s.Err, so that the operator can send the
// request again when the response is lost or the program ends early.
func (s *Session) Apply(ctx context.Context, o ApplyOptions) error {
	c, err := loadConfiguration(o.Folder)
	if err != nil {
		return err
	}
	if o.RequestID == "" {
		o.RequestID = wire.RequestID(uuid.NewString())
	}
	if o.Base == CurrentRevision {
		current, err := s.fetchConfig(ctx)
		if err != nil {
			return err
		}
		o.Base = current.Revision
	}
	_, _ = fmt.Fprintf(s.Err, "request id %s, base revision %d\n", o.RequestID, o.Base)
	out := applyOutcome{RequestID: o.RequestID, BaseRevision: o.Base}
	out.ApplyResponse, err = call[wire.ApplyResponse](ctx, s, wire.MethodOperatorApply, wire.ApplyRequest{
		Group: s.Group, Operator: s.Operator, RequestID: o.RequestID, BaseRevision: o.Base, Configuration: c,
	})
	if errors.Is(err, ErrUnknown) {
		return merry.Appendf(err, "\nsend it again, which applies it once at most:\n  gentiansail apply %s --base %d --request-id %s", o.Folder, o.Base, o.RequestID)
	}
	if err != nil {
		return err
	}
	return s.finishApply(ctx, o, out)
}

func (s *Session) finishApply(ctx context.Context, o ApplyOptions, out applyOutcome) error {
	var waitErr error
	if out.Accepted && o.Wait > 0 {
		var m pendingNodes
		m, waitErr = s.waitInForce(ctx, out.Revision, o.Wait)
		out.NotInForce, out.NotInForceOthers = m.nodes, m.others
	}
	if err := s.print(out, func(t *table) { t.apply(out, o.Wait > 0 && waitErr == nil) }); err != nil {
		return err
	}
	if !out.Accepted {
		return merry.Wrap(ErrRejected, merry.AppendMessagef("%s; the current revision is %d", out.RejectReason, out.Revision))
	}
	return waitErr
}

func (t *table) apply(out applyOutcome, inForce bool) {
	if !out.Accepted {
		return
	}
	var notes []string
	if out.Replayed {
		notes = append(notes, "this request was accepted earlier")
	}
	if inForce {
		notes = append(notes, "in force on every node")
	}
	t.line("revision %d accepted%s", out.Revision, formatNotes(notes))
}

func formatNotes(notes []string) string {
	if len(notes) == 0 {
		return ""
	}
	return "; " + strings.Join(notes, "; ")
}

// waitInForce polls the status until every node reports the revision or the wait
// ends, and returns the nodes that have not reported it.
func (s *Session) waitInForce(ctx context.Context, r wire.Revision, wait clock.Millis) (pendingNodes, error) {
	request := wire.StatusRequest{BelowRevision: r, MaxNodes: maxPendingNodes}
	return s.waitFor(ctx, wait, fmt.Sprintf("revision %d is not in force on", r), request, func(n wire.NodeStatus) bool {
		return n.RevisionInForce >= r
	})
}

// waitFor polls the status until done returns true for every node or the wait ends,
// and returns the remaining nodes. The request may exclude nodes for which done
// returns true. The error starts with condition.
func (s *Session) waitFor(ctx context.Context, wait clock.Millis, condition string, r wire.StatusRequest, done func(wire.NodeStatus) bool) (pendingNodes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	var m pendingNodes
	statusReceived := false
	for {
		status, err := s.fetchNodes(ctx, r)
		if err == nil {
			m, statusReceived = findPendingNodes(status, done), true
			if len(m.nodes)+m.others == 0 {
				return m, nil
			}
		}
		if clock.System().Sleep(ctx, statusPollInterval) != nil {
			break
		}
	}
	if !statusReceived {
		return m, merry.Wrap(ErrIncomplete, merry.AppendMessagef("%s: not known, no control replica responded", condition))
	}
	return m, merry.Wrap(ErrIncomplete, merry.AppendMessagef("%s %s", condition, m))
}

// findPendingNodes returns the nodes for which done returns false. It applies
// maxPendingNodes itself, because a control replica of an earlier version ignores
// StatusRequest.MaxNodes and lists all nodes.
func findPendingNodes(status wire.StatusResponse, done func(wire.NodeStatus) bool) pendingNodes {
	m := pendingNodes{others: status.NodesOmitted}
	for _, n := range status.Nodes {
		switch {
		case done(n):
		case len(m.nodes) >= maxPendingNodes:
			m.others++
		default:
			m.nodes = append(m.nodes, n.Node)
		}
	}
	return m
}

// String lists the names in nodes, followed by the number of others.
func (m pendingNodes) String() string {
	text := make([]string, len(m.nodes))
	for i, n := range m.nodes {
		text[i] = string(n)
	}
	list := strings.Join(text, ", ")
	if m.others > 0 {
		list += fmt.Sprintf(" and %d others", m.others)
	}
	return list
}
