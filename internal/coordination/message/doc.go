// Package message defines the messages that the processes of the mesh exchange and
// the commands in the replicated log of the core.
//
// message.go is generated from schema.json and committed. To change a type, edit the
// schema and run make generate. A property whose name in Go differs from its JSON name
// states the former in goJSONSchema.
//
// # Usage
//
//	reply, err := rpc.Call[message.WatchReply](ctx, client, message.MethodWatch, message.WatchRequest{KnownVersion: 41})
package message

//go:generate go tool go-jsonschema --only-models --tags json --disable-omitzero --capitalization ID -p message schema.json -o message.go

// RPC methods of the core replicas.
const (
	MethodWatch      = "Mesh.Watch"
	MethodHeartbeat  = "Mesh.CheckIn"
	MethodLease      = "Mesh.Lease"
	MethodLeaseWatch = "Mesh.LeaseWatch"
	MethodLeave      = "Mesh.Leave"
	MethodHostStop   = "Mesh.HostStop"
	MethodCrash      = "Mesh.Crash"
	MethodIdentity   = "Core.Identity"
	MethodBootstrap  = "Core.Found"
	MethodAdmit      = "Core.Admit"
	MethodResign     = "Core.Resign"
	MethodLog        = "Core.Log"
	MethodLogPart    = "Core.LogPart"
)

// Prefixes of the names of published items, one for each kind.
const (
	ItemRoute       = "route/"
	ItemService     = "service/"
	ItemInstance    = "instance/"
	ItemRangeOwners = "rows/"
	ItemQuarantine  = "quarantine/"
	ItemRevision    = "revision/"
	ItemEvacuation  = "evacuation/"
	ItemLimits      = "limits/"
)
