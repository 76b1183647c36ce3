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

// pollEvery is how often a wait reads the status.
const pollEvery clock.Millis = 200

// maxMissing is how many nodes are named that a wait is still waiting for. With
// about 300 B for each node it keeps a response below 10 KB, however many
// nodes there are.
const maxMissing = 20

// CurrentRevision as ApplyOptions.Base means the revision that is current when
// the command starts.
const CurrentRevision wire.Revision = -1

// ApplyOptions are the options of the apply command.
type ApplyOptions struct {
	Folder string
	// Base is the revision that the change starts from, or CurrentRevision.
	Base wire.Revision
	// RequestID is that of an earlier attempt to send again; empty for a new
	// change.
	RequestID wire.RequestID
	// Wait, if positive, is how long to wait until every node has the change in
	// force.
	Wait clock.Millis
}

// applyOutcome is the JSON output of apply.
type applyOutcome struct {
	RequestID    wire.RequestID
	BaseRevision wire.Revision
	wire.ApplyResponse
	// NotInForce names the nodes that had not reported the revision when the
	// wait ended, the first maxMissing of them; absent without a wait.
	NotInForce []wire.NodeID `json:",omitempty"`
	// NotInForceOthers is the number of further nodes.
	NotInForceOthers int `json:",omitempty"`
}

// missing are the nodes that a wait is still waiting for.
type missing struct {
	nodes []wire.NodeID
	// others is the number of further nodes.
	others int
}

// Validate checks a configuration folder without any control replica.
func (s *Session) Validate(folder string) error {
	c, err := load(folder)
	if err != nil {
		return err
	}
	return s.print(c, func(t *table) {
		t.line("valid: %d regions, %d services, %d routes, %d caller limits",
			len(c.Regions), len(c.Services), len(c.Routes), len(c.CallerLimits))
	})
}

func load(folder string) (wire.Configuration, error) {
	c, err := config.Load(folder)
	switch {
	case errors.Is(err, config.ErrRead):
		return c, merry.Wrap(ErrUsage, merry.AppendMessage(err.Error()))
	case err != nil:
		return c, merry.Wrap(ErrRejected, merry.WithMessage("invalid configuration\n"+err.Error()))
	}
	return c, nil
}

// Apply sends the configuration of a folder. It prints the request id to s.Err
// before it sends anything, so that a lost response, or the end of this program,
// leaves the operator with what a resend needs.
func (s *Session) Apply(ctx context.Context, o ApplyOptions) error {
	c, err := load(o.Folder)
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
	var waited error
	if out.Accepted && o.Wait > 0 {
		var m missing
		m, waited = s.waitInForce(ctx, out.Revision, o.Wait)
		out.NotInForce, out.NotInForceOthers = m.nodes, m.others
	}
	if err := s.print(out, func(t *table) { t.apply(out, o.Wait > 0 && waited == nil) }); err != nil {
		return err
	}
	if !out.Accepted {
		return merry.Wrap(ErrRejected, merry.AppendMessagef("%s; the current revision is %d", out.RejectReason, out.Revision))
	}
	return waited
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
	t.line("revision %d accepted%s", out.Revision, suffix(notes))
}

func suffix(notes []string) string {
	if len(notes) == 0 {
		return ""
	}
	return "; " + strings.Join(notes, "; ")
}

// waitInForce polls the status until every node reports the revision, and
// returns the nodes that do not.
func (s *Session) waitInForce(ctx context.Context, r wire.Revision, wait clock.Millis) (missing, error) {
	request := wire.StatusRequest{BelowRevision: r, MaxNodes: maxMissing}
	return s.waitFor(ctx, wait, fmt.Sprintf("revision %d is not in force on", r), request, func(n wire.NodeStatus) bool {
		return n.RevisionInForce >= r
	})
}

// waitFor polls the status until ok holds for every node. The request may leave
// out nodes for which ok holds.
func (s *Session) waitFor(ctx context.Context, wait clock.Millis, what string, r wire.StatusRequest, ok func(wire.NodeStatus) bool) (missing, error) {
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	var m missing
	known := false
	for {
		status, err := s.fetchNodes(ctx, r)
		if err == nil {
			m, known = missingIn(status, ok), true
			if len(m.nodes)+m.others == 0 {
				return m, nil
			}
		}
		if clock.System().Sleep(ctx, pollEvery) != nil {
			break
		}
	}
	if !known {
		return m, merry.Wrap(ErrIncomplete, merry.AppendMessagef("%s: not known, no control replica responded", what))
	}
	return m, merry.Wrap(ErrIncomplete, merry.AppendMessagef("%s %s", what, m))
}

// missingIn returns the nodes for which ok does not hold. A control replica of an
// earlier version lists all nodes, so the limit is applied here too.
func missingIn(status wire.StatusResponse, ok func(wire.NodeStatus) bool) missing {
	m := missing{others: status.NodesOmitted}
	for _, n := range status.Nodes {
		switch {
		case ok(n):
		case len(m.nodes) >= maxMissing:
			m.others++
		default:
			m.nodes = append(m.nodes, n.Node)
		}
	}
	return m
}

// String lists the nodes, and the number of those without a name.
func (m missing) String() string {
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
