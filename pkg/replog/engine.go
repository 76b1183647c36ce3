package replog

// engine joins core and store: it makes the core's outputs durable in the order
// that the protocol needs. It has no goroutines; the replica's loop and the
// property test both drive it.
type engine struct {
	core  *core
	store *store
	send  func(Message)
	// chunkReaders read snapshots for replicas that are behind.
	chunkReaders map[Identity]*chunkReader
}

// outputs are a batch's outputs for the replica's clients and state machine.
type outputs struct {
	// MachineInputs is in the order of the log.
	MachineInputs []machineInput
	// Save is a snapshot from the leader that must be made durable beside the
	// loop; saved takes it back.
	Save        *saveJob
	ReadResults []readResult
	RoleChanges []roleChange
}

// machineInput is one thing for the state machine: a snapshot to restore, or an entry.
type machineInput struct {
	Restore *Snapshot
	Entry   Entry
}

// flush carries out the core's outputs until there are none. After an error
// nothing more may be sent or acknowledged.
func (e *engine) flush() (outputs, error) {
	var all outputs
	for {
		b := e.core.takeOutputs()
		if e.core.fault != nil {
			return all, e.core.fault
		}
		if b.empty() {
			return all, nil
		}
		if err := e.execute(b); err != nil {
			return all, err
		}
		all.add(b)
	}
}

func (e *engine) execute(b coreOutputs) error {
	for _, m := range b.EarlyMessages {
		if err := e.readAndSend(m); err != nil {
			return err
		}
	}
	if b.Install != nil {
		// The file is complete and durable; a crash before the log is reset
		// leaves a log that ends before the snapshot, which the store expects.
		if err := e.store.publishSnapshot(b.Install.Index); err != nil {
			return err
		}
	}
	if err := e.store.write(b.State, b.Install, b.Entries); err != nil {
		return err
	}
	e.core.markPersisted()
	for _, m := range b.Messages {
		if err := e.readAndSend(m); err != nil {
			return err
		}
	}
	return nil
}

// readAndSend sends a message, with the chunk of a snapshot that the core asks
// for.
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

func (f *outputs) add(b coreOutputs) {
	if b.Install != nil {
		f.MachineInputs = append(f.MachineInputs, machineInput{Restore: b.Install})
	}
	for _, n := range b.Committed {
		f.MachineInputs = append(f.MachineInputs, machineInput{Entry: n})
	}
	if b.Save != nil {
		f.Save = b.Save
	}
	f.ReadResults = append(f.ReadResults, b.ReadResults...)
	f.RoleChanges = append(f.RoleChanges, b.RoleChanges...)
}

// snapshotSaved takes back a snapshot that is durable under its temporary name. It
// switches to it, or gives it up if a newer one or the log has overtaken it. Of an
// own snapshot, at least the given number of entries before it are kept. It
// returns the
// files of older snapshots, which may be removed now.
func (e *engine) snapshotSaved(j *saveJob, keep Index) (obsolete []string, err error) {
	s := j.snapshot
	if !j.isLocal() {
		if e.core.incomingSaved(s) {
			return nil, nil // The next flush switches to it, together with the log.
		}
		return []string{temporarySnapshotName(s.Index)}, nil
	}
	if e.core.snapshot != nil && s.Index <= e.core.snapshot.Index {
		return []string{temporarySnapshotName(s.Index)}, nil
	}
	// Entries and older snapshots may go only once this one has its name.
	if err := e.store.publishSnapshot(s.Index); err != nil {
		return nil, err
	}
	e.core.compact(s.withoutData(), keep)
	if err := e.store.compact(e.core.log.base); err != nil {
		return nil, err
	}
	return e.store.olderSnapshots(s.Index, e.core.snapshotsInTransfer())
}
