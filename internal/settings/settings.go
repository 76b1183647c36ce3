// Package settings reads and checks the settings of each process.
//
// A settings file is JSON with comments. It is checked completely before the
// process opens anything, and all errors are reported together. Addresses are
// IP:port; unknown and duplicate fields are errors.
//
// # Usage
//
//	s, err := settings.LoadNode("node.jsonc")
package settings

import "github.com/gentiansail/gentiansail/internal/wire"

// Control are the settings of a control replica.
type Control struct {
	// Group is the control group that the replica belongs to.
	Group wire.GroupID
	// Name is the name of the replica, one of the keys of Replicas.
	Name wire.ReplicaID
	// Listen is the address for calls of nodes, operators and other replicas.
	Listen wire.Address
	// MetricsListen is the address for /metrics and /healthz.
	MetricsListen wire.Address
	// DataFolder holds the replicated log. It must be on a local disk.
	DataFolder string
	// FailureDomain is the replica's failure domain.
	FailureDomain wire.FailureDomain
	// Replicas gives the address of each replica of the group by name.
	Replicas map[wire.ReplicaID]wire.Address
}

// Node are the settings of a node.
type Node struct {
	// Group is the control group that the node belongs to.
	Group wire.GroupID
	// Name is unique among the nodes of the group.
	Name wire.NodeID
	// CallerListen is the address for callers.
	CallerListen wire.Address
	// PeerListen is the address for other nodes.
	PeerListen wire.Address
	// TargetListen is the address for the announcements of the node's own target.
	TargetListen wire.Address
	// MetricsListen is the address for /metrics and /healthz.
	MetricsListen wire.Address
	// Advertise is the address under which other nodes reach PeerListen.
	Advertise wire.Address
	// FailureDomain is the host's failure domain.
	FailureDomain wire.FailureDomain
	// Control are the addresses of the control replicas.
	Control []wire.Address
}
