package peers

import (
	"errors"

	"google.golang.org/protobuf/encoding/protowire"

	"micatrack/fleet/membership"
)

// The messages are those of peers.proto. They are written and read field by field with the library's own wire
// functions: generated code would allocate for each fact of each message, and takes in what this must bound.

const protocolVersion = 1

// digestField is the number of a Whole's digest; 11 to 13 are of leases, the watch and the configuration.
const fieldDigest = 14

var (
	errMalformed    = errors.New("a message of an unknown shape")
	errOtherFleet   = errors.New("a message of another fleet")
	errOtherVersion = errors.New("a message of another version")
)

func appendBytes(dst []byte, field protowire.Number, b []byte) []byte {
	if len(b) == 0 {
		return dst
	}
	return protowire.AppendBytes(protowire.AppendTag(dst, field, protowire.BytesType), b)
}

func appendUint(dst []byte, field protowire.Number, v uint64) []byte {
	if v == 0 {
		return dst
	}
	return protowire.AppendVarint(protowire.AppendTag(dst, field, protowire.VarintType), v)
}

// appendEmbedded writes an embedded message, whose length stands before it.
func appendEmbedded(dst []byte, field protowire.Number, write func(dst []byte) []byte) []byte {
	dst = protowire.AppendTag(dst, field, protowire.BytesType)
	at := len(dst)
	dst = write(append(dst, 0, 0)) // two bytes of length hold 16,383
	n := len(dst) - at - 2
	dst[at], dst[at+1] = byte(n)|0x80, byte(n>>7)
	return dst
}

func appendFact(dst []byte, field protowire.Number, f *membership.Fact) []byte {
	return appendEmbedded(dst, field, func(dst []byte) []byte {
		dst = appendBytes(appendBytes(appendBytes(dst, 1, f.Name), 2, f.Zone), 3, f.Addr)
		return appendBytes(appendUint(appendUint(dst, 4, f.Incarnation), 5, uint64(f.State)), 6, f.By)
	})
}

// AppendMessage writes a message of a fleet.
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

// forEachField calls take for each field of a message, in its order; a field that take does not know is passed over, and
// so kept out.
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

func readNote(b []byte) (o membership.Note, err error) {
	err = forEachField(b, func(n protowire.Number, number uint64, data []byte) error {
		switch n {
		case 1:
			o.Key = data
		case 2:
			o.Version = number
		case 3:
			if o.Age = membership.Time(number); number > 1<<40 {
				return errMalformed
			}
		case 4:
			o.Body = data
		}
		return nil
	})
	return o, err
}

// ReadMessage takes a message apart into m, whose slices it uses again; what is in them stands in b. On an error m is worth
// nothing.
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
			var o membership.Note
			o, err = readNote(data)
			m.Notes = append(m.Notes, o)
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
