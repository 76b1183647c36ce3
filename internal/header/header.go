// Package header names the HTTP header fields of gentiansail.
//
// # Usage
//
//	w.Header().Set(header.Outcome, string(wire.OutcomeNotRun))
package header

// Fields that callers and targets see.
const (
	// Outcome says what became of a request: a wire.Outcome.
	Outcome = "Gentiansail-Outcome"
	// Reason says why the system itself responded, in one word.
	Reason = "Gentiansail-Reason"
	// Replayed is "true" when the response is the recorded one of an earlier run.
	Replayed = "Gentiansail-Replayed"
	// RequestID identifies one request on all its hops. Responses repeat it.
	RequestID = "Gentiansail-Request-Id"
	// DeadlineMillis is the time that remains for the request, in milliseconds.
	DeadlineMillis = "Gentiansail-Deadline-Ms"
	// Caller is the identity that the caller states.
	Caller = "Gentiansail-Caller"
	// IdempotencyKey is the caller's key of a request that must not repeat.
	IdempotencyKey = "Idempotency-Key"
	// Rejected is set by a target that refused a request without running it:
	// RefusedGrant or RefusedOverload.
	Rejected = "Gentiansail-Refused"
)

// Fields between nodes, and from a node to its target.
const (
	// Service is the service that the ingress node resolved.
	Service = "Gentiansail-Service"
	// Route is the route that the ingress node resolved.
	Route = "Gentiansail-Route"
	// Partition is the partition that the key belongs to.
	Partition = "Gentiansail-Partition"
	// FencingToken is the fencing token of the partition's grant.
	FencingToken = "Gentiansail-Epoch"
	// Member is the incarnation that the ingress node chose. In a response to a
	// caller it is the one that ran the request.
	Member = "Gentiansail-Member"
	// Attempt counts attempts of one request, from 1.
	Attempt = "Gentiansail-Attempt"
	// Fingerprint identifies the content of a request.
	Fingerprint = "Gentiansail-Fingerprint"
	// InFlight is the number of requests at the target, in a response.
	InFlight = "Gentiansail-In-Flight"
	// Limit is the target's current concurrency limit, in a response.
	Limit = "Gentiansail-Limit"
)

// Values of Refused.
const (
	RejectedGrant    = "grant"
	RejectedOverload = "overload"
)
