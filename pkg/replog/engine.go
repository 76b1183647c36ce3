package replog

// engine connects the core to the store. It makes the core's outputs durable and
// sends messages in the order that the protocol requires. It has no goroutines, so
// that the loop and the property test can both run it.
type engine struct {
	core  *core
	store *store
	send  func(Message)
	// chunkReaders read snapshots for replicas that are behind.
	chunkReaders map[Identity]*chunkReader
}

// outputs are the core's outputs for the replica's clients, state machine and saver.
type outputs struct {
	// MachineInputs is in log order.
	MachineInputs []machineInput
	// Save is a snapshot from the leader that must be made durable outside the loop
	// and then passed to snapshotSaved.
	Save        *saveJob
	ReadResults []readResult
	RoleChanges []roleChange
}

// machineInput is an input of the state machine: a snapshot to restore or, if
// Restore is nil, an entry to apply.
type machineInput struct {
	Restore *Snapshot
	Entry   Entry
}

// flush executes the core's outputs until there are no more. After an error no
// message may be sent and no proposal acknowledged.
func (e *engine) flush() (outputs, error) {
	var all outputs
	for {
		out := e.core.takeOutputs()
		if e.core.fault != nil {
			return all, e.core.fault
		}
		if out.empty() {
			return all, nil
		}
		if err := e.execute(out); err != nil {
			return all, err
		}
		all.add(out)
	}
}

func (e *engine) execute(out coreOutputs) error {
	for _, m := range out.EarlyMessages {
		if err := e.readAndSend(m); err != nil {
			return err
		}
	}
	if out.Install != nil {
		// The snapshot file is already durable. A crash before the log is reset
		// leaves a log that does not match the snapshot; store.reconcile handles
		// that on the next start.
		if err := e.store.publishSnapshot(out.Install.Index); err != nil {
			return err
		}
	}
	if err := e.store.write(out.State, out.Install, out.Entries); err != nil {
		return err
	}
	e.core.markPersisted()
	for _, m := range out.Messages {
		if err := e.readAndSend(m); err != nil {
			return err
		}
	}
	return nil
}

// readAndSend sends a message. It first reads the snapshot chunk that the message
// needs, if any.
func (e *engine) readAndSend(m Message) error {
	if m.chunkSize > 0 {
		r := e.chunkReaders[m.To.Identity]
		if r == nil {
			r = &chunkReader{}
			e.chunkReaders[m.To.Identity] = r
		}
		var err error
		if m.Chunk, err = r.read(e.store, m.Index, m.fileInfo, m.Offset, m.chunkSize); err != nil {
			return err
		}
	}
	e.send(m)
	return nil
}

func (o *outputs) add(out coreOutputs) {
	if out.Install != nil {
		o.MachineInputs = append(o.MachineInputs, machineInput{Restore: out.Install})
	}
	for _, n := range out.Committed {
		o.MachineInputs = append(o.MachineInputs, machineInput{Entry: n})
	}
	if out.Save != nil {
		o.Save = out.Save
	}
	o.ReadResults = append(o.ReadResults, out.ReadResults...)
	o.RoleChanges = append(o.RoleChanges, out.RoleChanges...)
}

// snapshotSaved switches to a snapshot that is durable under its temporary name, or
// discards it if the log or a newer snapshot already covers it. A local snapshot
// compacts the log but leaves at least keep entries before the snapshot.
// snapshotSaved returns the files that may now be removed.
func (e *engine) snapshotSaved(j *saveJob, keep Index) (obsolete []string, err error) {
	s := j.snapshot
	if !j.isLocal() {
		if e.core.incomingSaved(s) {
			return nil, nil // The next flush publishes the snapshot and resets the log.
		}
		return []string{temporarySnapshotName(s.Index)}, nil
	}
	if e.core.snapshot != nil && s.Index <= e.core.snapshot.Index {
		return []string{temporarySnapshotName(s.Index)}, nil
	}
	// Entries and older snapshots may be removed only once this snapshot has its
	// final name.
	if err := e.store.publishSnapshot(s.Index); err != nil {
		return nil, err
	}
	e.core.compact(s.withoutData(), keep)
	if err := e.store.compact(e.core.log.base); err != nil {
		return nil, err
	}
	return e.store.olderSnapshots(s.Index, e.core.snapshotsInTransfer())
}
