// Package header names the HTTP header fields of gentiansail.
//
// # Usage
//
//	w.Header().Set(header.Outcome, string(wire.OutcomeNotRun))
package header

// Header fields between gentiansail and callers or targets.
const (
	// Outcome is the outcome of a request, a wire.Outcome.
	Outcome = "Gentiansail-Outcome"
	// Reason is a code for why gentiansail itself produced the response.
	Reason = "Gentiansail-Reason"
	// Replayed is "true" if the response was recorded in an earlier run of the request.
	Replayed = "Gentiansail-Replayed"
	// RequestID identifies a request on all its hops. The response repeats it.
	RequestID = "Gentiansail-Request-Id"
	// DeadlineMillis is the time until the deadline of the request, in milliseconds.
	DeadlineMillis = "Gentiansail-Deadline-Ms"
	// Caller is the identity that the caller states.
	Caller = "Gentiansail-Caller"
	// IdempotencyKey is the key that the caller gives to a request that must run at
	// most once.
	IdempotencyKey = "Idempotency-Key"
	// Rejected is set by a target that rejected a request without running it. The value
	// is RejectedGrant or RejectedOverload.
	Rejected = "Gentiansail-Refused"
)

// Header fields between nodes, and from a node to its target.
const (
	// Service is the service of the request, as resolved by the ingress node.
	Service = "Gentiansail-Service"
	// Route is the route of the request, as resolved by the ingress node.
	Route = "Gentiansail-Route"
	// Partition is the partition of the request's key.
	Partition = "Gentiansail-Partition"
	// FencingToken is the fencing token of the partition's grant.
	FencingToken = "Gentiansail-Epoch"
	// Member is the incarnation that the ingress node selected. In a response to a
	// caller it is the incarnation that ran the request.
	Member = "Gentiansail-Member"
	// Attempt is the number of the attempt to run the request, from 1.
	Attempt = "Gentiansail-Attempt"
	// Fingerprint identifies the content of a request.
	Fingerprint = "Gentiansail-Fingerprint"
	// InFlight is the number of requests in flight at the target. Responses carry it.
	InFlight = "Gentiansail-In-Flight"
	// Limit is the current concurrency limit of the target. Responses carry it.
	Limit = "Gentiansail-Limit"
)

// Values of Rejected.
const (
	RejectedGrant    = "grant"
	RejectedOverload = "overload"
)
