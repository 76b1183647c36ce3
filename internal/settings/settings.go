// Package settings reads and checks the settings file of a process.
//
// A settings file is JSON with comments. It is checked completely before the
// process opens any file or port, and all errors are reported together. Addresses are
// IP:port; unknown and duplicate fields are errors.
//
// # Usage
//
//	s, err := settings.LoadNode("node.jsonc")
package settings

import "github.com/gentiansail/gentiansail/internal/wire"

// Control holds the settings of a control replica.
type Control struct {
	// Group is the control group that the replica belongs to.
	Group wire.GroupID
	// Name is the name of the replica, one of the keys of Replicas.
	Name wire.ReplicaID
	// Listen is the address for requests of nodes, operators and other replicas.
	Listen wire.Address
	// MetricsListen is the address for /metrics and /healthz.
	MetricsListen wire.Address
	// DataFolder is the path of the folder for the replicated log. It must be on a
	// local disk.
	DataFolder string
	// FailureDomain is the replica's failure domain.
	FailureDomain wire.FailureDomain
	// Replicas maps the name of each replica of the group to its address.
	Replicas map[wire.ReplicaID]wire.Address
}

// Node holds the settings of a node.
type Node struct {
	// Group is the control group that the node belongs to.
	Group wire.GroupID
	// Name is unique among the nodes of the group.
	Name wire.NodeID
	// CallerListen is the address for requests of callers.
	CallerListen wire.Address
	// PeerListen is the address for connections from other nodes.
	PeerListen wire.Address
	// TargetListen is the address where the node's own target announces itself.
	TargetListen wire.Address
	// MetricsListen is the address for /metrics and /healthz.
	MetricsListen wire.Address
	// Advertise is the address that other nodes use to connect to PeerListen.
	Advertise wire.Address
	// FailureDomain is the host's failure domain.
	FailureDomain wire.FailureDomain
	// Control are the addresses of the control replicas.
	Control []wire.Address
}
