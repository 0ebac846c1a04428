package peers

import (
	"errors"

	"google.golang.org/protobuf/encoding/protowire"

	"micatrack/fleet/membership"
)

// The messages are defined in peers.proto. They are encoded and decoded field by field with the wire functions of the
// protobuf library, because generated code would allocate for each fact of each message and would accept repeated fields
// of any number, which have to be bounded here.

// protocolVersion is the version that every message contains.
const protocolVersion = 1

// fieldDigest is the field of the digest in a full exchange. Fields 11 to 13 belong to leases, positions and the
// configuration.
const fieldDigest = 14

var (
	errMalformed    = errors.New("malformed message")
	errOtherFleet   = errors.New("message of another fleet")
	errOtherVersion = errors.New("message of another protocol version")
)

// appendBytes writes a bytes or string field, unless it is empty.
func appendBytes(dst []byte, field protowire.Number, b []byte) []byte {
	if len(b) == 0 {
		return dst
	}
	return protowire.AppendBytes(protowire.AppendTag(dst, field, protowire.BytesType), b)
}

// appendUint writes a varint field, unless it is 0.
func appendUint(dst []byte, field protowire.Number, v uint64) []byte {
	if v == 0 {
		return dst
	}
	return protowire.AppendVarint(protowire.AppendTag(dst, field, protowire.VarintType), v)
}

// appendEmbedded writes an embedded message. Its length takes two bytes, so the message can have at most 16,383 bytes.
func appendEmbedded(dst []byte, field protowire.Number, write func(dst []byte) []byte) []byte {
	dst = protowire.AppendTag(dst, field, protowire.BytesType)
	at := len(dst)
	dst = write(append(dst, 0, 0)) // reserves the length
	n := len(dst) - at - 2
	dst[at], dst[at+1] = byte(n)|0x80, byte(n>>7)
	return dst
}

// appendFact writes a fact as an embedded message.
func appendFact(dst []byte, field protowire.Number, f *membership.Fact) []byte {
	return appendEmbedded(dst, field, func(dst []byte) []byte {
		dst = appendBytes(appendBytes(appendBytes(dst, 1, f.Name), 2, f.Zone), 3, f.Addr)
		return appendBytes(appendUint(appendUint(dst, 4, f.Incarnation), 5, uint64(f.State)), 6, f.By)
	})
}

// AppendMessage appends the encoding of a membership message of a fleet to dst.
func AppendMessage(dst []byte, fleet string, m *membership.Message) []byte {
	dst = appendUint(dst, 1, protocolVersion)
	dst = protowire.AppendString(protowire.AppendTag(dst, 2, protowire.BytesType), fleet)
	dst = appendUint(appendUint(dst, 3, uint64(m.Kind)), 4, m.Seq)
	dst = appendFact(dst, 5, &m.Sender)
	dst = appendBytes(appendBytes(appendBytes(dst, 6, m.To), 7, m.Target), 8, m.TargetAddr)
	for k := range m.Facts {
		dst = appendFact(dst, 9, &m.Facts[k])
	}
	for k := range m.Notes {
		n := &m.Notes[k]
		dst = appendEmbedded(dst, 10, func(dst []byte) []byte {
			dst = appendUint(appendBytes(dst, 1, n.Key), 2, n.Version)
			return appendBytes(appendUint(dst, 3, uint64(max(n.Age, 0))), 4, n.Body)
		})
	}
	return appendBytes(dst, fieldDigest, m.Digest)
}

// forEachField calls handle for each field of a message, in order: with its number, and with its value as a varint or as
// bytes. Fields that handle does not know are thereby dropped. An error of handle ends the iteration.
func forEachField(b []byte, handle func(n protowire.Number, number uint64, data []byte) error) error {
	for len(b) > 0 {
		n, t, size := protowire.ConsumeTag(b)
		if size < 0 {
			return errMalformed
		}
		b = b[size:]
		var number uint64
		var data []byte
		switch t {
		case protowire.VarintType:
			number, size = protowire.ConsumeVarint(b)
		case protowire.BytesType:
			data, size = protowire.ConsumeBytes(b)
		default:
			size = protowire.ConsumeFieldValue(n, t, b)
		}
		if size < 0 {
			return errMalformed
		}
		b = b[size:]
		if err := handle(n, number, data); err != nil {
			return err
		}
	}
	return nil
}

// readFact decodes a fact, whose bytes refer to b.
func readFact(b []byte) (f membership.Fact, err error) {
	err = forEachField(b, func(n protowire.Number, number uint64, data []byte) error {
		switch n {
		case 1:
			f.Name = data
		case 2:
			f.Zone = data
		case 3:
			f.Addr = data
		case 4:
			f.Incarnation = number
		case 5:
			if number > uint64(membership.Left) {
				return errMalformed
			}
			f.State = membership.State(number)
		case 6:
			f.By = data
		}
		return nil
	})
	return f, err
}

// readNote decodes a note, whose bytes refer to b.
func readNote(b []byte) (note membership.Note, err error) {
	err = forEachField(b, func(n protowire.Number, number uint64, data []byte) error {
		switch n {
		case 1:
			note.Key = data
		case 2:
			note.Version = number
		case 3:
			if note.Age = membership.Time(number); number > 1<<40 {
				return errMalformed
			}
		case 4:
			note.Body = data
		}
		return nil
	})
	return note, err
}

// ReadMessage decodes a membership message of the fleet into m, whose slices it reuses. The bytes in m refer to b. After an
// error, the content of m is undefined.
func ReadMessage(b []byte, fleet string, m *membership.Message) error {
	*m = membership.Message{Facts: m.Facts[:0], Notes: m.Notes[:0]}
	messageVersion, fleetMatches := uint64(0), false
	err := forEachField(b, func(n protowire.Number, number uint64, data []byte) (err error) {
		switch n {
		case 1:
			messageVersion = number
		case 2:
			if fleetMatches = string(data) == fleet; !fleetMatches {
				return errOtherFleet
			}
		case 3:
			if number > uint64(membership.SyncResponse) {
				return errMalformed
			}
			m.Kind = membership.Kind(number)
		case 4:
			m.Seq = number
		case 5:
			m.Sender, err = readFact(data)
		case 6:
			m.To = data
		case 7:
			m.Target = data
		case 8:
			m.TargetAddr = data
		case 9:
			if len(m.Facts) >= membership.MaxFacts {
				return errMalformed
			}
			var f membership.Fact
			f, err = readFact(data)
			m.Facts = append(m.Facts, f)
		case 10:
			if len(m.Notes) >= membership.MaxNotes {
				return errMalformed
			}
			var note membership.Note
			note, err = readNote(data)
			m.Notes = append(m.Notes, note)
		case fieldDigest:
			if len(data) != membership.DigestBytes {
				return errMalformed
			}
			m.Digest = data
		}
		return err
	})
	switch {
	case err != nil:
		return err
	case messageVersion != protocolVersion:
		return errOtherVersion
	case !fleetMatches:
		return errOtherFleet
	case m.Kind == 0:
		return errMalformed
	}
	return nil
}
