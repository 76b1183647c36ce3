// Package wire has the types of the messages between gentiansail's own processes
// and of the log entries of control replicas.
//
// wire.go is generated from schema.json. It is committed, so that a build does not
// need the generator. After a change of the schema, run:
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
	MethodOperatorEvacuate   = "Operator.Evacuate"
	MethodOperatorOwner      = "Operator.Owner"
	MethodOperatorAudit      = "Operator.Audit"
	MethodOperatorQuarantine = "Operator.Quarantine"
	MethodOperatorRelease    = "Operator.Release"
	MethodOperatorConfig     = "Operator.Config"
	MethodReplicaMessage     = "Replica.Message"
	MethodReplicaMessagePart = "Replica.MessagePart"
	MethodReplicaAdmit       = "Replica.Admit"
	MethodReplicaBootstrap   = "Replica.Bootstrap"
	MethodReplicaIdentity    = "Replica.Identity"
)

// DeltaFormatChanges is the format with ConfigurationChange. A software version that
// adds fields to services, routes, regions or limits needs a higher format: a node
// without these fields computes another checksum and would ask for the full table
// after each change.
const DeltaFormatChanges DeltaFormat = 1
