// Package message holds the types that the processes of the mesh exchange and
// that core replicas keep in their log.
//
// message.go is generated from schema.json and committed. Change the schema, then
// run make generate.
//
// # Usage
//
//	reply, err := rpc.Call[message.WatchReply](ctx, client, message.MethodWatch, message.WatchRequest{Known: 41})
package message

//go:generate go tool go-jsonschema --only-models --tags json --disable-omitzero --capitalization ID -p message schema.json -o message.go

// Methods of the core replicas.
const (
	MethodWatch     = "Mesh.Watch"
	MethodHeartbeat = "Mesh.CheckIn"
	MethodLeave     = "Mesh.Leave"
	MethodHostStop  = "Mesh.HostStop"
	MethodCrash     = "Mesh.Crash"
	MethodIdentity  = "Core.Identity"
	MethodBootstrap = "Core.Found"
	MethodAdmit     = "Core.Admit"
	MethodLog       = "Core.Log"
)

// Kinds of published elements; the name of the element follows.
const (
	ItemRoute       = "route/"
	ItemService     = "service/"
	ItemInstance    = "instance/"
	ItemRangeOwners = "rows/"
	ItemQuarantine  = "quarantine/"
	ItemRevision    = "revision/"
)
