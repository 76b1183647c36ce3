package operator

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/traffic/ingress"
	"github.com/gentiansail/gentiansail/internal/traffic/sidecar"
)

// Explain prints where a request would go if a caller sent it to a host now, and why. The
// address is that of the metrics of the host's sidecar. The error is ErrRejected if the request
// would be rejected.
func (s *Session) Explain(ctx context.Context, address string, q ingress.Question) error {
	if s.Output != Text && s.Output != JSON {
		return usage("--output %q is neither text nor json", s.Output)
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return usage("--at %q is not IP:port", address)
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout().Duration())
	defer cancel()
	var e sidecar.Explanation
	if err := sidecar.Ask(ctx, address, sidecar.ExplainPath, q, &e); err != nil {
		return merry.Wrap(ErrUnavailable, merry.WithMessage("sidecar unavailable: "+err.Error()))
	}
	if err := s.print(e, func(t *table) { t.explanation(e) }); err != nil {
		return err
	}
	if e.Refused() {
		return merry.Wrap(ErrRejected, merry.WithMessage("the request would be refused"))
	}
	return nil
}

func (t *table) explanation(e sidecar.Explanation) {
	age := "never confirmed by the core"
	if e.ViewAgeMillis >= 0 {
		age = fmt.Sprintf("confirmed by the core %d ms ago", e.ViewAgeMillis)
	}
	t.line("host %s, failure domain %s, service %s", e.Host, e.Domain, e.CallerService)
	t.line("configuration %d, view %d, %s", e.Configuration, e.ViewVersion, age)
	if e.Route != nil {
		t.line("route %s: %s%s, attempts %d, repeatable %s, deadline %d ms, objective %d ms", e.Route.Name, e.Route.HostName, e.Route.Prefix,
			e.Route.MaxAttempts, yesNo(e.Route.Repeatable), e.Route.DeadlineMillis, e.Route.ObjectiveMillis)
		for _, prefix := range e.Route.Shadowed {
			t.line("  goes before the shorter prefix %s", prefix)
		}
	}
	if e.Reason != "" {
		t.line("refused: %s", e.Reason)
	}
	for _, s := range e.Services {
		t.line("")
		t.explainedService(s)
	}
}

func (t *table) explainedService(s ingress.ExplainedService) {
	t.line("service %s, %.0f %% of the requests, %d retries left on this host", s.Service, s.Share*100, s.RetriesLeft)
	if s.Range != nil {
		t.line("key %d, range %d to %d, owner %s", *s.Key, s.Range.From, s.Range.To, s.Range.Owner)
	}
	var rows [][]string
	for _, target := range s.Targets {
		age, state := "never", "available"
		if target.LoadAgeMillis >= 0 {
			age = fmt.Sprintf("%d ms", target.LoadAgeMillis)
		}
		switch {
		case target.Skipped != "":
			state = target.Skipped
		case target.Limited:
			state = "cold or new"
		}
		rows = append(rows, []string{
			string(target.ID), string(target.Domain), state, fmt.Sprintf("%.0f ms", target.CostMillis), fmt.Sprintf("%d+%d/%d", target.Running, target.Waiting, target.Slots),
			age, fmt.Sprintf("%d ms", target.ServiceMillis), formatInt(target.InFlight), fmt.Sprintf("%.0f %%", target.FailureRate*100),
		})
	}
	t.alignedRows([]string{"TARGET", "FAILURE DOMAIN", "STATE", "COST", "LOAD", "AGE", "SERVICE TIME", "IN FLIGHT", "FAILED"}, rows)
	if s.RejectProbability > 0 {
		t.line("this host rejects %.0f %% of the requests for this owner, which lately rejected most", s.RejectProbability*100)
	}
	switch {
	case s.Reason != "":
		t.line("refused: %s, Retry-After %.3f s", s.Reason, float64(s.RetryAfterMillis)/1000)
	case s.AdmissionError != "":
		t.line("would be sent; the sidecar beside the target did not say whether it admits the request: %s", s.AdmissionError)
	case s.Admission.Queued:
		t.line("would be sent, and wait %d ms for a slot", s.Admission.WaitMillis)
	default:
		t.line("would be sent, and get a slot at once")
	}
	if s.Admission != nil && s.Admission.OwnedForMillis > 0 {
		t.line("the grant of the key lasts %d ms", s.Admission.OwnedForMillis)
	}
}
