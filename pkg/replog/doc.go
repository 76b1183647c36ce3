// Package replog implements a log that is replicated over a small group with the
// Raft protocol. One replica at a time is the leader, and an entry is acknowledged
// only after a majority of the voters have stored it on disk.
//
// # Protocol
//
// The package implements terms, elections with a pre-vote, log matching, commit
// by majority, a no-op entry at the start of each term, learners, leadership
// transfer and read index requests. Membership changes add or remove one member
// at a time and take effect when they are appended. A leader that has received
// no messages from a majority for one election timeout steps down.
//
// A replica has a name, which comes from its settings, and an identity, which
// is random and stored in its data folder. Votes belong to identities. A replica
// whose data folder was emptied gets a new identity and may not vote until the
// leader has admitted it. An identity therefore never loses a vote that it cast or
// an entry that it acknowledged.
//
// # Files
//
// The data folder contains the identity, snapshots, and a write-ahead log in
// segment files. Each write to the log is one checksummed frame. The frame is
// fsynced before any message that depends on it is sent. After a failed write or
// fsync the replica stops: Done returns the error, and the process must exit.
// Open truncates an incomplete last frame; it reports any other damage as
// ErrCorrupt with file and offset.
//
// # Snapshots
//
// The state machine captures a snapshot between two entries. Another goroutine
// encodes, writes and fsyncs it, so a large snapshot delays neither heartbeats
// nor Apply. The file is written under a temporary name. Once it is durable, the
// loop renames it and then removes older snapshots and the log segments that it
// replaces. Snapshots from the leader are written in the same way. One snapshot
// is written at a time. A failed write or fsync stops the replica; a planned stop
// may leave an unfinished file, which the next start removes.
//
// Snapshots are not kept in memory. A replica that is behind receives the file in
// chunks; the last chunk is sent only if the checksum of the whole file is still
// correct. The file is kept until that replica has installed it or stops
// responding.
//
// # Usage
//
//	r, err := replog.Open(ctx, replog.Options{
//		Folder: "/var/lib/gentiansail", Group: "tz", Name: "dsm-a", Address: "10.0.0.1:7400",
//		Clock: clock.System(), Random: rand.New(rand.NewPCG(seed, 0)),
//		HeartbeatEvery: 50, ElectionTimeout: 250, SnapshotEvery: 10000,
//		Send: transport.Send, Apply: machine.Apply,
//		Snapshot: machine.Capture, Restore: machine.Restore,
//		OnRoleChange: func(role replog.Role, term replog.Term) { roles.Set(role) },
//	})
//	result, err := r.Propose(ctx, command)
//	term, index, err := r.ReadIndex(ctx) // before serving a read from local state
//
// To create a group, call Bootstrap with the same members on each of them. Pass
// messages from other replicas to Deliver. Cancelling the context given to Open
// starts a planned stop, in which a leader first transfers leadership.
package replog
