package operator

import (
	"context"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/config"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// FetchStatus returns the status that Status prints.
func (s *Session) FetchStatus(ctx context.Context) (wire.StatusResponse, error) {
	return s.fetchNodes(ctx, wire.StatusRequest{})
}

// fetchNodes returns the status with the nodes that the request selects. A control
// replica of an earlier version ignores the selection and lists all nodes.
func (s *Session) fetchNodes(ctx context.Context, r wire.StatusRequest) (wire.StatusResponse, error) {
	r.Group = s.Group
	return call[wire.StatusResponse](ctx, s, wire.MethodOperatorStatus, r)
}

func (s *Session) fetchConfig(ctx context.Context) (wire.ConfigResponse, error) {
	return call[wire.ConfigResponse](ctx, s, wire.MethodOperatorConfig, wire.ConfigRequest{Group: s.Group})
}

// Status prints the replicas, nodes and services as of a confirmed version.
func (s *Session) Status(ctx context.Context) error {
	r, err := s.FetchStatus(ctx)
	if err != nil {
		return err
	}
	return s.print(r, func(t *table) { t.status(r) })
}

// Config prints the accepted configuration in a form that apply accepts.
func (s *Session) Config(ctx context.Context) error {
	r, err := s.fetchConfig(ctx)
	if err != nil {
		return err
	}
	return s.print(r, func(t *table) {
		t.line("// Revision %d.", r.Revision)
		t.raw(config.Format(r.Configuration))
	})
}

// Drain marks a node as draining. With a positive wait, it returns when the node
// owns no partitions or the wait ends.
func (s *Session) Drain(ctx context.Context, n wire.NodeID, wait clock.Millis) error {
	if err := s.setDrain(ctx, n, true); err != nil {
		return err
	}
	if wait <= 0 {
		return nil
	}
	_, err := s.waitFor(ctx, wait, "partitions remain on", wire.StatusRequest{Node: n}, func(o wire.NodeStatus) bool {
		return o.Node != n || o.Owned == 0
	})
	if err != nil || s.Output == JSON {
		return err
	}
	return s.print(nil, func(t *table) { t.line("node %s owns no partitions", n) })
}

// Undrain marks a node as not draining.
func (s *Session) Undrain(ctx context.Context, n wire.NodeID) error {
	return s.setDrain(ctx, n, false)
}

func (s *Session) setDrain(ctx context.Context, n wire.NodeID, drain bool) error {
	r, err := call[wire.Ack](ctx, s, wire.MethodOperatorDrain, wire.DrainRequest{
		Group: s.Group, Operator: s.Operator, Node: n, Drain: drain,
	})
	if err != nil {
		return err
	}
	state := "is draining"
	if !drain {
		state = "takes work again"
	}
	return s.print(r, func(t *table) { t.line("node %s %s as of version %d", n, state, r.Version) })
}

// Evacuate begins the evacuation of a failure domain. With a positive wait, it returns when
// the nodes of the domain own no partitions or the wait ends.
func (s *Session) Evacuate(ctx context.Context, d wire.FailureDomain, wait clock.Millis) error {
	if err := s.setEvacuation(ctx, d, true); err != nil || wait <= 0 {
		return err
	}
	_, err := s.waitFor(ctx, wait, "partitions remain on", wire.StatusRequest{}, func(n wire.NodeStatus) bool {
		return n.FailureDomain != d || n.Owned == 0
	})
	if err != nil || s.Output == JSON {
		return err
	}
	return s.print(nil, func(t *table) { t.line("the nodes of failure domain %s own no partitions", d) })
}

// EndEvacuation ends the evacuation of a failure domain.
func (s *Session) EndEvacuation(ctx context.Context, d wire.FailureDomain) error {
	return s.setEvacuation(ctx, d, false)
}

func (s *Session) setEvacuation(ctx context.Context, d wire.FailureDomain, active bool) error {
	r, err := call[wire.Ack](ctx, s, wire.MethodOperatorEvacuate, wire.EvacuateRequest{
		Group: s.Group, Operator: s.Operator, Domain: d, Active: active,
	})
	if err != nil {
		return err
	}
	state := "is evacuated"
	if !active {
		state = "takes work again"
	}
	return s.print(r, func(t *table) { t.line("failure domain %s %s as of version %d", d, state, r.Version) })
}

// Evacuations prints the evacuated failure domains and what their nodes still own.
func (s *Session) Evacuations(ctx context.Context) error {
	r, err := s.FetchStatus(ctx)
	if err != nil {
		return err
	}
	list := evacuationsOf(r)
	return s.print(list, func(t *table) { t.evacuations(list) })
}

// FetchOwner returns the owner of a key, as Owner prints it.
func (s *Session) FetchOwner(ctx context.Context, service wire.ServiceName, key string) (wire.OwnerResponse, error) {
	return call[wire.OwnerResponse](ctx, s, wire.MethodOperatorOwner, wire.OwnerRequest{Group: s.Group, Service: service, Key: key})
}

// Owner prints which target owns a key.
func (s *Session) Owner(ctx context.Context, service wire.ServiceName, key string) error {
	r, err := s.FetchOwner(ctx, service, key)
	if err != nil {
		return err
	}
	return s.print(r, func(t *table) { t.owner(r) })
}

// maxAuditRecords is the number of audit records that the control group keeps.
const maxAuditRecords = 10_000

// Audit prints at most limit of the newest audit records with a log index greater
// than after, oldest first. It requests the whole trail and applies the limit
// itself: one log entry can have many records, and a limit on the request could
// split an entry.
func (s *Session) Audit(ctx context.Context, after wire.Version, limit int) error {
	r, err := call[wire.AuditResponse](ctx, s, wire.MethodOperatorAudit, wire.AuditRequest{Group: s.Group, After: after, Limit: maxAuditRecords})
	if err != nil {
		return err
	}
	r.Records = r.Records[len(r.Records)-min(max(limit, 0), len(r.Records)):]
	return s.print(r, func(t *table) { t.audit(r) })
}

// Quarantine prints suspects and quarantined requests.
func (s *Session) Quarantine(ctx context.Context) error {
	r, err := call[wire.QuarantineResponse](ctx, s, wire.MethodOperatorQuarantine, wire.QuarantineRequest{Group: s.Group})
	if err != nil {
		return err
	}
	return s.print(r, func(t *table) { t.quarantine(r) })
}

// Release removes a request from quarantine, so that it can run again.
func (s *Session) Release(ctx context.Context, f wire.Fingerprint) error {
	r, err := call[wire.Ack](ctx, s, wire.MethodOperatorRelease, wire.ReleaseRequest{Group: s.Group, Operator: s.Operator, Fingerprint: f})
	if err != nil {
		return merry.Appendf(err, "fingerprint %s", f)
	}
	return s.print(r, func(t *table) { t.line("request %s released as of version %d", f, r.Version) })
}
