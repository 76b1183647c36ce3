// Package replog is a log that a small group of replicas keeps identical, with
// one leader at a time and every entry on the disks of a majority before it is
// acknowledged.
//
// # Model
//
// The protocol follows the usual leader-based design: terms, elections with a
// pre-vote, log matching, commit by majority, a no-op entry at the start of each
// term, and membership changes of one identity at a time that take effect when
// they are appended. A leader that has not heard a majority for one election
// timeout steps down.
//
// A replica has a name, which comes from its settings, and an identity, which
// is random and stored in its data folder. Votes belong to identities. A folder
// that was emptied therefore yields a replica that may not vote until the leader
// has admitted it, so it cannot forget a vote or an entry that it acknowledged.
//
// # Files
//
// The data folder holds the identity, snapshots, and a write-ahead log in
// segment files. Each write to the log is one checksummed frame, followed by
// fsync, before anything that depends on it is sent. A failed write or fsync
// ends the replica: Done reports the error, and the process must stop. When the
// replica is opened, an incomplete last frame is cut off; any other damage is
// ErrCorrupt with file and offset.
//
// # Snapshots
//
// A snapshot is captured between two entries, and encoded, written and fsynced
// beside the loop and the state machine, so neither heartbeats nor Apply wait for
// its size. Its file is written under a temporary name. Only once it is durable
// does the loop rename it, and only then does it remove older snapshots and the
// log segments before it. A snapshot from the leader goes the same way. One is
// written at a time. A failed write or fsync ends the replica; a planned stop
// leaves an unfinished file behind, which the next start removes.
//
// No snapshot stays in memory. A replica that is behind gets the file in chunks,
// the last one only if the whole file still has its checksum. The file is kept
// until that replica holds it or no longer answers.
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
// A group starts by calling Bootstrap with the same members on each of them.
// Messages that arrive from other replicas go to Deliver. Ending the context
// given to Open is a planned stop: a leader hands over leadership first.
package replog
