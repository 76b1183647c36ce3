package state

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"

	"github.com/google/uuid"

	"github.com/gentiansail/gentiansail/internal/wire"
)

// Records of operations are packed, because a day's worth of them is most of the
// state. Texts in their usual form are stored as the bytes that they stand for;
// any other text is stored as it is. Equal operations have equal packings.

// Forms of a packed text.
const (
	formPlain = iota
	formUUID
	formHex
	formBase64
	forms
)

const (
	flagResult = 1 << iota
	flagBodyKept
	flagsEnd
)

var errRecord = errors.New("invalid record of an operation")

// packer appends fields.
type packer struct{ b []byte }

func (p *packer) bytes(form uint64, v []byte) {
	p.b = binary.AppendUvarint(p.b, uint64(len(v))*forms+form)
	p.b = append(p.b, v...)
}

// text packs a string, those that are a UUID or hexadecimal in half the space.
func (p *packer) text(s string) {
	if id, err := uuid.Parse(s); err == nil && id.String() == s {
		p.bytes(formUUID, id[:])
		return
	}
	if v, err := hex.DecodeString(s); err == nil && hex.EncodeToString(v) == s && s != "" {
		p.bytes(formHex, v)
		return
	}
	p.bytes(formPlain, []byte(s))
}

// body packs a string that is usually base64.
func (p *packer) body(s string) {
	if v, err := base64.StdEncoding.DecodeString(s); err == nil && base64.StdEncoding.EncodeToString(v) == s {
		p.bytes(formBase64, v)
		return
	}
	p.bytes(formPlain, []byte(s))
}

// unpacker reads what a packer wrote. After the first invalid field, bad is set
// and all later reads return zero values.
type unpacker struct {
	s   string
	bad bool
	// skip checks fields without decoding them.
	skip bool
	// header is the encoded header of the result.
	header string
}

func (u *unpacker) number() uint64 {
	var v uint64
	for i := 0; i < len(u.s) && i < binary.MaxVarintLen64; i++ {
		v |= uint64(u.s[i]&0x7f) << (7 * i)
		if u.s[i] < 0x80 {
			u.s = u.s[i+1:]
			return v
		}
	}
	u.bad = true
	return 0
}

// field returns the bytes of a packed text and their form.
func (u *unpacker) field() (v string, form uint64) {
	head := u.number()
	n := head / forms
	if n > uint64(len(u.s)) || u.bad {
		u.bad = true
		return "", formPlain
	}
	v, u.s = u.s[:n], u.s[n:]
	if head%forms == formUUID && len(v) != len(uuid.UUID{}) {
		u.bad = true
		return "", formPlain
	}
	return v, head % forms
}

func (u *unpacker) text() string {
	v, form := u.field()
	if u.skip {
		return ""
	}
	switch form {
	case formUUID:
		return uuid.UUID([]byte(v)).String()
	case formHex:
		return hex.EncodeToString([]byte(v))
	case formBase64:
		return base64.StdEncoding.EncodeToString([]byte(v))
	}
	return v
}

// packOperation returns the packed record of an operation.
func packOperation(o operation) string {
	var flags byte
	if o.Result != nil {
		flags |= flagResult
		if o.Result.BodyKept {
			flags |= flagBodyKept
		}
	}
	p := packer{b: []byte{flags}}
	for _, s := range [...]string{string(o.Service), string(o.Caller), string(o.Fingerprint), string(o.Execution), string(o.Incarnation)} {
		p.text(s)
	}
	p.b = binary.AppendUvarint(p.b, uint64(len(o.Released)))
	for _, e := range o.Released {
		p.text(string(e))
	}
	if o.Result != nil {
		p.result(*o.Result)
	}
	return string(p.b)
}

func (p *packer) result(r wire.OperationResult) {
	// Maps of strings always have an encoding, with sorted keys.
	header, _ := json.Marshal(r.Header)
	p.text(string(r.Outcome))
	p.b = binary.AppendUvarint(p.b, uint64(r.Status))
	p.body(r.Body)
	p.bytes(formPlain, header)
}

// unpackOperation reads a packed record.
func unpackOperation(data string) (operation, error) {
	u := unpacker{s: data}
	o := u.operation()
	if o.Result != nil && !u.bad {
		u.bad = json.Unmarshal([]byte(u.header), &o.Result.Header) != nil
	}
	if u.bad {
		return operation{}, errRecord
	}
	return o, nil
}

// recordChecker says whether packed records are valid. It costs much less than
// unpacking them, since most records repeat the header of the one before.
type recordChecker struct{ header string }

func (c *recordChecker) valid(data string) bool {
	u := unpacker{s: data, skip: true}
	o := u.operation()
	known := o.Result == nil || (u.header == c.header && u.header != "")
	if u.bad || known {
		return !u.bad
	}
	var header wire.OperationResultHeader
	if json.Unmarshal([]byte(u.header), &header) != nil {
		return false
	}
	c.header = u.header
	return true
}

// operation reads all fields but the header of the result.
func (u *unpacker) operation() operation {
	flags := u.number()
	o := operation{
		Service: wire.ServiceName(u.text()), Caller: wire.CallerID(u.text()), Fingerprint: wire.Fingerprint(u.text()),
		Execution: wire.ExecutionID(u.text()), Incarnation: wire.Incarnation(u.text()),
	}
	for n := u.number(); n > 0 && !u.bad; n-- {
		o.Released = append(o.Released, wire.ExecutionID(u.text()))
	}
	if flags&flagResult != 0 {
		o.Result = &wire.OperationResult{
			BodyKept: flags&flagBodyKept != 0, Outcome: wire.Outcome(u.text()), Status: int(u.number()), Body: u.text(),
		}
		u.header, _ = u.field()
	}
	u.bad = u.bad || flags >= flagsEnd || u.s != ""
	return o
}
