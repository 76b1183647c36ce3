package ingress

import (
	"cmp"
	"net/http"
	"net/url"
	"slices"
	"strconv"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/traffic/gate"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/internal/traffic/placement"
	"github.com/gentiansail/gentiansail/internal/traffic/view"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Question describes a request that is not sent.
type Question struct {
	Method, HostName, Path string
	// Key is the key as a caller would send it; "" for none.
	Key string
	// RemainingMillis is how long the caller would wait; 0 if it would not say.
	RemainingMillis clock.Millis
	// Call is true for a call of a run that is under way at the target of this host.
	Call bool
}

// Explanation states what would happen to a request now.
type Explanation struct {
	Host          message.HostName
	Domain        message.FailureDomain
	CallerService message.ServiceName
	// ViewVersion and Configuration are the versions that the answer is based on; 0 for none.
	ViewVersion   message.Version
	Configuration int
	// Reason is why the request would be rejected before a target is chosen, or "".
	Reason hop.Reason `json:",omitempty"`
	Route  *ExplainedRoute
	// Services holds the services of the route. A request goes to one of them, by weight.
	Services []ExplainedService
}

// ExplainedRoute is the route of a request.
type ExplainedRoute struct {
	Name, HostName, Prefix string
	// Shadowed holds the shorter prefixes that match too.
	Shadowed                        []string
	Repeatable                      bool
	MaxAttempts, Rank               int
	DeadlineMillis, ObjectiveMillis clock.Millis `json:",omitempty"`
}

// ExplainedService states what would happen to a request that goes to a service.
type ExplainedService struct {
	Service message.ServiceName
	// Share is the part of the requests of the route.
	Share float64
	// Key and Range are set for a service that is divided by key.
	Key   *int
	Range *message.RangeOwner
	// Targets holds the targets in the order in which they would be chosen, but for chance.
	Targets []ExplainedTarget
	// RetriesLeft is the number of whole retries in this host's part of the budget.
	RetriesLeft int
	// Admission is what the sidecar beside the first target says; nil if it was not asked.
	Admission *gate.Preview
	// AdmissionError is why that sidecar said nothing.
	AdmissionError string `json:",omitempty"`
	// RejectProbability is the part of such requests that this host rejects because the owner of
	// the key lately rejected most.
	RejectProbability float64
	// Reason is why the request would be rejected, or "" if it would be sent and admitted.
	Reason hop.Reason
	// RetryAfterMillis is what the caller would be told.
	RetryAfterMillis clock.Millis
}

// ExplainedTarget is a target as it is judged now.
type ExplainedTarget struct {
	ID     message.InstanceID
	Peer   message.Address
	Domain message.FailureDomain
	// Skipped is why the target would not be chosen, "" if it may be.
	Skipped string
	// CostMillis is the expected time until the response, with penalties. Jitter is the part of it
	// that is added at random.
	CostMillis, Jitter float64
	// Running, Waiting, Slots, ServiceMillis and ColdMillis are as the target's host reported
	// them LoadAgeMillis ago; -1 if it never did.
	Running, Waiting, Slots   int
	ServiceMillis, ColdMillis clock.Millis
	LoadAgeMillis             clock.Millis
	InFlight                  int
	FailureRate               float64
	// Limited is true for a target that is cold, or new and not heard from.
	Limited bool
}

// skippedEvacuated is the reason to skip a target whose failure domain is evacuated.
const skippedEvacuated = "evacuated"

// Refused reports whether the request would be rejected, whichever service of its route it goes
// to.
func (e Explanation) Refused() bool {
	return e.Reason != "" || !slices.ContainsFunc(e.Services, func(s ExplainedService) bool { return s.Share > 0 && s.Reason == "" })
}

// Explain returns what would happen to a request now. The function preview asks the sidecar
// beside a target whether it would admit the request. Explain takes the decisions by the same
// functions as ServeHTTP, and counts nothing.
func (in *Ingress) Explain(q Question, preview func(message.Instance, hop.Request) (gate.Preview, error)) (Explanation, error) {
	r, err := in.newQuestionRequest(q)
	if err != nil {
		return Explanation{}, err
	}
	e := Explanation{Host: in.options.Host, Domain: in.options.Domain, CallerService: in.options.Service}
	v := in.options.Views.Current()
	switch {
	case in.rejectRequests.Load():
		e.Reason = hop.Stopping
		return e, nil
	case v == nil:
		e.Reason = hop.NoConfiguration
		return e, nil
	}
	e.ViewVersion, e.Configuration = v.Version, v.Revision
	if e.Reason = overLimits(v.Limits, r); e.Reason != "" {
		return e, nil
	}
	req, reason := in.resolve(r, v, in.options.Clock.Now())
	if e.Reason = reason; reason != "" {
		return e, nil
	}
	e.Route = explainRoute(v, req)
	req.fingerprint = computeFingerprint(r, req, in.options.Service)
	if q.Call {
		req.parentRoute = req.route.Name
	}
	if e.Reason = in.rejectionReason(req, v); e.Reason != "" {
		return e, nil
	}
	sum := 0.0
	for _, s := range req.route.Splits {
		sum += s.Weight
	}
	for _, s := range req.route.Splits {
		part := *req
		in.setService(&part, s.Service, r, v)
		explained := in.explainService(&part, v, preview)
		explained.Share = s.Weight / sum
		e.Services = append(e.Services, explained)
	}
	return e, nil
}

// newQuestionRequest returns the request that the question describes.
func (in *Ingress) newQuestionRequest(q Question) (*http.Request, error) {
	path, err := url.ParseRequestURI(q.Path)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequest(cmp.Or(q.Method, http.MethodGet), "/", nil)
	if err != nil {
		return nil, err
	}
	r.Host, r.URL, r.RequestURI = q.HostName, path, q.Path
	if q.Key != "" {
		r.Header.Set(in.options.Names.Key, q.Key)
	}
	if q.RemainingMillis > 0 {
		r.Header.Set(in.options.Names.RemainingMillis, strconv.Itoa(int(q.RemainingMillis)))
	}
	return r, nil
}

func explainRoute(v *view.View, req *request) *ExplainedRoute {
	route := req.route
	return &ExplainedRoute{
		Name: route.Name, HostName: route.HostName, Prefix: route.Prefix, Shadowed: v.ShadowedPrefixes(route),
		Repeatable: route.Repeatable, MaxAttempts: route.MaxAttempts, Rank: route.Rank,
		DeadlineMillis: req.deadline - req.arrival, ObjectiveMillis: req.objective - req.arrival,
	}
}

// explainService returns what would happen to a request that goes to req.service.
func (in *Ingress) explainService(req *request, v *view.View, preview func(message.Instance, hop.Request) (gate.Preview, error)) ExplainedService {
	e := ExplainedService{Service: req.service, RetriesLeft: in.retriesLeft(req.service)}
	if req.keyed {
		key := req.key
		e.Key = &key
	}
	var target message.Instance
	var reason hop.Reason
	if req.hasOwner() {
		if r, ok := v.RangeOf(req.service, message.Key(req.key)); ok {
			e.Range = &r
		}
		owner, ok := in.owner(v, req)
		if !ok {
			reason = hop.NoOwner
		} else {
			target = owner
			e.Targets = explainTargets(in.balancer.Candidates([]message.Instance{owner}), "")
		}
	} else {
		available := in.departures.mark(v.Available(req.service))
		candidates := in.balancer.Candidates(available)
		e.Targets = explainTargets(candidates, "")
		for _, i := range v.Instances(req.service) {
			if v.Evacuated(i.Domain) {
				e.Targets = append(e.Targets, explainTargets(in.balancer.Candidates([]message.Instance{i}), skippedEvacuated)...)
			}
		}
		if len(candidates) == 0 || candidates[0].Skipped != "" {
			reason = hop.NoTarget
		} else {
			target = candidates[0].Instance
		}
	}
	if reason != "" {
		e.Reason, e.RetryAfterMillis = reason, in.retryAfter(req, gate.Rejection(reason, ownerRetryAfter))
		return e
	}
	if rejection := in.earlyRejection(req, target); rejection != nil {
		e.Reason, e.RetryAfterMillis = rejection.Reason, in.retryAfter(req, rejection)
		return e
	}
	if req.hasOwner() {
		e.RejectProbability, _ = in.throttle.RejectProbability(target.Incarnation.ID)
	}
	p, err := preview(target, in.hopRequest(req, target))
	if err != nil {
		e.AdmissionError = err.Error()
		return e
	}
	e.Admission = &p
	if e.Reason = p.Reason; p.Reason != "" {
		e.RetryAfterMillis = in.retryAfter(req, gate.Rejection(p.Reason, p.RetryAfterMillis))
	}
	return e
}

// retriesLeft returns the number of retries in the budget of a service. It adds no budget.
func (in *Ingress) retriesLeft(service message.ServiceName) int {
	in.mu.Lock()
	b := in.retryBudgets[service]
	in.mu.Unlock()
	if b == nil {
		b = in.newRetryBudget()
	}
	return b.Available()
}

func explainTargets(candidates []placement.Candidate, skipped string) []ExplainedTarget {
	out := make([]ExplainedTarget, 0, len(candidates))
	for _, c := range candidates {
		out = append(out, ExplainedTarget{
			ID: c.Instance.Incarnation.ID, Peer: c.Instance.Peer, Domain: c.Instance.Domain, Skipped: cmp.Or(skipped, c.Skipped),
			CostMillis: c.Cost, Jitter: c.Jitter, Running: c.Load.Running, Waiting: c.Load.Waiting, Slots: c.Instance.Slots,
			ServiceMillis: c.Load.ServiceMillis, ColdMillis: c.Load.ColdMillis, LoadAgeMillis: c.LoadAge,
			InFlight: c.InFlight, FailureRate: c.FailureRate, Limited: c.Limited,
		})
	}
	return out
}
