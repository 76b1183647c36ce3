// Package wire holds the types that gentiansail's own processes exchange and
// that control replicas keep in their log.
//
// wire.go is generated from schema.json and committed, so that a build needs no
// generator. Change the schema, then run:
//
//	make generate
//
// # Usage
//
//	request := wire.WatchRequest{Group: "tz", Node: "dsm-a-1", KnownVersion: 41, WaitMillis: 1000}
//	response, err := rpc.Call[wire.WatchResponse](ctx, client, wire.MethodNodeWatch, request)
package wire

//go:generate go tool go-jsonschema --only-models --tags json --disable-omitzero --capitalization ID -p wire schema.json -o wire.go

// Methods of the control replicas.
const (
	MethodNodeHeartbeat      = "Node.Heartbeat"
	MethodNodeWatch          = "Node.Watch"
	MethodNodeDown           = "Node.Down"
	MethodOperationBegin     = "Operation.Begin"
	MethodOperationFinish    = "Operation.Finish"
	MethodSuspectClear       = "Suspect.Clear"
	MethodOperatorApply      = "Operator.Apply"
	MethodOperatorStatus     = "Operator.Status"
	MethodOperatorDrain      = "Operator.Drain"
	MethodOperatorOwner      = "Operator.Owner"
	MethodOperatorAudit      = "Operator.Audit"
	MethodOperatorQuarantine = "Operator.Quarantine"
	MethodOperatorRelease    = "Operator.Release"
	MethodOperatorConfig     = "Operator.Config"
	MethodReplicaMessage     = "Replica.Message"
	MethodReplicaAdmit       = "Replica.Admit"
	MethodReplicaBootstrap   = "Replica.Bootstrap"
	MethodReplicaIdentity    = "Replica.Identity"
)

// DeltaFormatChanges is the form with ConfigurationChange. A version that adds
// fields to services, routes, regions or limits needs a higher form: a node that
// does not know them computes another checksum, and would ask for the full table
// after each change.
const DeltaFormatChanges DeltaFormat = 1
