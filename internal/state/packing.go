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

// Records of operations are stored in a packed binary form, because the records of a day
// are most of the state. A canonical UUID, hexadecimal or base64 string is stored as the
// bytes that it encodes; any other string is stored unchanged. Equal operations have
// equal packed records.

// Encodings of a packed string.
const (
	encodingPlain = iota
	encodingUUID
	encodingHex
	encodingBase64
	encodingCount
)

// Flags in the first byte of a packed record.
const (
	flagResult = 1 << iota
	flagBodyKept
	flagLimit
)

var errInvalidRecord = errors.New("invalid operation record")

// packer appends the fields of a record to a buffer.
type packer struct{ buffer []byte }

// writeField appends a number that combines the length of v with the encoding, then v.
func (p *packer) writeField(encoding uint64, v []byte) {
	p.buffer = binary.AppendUvarint(p.buffer, uint64(len(v))*encodingCount+encoding)
	p.buffer = append(p.buffer, v...)
}

// writeString appends a string. A canonical UUID or hexadecimal string takes about half
// its length.
func (p *packer) writeString(s string) {
	if id, err := uuid.Parse(s); err == nil && id.String() == s {
		p.writeField(encodingUUID, id[:])
		return
	}
	if v, err := hex.DecodeString(s); err == nil && hex.EncodeToString(v) == s && s != "" {
		p.writeField(encodingHex, v)
		return
	}
	p.writeField(encodingPlain, []byte(s))
}

// writeBody appends a string that is usually base64.
func (p *packer) writeBody(s string) {
	if v, err := base64.StdEncoding.DecodeString(s); err == nil && base64.StdEncoding.EncodeToString(v) == s {
		p.writeField(encodingBase64, v)
		return
	}
	p.writeField(encodingPlain, []byte(s))
}

// unpacker reads the fields that a packer wrote. After the first invalid field, invalid
// is set and the record must be discarded.
type unpacker struct {
	rest    string
	invalid bool
	// validateOnly is set to check fields without decoding strings.
	validateOnly bool
	// header is the header of the result in JSON.
	header string
}

func (u *unpacker) readUvarint() uint64 {
	var v uint64
	for i := 0; i < len(u.rest) && i < binary.MaxVarintLen64; i++ {
		v |= uint64(u.rest[i]&0x7f) << (7 * i)
		if u.rest[i] < 0x80 {
			u.rest = u.rest[i+1:]
			return v
		}
	}
	u.invalid = true
	return 0
}

// readField returns the bytes of a packed string and their encoding.
func (u *unpacker) readField() (v string, encoding uint64) {
	prefix := u.readUvarint()
	length := prefix / encodingCount
	if length > uint64(len(u.rest)) || u.invalid {
		u.invalid = true
		return "", encodingPlain
	}
	v, u.rest = u.rest[:length], u.rest[length:]
	if prefix%encodingCount == encodingUUID && len(v) != len(uuid.UUID{}) {
		u.invalid = true
		return "", encodingPlain
	}
	return v, prefix % encodingCount
}

func (u *unpacker) readString() string {
	value, encoding := u.readField()
	if u.validateOnly {
		return ""
	}
	switch encoding {
	case encodingUUID:
		return uuid.UUID([]byte(value)).String()
	case encodingHex:
		return hex.EncodeToString([]byte(value))
	case encodingBase64:
		return base64.StdEncoding.EncodeToString([]byte(value))
	}
	return value
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
	p := packer{buffer: []byte{flags}}
	for _, s := range [...]string{string(o.Service), string(o.Caller), string(o.Fingerprint), string(o.Execution), string(o.Incarnation)} {
		p.writeString(s)
	}
	p.buffer = binary.AppendUvarint(p.buffer, uint64(len(o.Released)))
	for _, e := range o.Released {
		p.writeString(string(e))
	}
	if o.Result != nil {
		p.writeResult(*o.Result)
	}
	return string(p.buffer)
}

func (p *packer) writeResult(r wire.OperationResult) {
	// Encoding a map with string keys cannot fail, and sorts the keys.
	header, _ := json.Marshal(r.Header)
	p.writeString(string(r.Outcome))
	p.buffer = binary.AppendUvarint(p.buffer, uint64(r.Status))
	p.writeBody(r.Body)
	p.writeField(encodingPlain, header)
}

// unpackOperation reads a packed record.
func unpackOperation(data string) (operation, error) {
	u := unpacker{rest: data}
	o := u.readOperation()
	if o.Result != nil && !u.invalid {
		u.invalid = json.Unmarshal([]byte(u.header), &o.Result.Header) != nil
	}
	if u.invalid {
		return operation{}, errInvalidRecord
	}
	return o, nil
}

// recordValidator checks packed records. It is much cheaper than unpacking them, because
// most records have the same result header as the record before, and that header is
// checked only once.
type recordValidator struct{ header string }

func (c *recordValidator) valid(data string) bool {
	u := unpacker{rest: data, validateOnly: true}
	o := u.readOperation()
	headerValidated := o.Result == nil || (u.header == c.header && u.header != "")
	if u.invalid || headerValidated {
		return !u.invalid
	}
	var header wire.OperationResultHeader
	if json.Unmarshal([]byte(u.header), &header) != nil {
		return false
	}
	c.header = u.header
	return true
}

// readOperation reads an operation. It stores the header of the result in u.header
// without decoding it.
func (u *unpacker) readOperation() operation {
	flags := u.readUvarint()
	o := operation{
		Service: wire.ServiceName(u.readString()), Caller: wire.CallerID(u.readString()), Fingerprint: wire.Fingerprint(u.readString()),
		Execution: wire.ExecutionID(u.readString()), Incarnation: wire.Incarnation(u.readString()),
	}
	for n := u.readUvarint(); n > 0 && !u.invalid; n-- {
		o.Released = append(o.Released, wire.ExecutionID(u.readString()))
	}
	if flags&flagResult != 0 {
		o.Result = &wire.OperationResult{
			BodyKept: flags&flagBodyKept != 0, Outcome: wire.Outcome(u.readString()), Status: int(u.readUvarint()), Body: u.readString(),
		}
		u.header, _ = u.readField()
	}
	u.invalid = u.invalid || flags >= flagLimit || u.rest != ""
	return o
}
