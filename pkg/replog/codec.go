package replog

import (
	"encoding/binary"

	"github.com/ansel1/merry/v2"
)

// Limits on decoded fields. They are higher than any group needs and prevent large
// allocations caused by a corrupt length.
const (
	maxNameBytes = 4 << 10
	maxMembers   = 256
)

// encoder appends fields in a fixed big-endian layout.
type encoder struct{ b []byte }

func (e *encoder) u8(v uint8)   { e.b = append(e.b, v) }
func (e *encoder) u32(v uint32) { e.b = binary.BigEndian.AppendUint32(e.b, v) }
func (e *encoder) u64(v uint64) { e.b = binary.BigEndian.AppendUint64(e.b, v) }

func (e *encoder) bytes(v []byte) {
	e.u32(uint32(len(v)))
	e.b = append(e.b, v...)
}

func (e *encoder) text(v string) {
	e.u32(uint32(len(v)))
	e.b = append(e.b, v...)
}

func (e *encoder) member(m Member) {
	e.text(string(m.Name))
	e.text(string(m.Identity))
	e.text(m.Address)
}

func (e *encoder) members(ms []Member) {
	e.u32(uint32(len(ms)))
	for _, m := range ms {
		e.member(m)
	}
}

func (e *encoder) membership(m Membership) {
	e.members(m.Voters)
	e.members(m.Learners)
}

func (e *encoder) entry(n Entry) {
	e.u64(uint64(n.Index))
	e.u64(uint64(n.Term))
	e.u8(uint8(n.Kind))
	e.bytes(n.Data)
}

// snapshotHeader encodes a snapshot without its data, which must follow.
func (e *encoder) snapshotHeader(s *Snapshot) {
	e.u64(uint64(s.Index))
	e.u64(uint64(s.Term))
	e.membership(s.Membership)
	e.members(s.InitialMembers)
	e.u32(uint32(len(s.Data)))
}

// decoder decodes the output of an encoder. After the first invalid field, invalid is
// true and all further reads return zero values. Byte slices alias the input.
type decoder struct {
	b       []byte
	invalid bool
}

func (d *decoder) takeBytes(n int) []byte {
	if d.invalid || n > len(d.b) {
		d.invalid = true
		return nil
	}
	v := d.b[:n:n]
	d.b = d.b[n:]
	return v
}

func (d *decoder) u8() uint8 {
	v := d.takeBytes(1)
	if d.invalid {
		return 0
	}
	return v[0]
}

func (d *decoder) u32() uint32 {
	v := d.takeBytes(4)
	if d.invalid {
		return 0
	}
	return binary.BigEndian.Uint32(v)
}

func (d *decoder) u64() uint64 {
	v := d.takeBytes(8)
	if d.invalid {
		return 0
	}
	return binary.BigEndian.Uint64(v)
}

// bytes compares the length with the remaining input before converting it to int,
// because the conversion could overflow.
func (d *decoder) bytes() []byte {
	n := d.u32()
	if uint64(n) > uint64(len(d.b)) {
		d.invalid = true
	}
	if d.invalid || n == 0 {
		return nil
	}
	return d.takeBytes(int(n))
}

func (d *decoder) text() string {
	v := d.bytes()
	if len(v) > maxNameBytes {
		d.invalid = true
		return ""
	}
	return string(v)
}

func (d *decoder) member() Member {
	return Member{Name: ReplicaID(d.text()), Identity: Identity(d.text()), Address: d.text()}
}

func (d *decoder) members() []Member {
	n := d.u32()
	if n > maxMembers {
		d.invalid = true
	}
	var ms []Member
	for i := uint32(0); i < n && !d.invalid; i++ {
		ms = append(ms, d.member())
	}
	return ms
}

func (d *decoder) membership() Membership {
	return Membership{Voters: d.members(), Learners: d.members()}
}

func (d *decoder) entry() Entry {
	n := Entry{Index: Index(d.u64()), Term: Term(d.u64()), Kind: EntryKind(d.u8()), Data: d.bytes()}
	if !n.valid() {
		d.invalid = true
	}
	return n
}

func (d *decoder) snapshot() *Snapshot {
	s := &Snapshot{Index: Index(d.u64()), Term: Term(d.u64())}
	s.Membership = d.membership()
	s.InitialMembers = d.members()
	s.Data = d.bytes()
	if s.Index == 0 || s.Membership.validate() != nil {
		d.invalid = true
	}
	return s
}

// finished reports whether all input was decoded without an error.
func (d *decoder) finished() bool { return !d.invalid && len(d.b) == 0 }

// valid reports whether the entry can be part of a log.
func (n Entry) valid() bool {
	if n.Index == 0 || n.Term == 0 || len(n.Data) > MaxEntryBytes {
		return false
	}
	switch n.Kind {
	case EntryNoop:
		return len(n.Data) == 0
	case EntryCommand:
		return true
	case EntryMembership:
		_, err := decodeMembership(n.Data)
		return err == nil
	}
	return false
}

func encodeMembership(m Membership) []byte {
	e := encoder{}
	e.membership(m)
	return e.b
}

func decodeMembership(b []byte) (Membership, error) {
	d := decoder{b: b}
	m := d.membership()
	if !d.finished() {
		return Membership{}, merry.Wrap(ErrInvalidMember, merry.AppendMessage("malformed membership encoding"))
	}
	return m, m.validate()
}
