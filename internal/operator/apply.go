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
	// wait ended; absent without a wait.
	NotInForce []wire.NodeID `json:",omitempty"`
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
		return c, merry.Wrap(ErrRefused, merry.WithMessage("invalid configuration\n"+err.Error()))
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
		out.NotInForce, waited = s.waitInForce(ctx, out.Revision, o.Wait)
	}
	if err := s.print(out, func(t *table) { t.apply(out, o.Wait > 0 && waited == nil) }); err != nil {
		return err
	}
	if !out.Accepted {
		return merry.Wrap(ErrRefused, merry.AppendMessagef("%s; the current revision is %d", out.Refusal, out.Revision))
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
func (s *Session) waitInForce(ctx context.Context, r wire.Revision, wait clock.Millis) ([]wire.NodeID, error) {
	return s.waitFor(ctx, wait, fmt.Sprintf("revision %d is not in force on", r), func(n wire.NodeStatus) bool {
		return n.RevisionInForce >= r
	})
}

// waitFor polls the status until ok holds for every node.
func (s *Session) waitFor(ctx context.Context, wait clock.Millis, what string, ok func(wire.NodeStatus) bool) ([]wire.NodeID, error) {
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	var missing []wire.NodeID
	known := false
	for {
		status, err := s.FetchStatus(ctx)
		if err == nil {
			missing, known = nodesWhere(status, ok), true
			if len(missing) == 0 {
				return nil, nil
			}
		}
		if clock.System().Sleep(ctx, pollEvery) != nil {
			break
		}
	}
	if !known {
		return nil, merry.Wrap(ErrWait, merry.AppendMessagef("%s: not known, no control replica responded", what))
	}
	return missing, merry.Wrap(ErrWait, merry.AppendMessagef("%s %s", what, joinNodes(missing)))
}

// nodesWhere returns the nodes for which ok does not hold.
func nodesWhere(status wire.StatusResponse, ok func(wire.NodeStatus) bool) []wire.NodeID {
	var out []wire.NodeID
	for _, n := range status.Nodes {
		if !ok(n) {
			out = append(out, n.Node)
		}
	}
	return out
}

func joinNodes(nodes []wire.NodeID) string {
	text := make([]string, len(nodes))
	for i, n := range nodes {
		text[i] = string(n)
	}
	return strings.Join(text, ", ")
}
