package peers

import (
	"errors"

	"google.golang.org/protobuf/encoding/protowire"

	"micatrack/fleet/membership"
)

// The messages are those of peers.proto. They are written and read field by field with the library's own wire
// functions: generated code would allocate for each fact of each message, and takes in what this must bound.

const version = 1

// digestField is the number of a Whole's digest; 11 to 13 are of leases, the watch and the configuration.
const digestField = 14

var (
	errShape   = errors.New("a message of an unknown shape")
	errFleet   = errors.New("a message of another fleet")
	errVersion = errors.New("a message of another version")
)

func appendText(dst []byte, field protowire.Number, b []byte) []byte {
	if len(b) == 0 {
		return dst
	}
	return protowire.AppendBytes(protowire.AppendTag(dst, field, protowire.BytesType), b)
}

func appendNumber(dst []byte, field protowire.Number, v uint64) []byte {
	if v == 0 {
		return dst
	}
	return protowire.AppendVarint(protowire.AppendTag(dst, field, protowire.VarintType), v)
}

// appendInside writes an embedded message, whose length stands before it.
func appendInside(dst []byte, field protowire.Number, write func(dst []byte) []byte) []byte {
	dst = protowire.AppendTag(dst, field, protowire.BytesType)
	at := len(dst)
	dst = write(append(dst, 0, 0)) // two bytes of length hold 16,383
	n := len(dst) - at - 2
	dst[at], dst[at+1] = byte(n)|0x80, byte(n>>7)
	return dst
}

func appendFact(dst []byte, field protowire.Number, f *membership.Fact) []byte {
	return appendInside(dst, field, func(dst []byte) []byte {
		dst = appendText(appendText(appendText(dst, 1, f.Name), 2, f.Zone), 3, f.Addr)
		return appendText(appendNumber(appendNumber(dst, 4, f.Incarnation), 5, uint64(f.State)), 6, f.By)
	})
}

// AppendMessage writes a message of a fleet.
func AppendMessage(dst []byte, fleet string, m *membership.Message) []byte {
	dst = appendNumber(dst, 1, version)
	dst = protowire.AppendString(protowire.AppendTag(dst, 2, protowire.BytesType), fleet)
	dst = appendNumber(appendNumber(dst, 3, uint64(m.Kind)), 4, m.Seq)
	dst = appendFact(dst, 5, &m.Sender)
	dst = appendText(appendText(appendText(dst, 6, m.To), 7, m.Target), 8, m.TargetAddr)
	for k := range m.Facts {
		dst = appendFact(dst, 9, &m.Facts[k])
	}
	for k := range m.Notes {
		n := &m.Notes[k]
		dst = appendInside(dst, 10, func(dst []byte) []byte {
			dst = appendNumber(appendText(dst, 1, n.Key), 2, n.Version)
			return appendText(appendNumber(dst, 3, uint64(max(n.Age, 0))), 4, n.Body)
		})
	}
	return appendText(dst, digestField, m.Digest)
}

// fields calls take for each field of a message, in its order; a field that take does not know is passed over, and
// so kept out.
func fields(b []byte, take func(n protowire.Number, number uint64, text []byte) error) error {
	for len(b) > 0 {
		n, t, used := protowire.ConsumeTag(b)
		if used < 0 {
			return errShape
		}
		b = b[used:]
		var number uint64
		var text []byte
		switch t {
		case protowire.VarintType:
			number, used = protowire.ConsumeVarint(b)
		case protowire.BytesType:
			text, used = protowire.ConsumeBytes(b)
		default:
			used = protowire.ConsumeFieldValue(n, t, b)
		}
		if used < 0 {
			return errShape
		}
		b = b[used:]
		if err := take(n, number, text); err != nil {
			return err
		}
	}
	return nil
}

func readFact(b []byte) (f membership.Fact, err error) {
	err = fields(b, func(n protowire.Number, number uint64, text []byte) error {
		switch n {
		case 1:
			f.Name = text
		case 2:
			f.Zone = text
		case 3:
			f.Addr = text
		case 4:
			f.Incarnation = number
		case 5:
			if number > uint64(membership.Left) {
				return errShape
			}
			f.State = membership.State(number)
		case 6:
			f.By = text
		}
		return nil
	})
	return f, err
}

func readNote(b []byte) (o membership.Note, err error) {
	err = fields(b, func(n protowire.Number, number uint64, text []byte) error {
		switch n {
		case 1:
			o.Key = text
		case 2:
			o.Version = number
		case 3:
			if o.Age = membership.Time(number); number > 1<<40 {
				return errShape
			}
		case 4:
			o.Body = text
		}
		return nil
	})
	return o, err
}

// ReadMessage takes a message apart into m, whose slices it uses again; what is in them stands in b. On an error m is worth
// nothing.
func ReadMessage(b []byte, fleet string, m *membership.Message) error {
	*m = membership.Message{Facts: m.Facts[:0], Notes: m.Notes[:0]}
	told, named := uint64(0), false
	err := fields(b, func(n protowire.Number, number uint64, text []byte) (err error) {
		switch n {
		case 1:
			told = number
		case 2:
			if named = string(text) == fleet; !named {
				return errFleet
			}
		case 3:
			if number > uint64(membership.SyncResponse) {
				return errShape
			}
			m.Kind = membership.Kind(number)
		case 4:
			m.Seq = number
		case 5:
			m.Sender, err = readFact(text)
		case 6:
			m.To = text
		case 7:
			m.Target = text
		case 8:
			m.TargetAddr = text
		case 9:
			if len(m.Facts) >= membership.MaxFacts {
				return errShape
			}
			var f membership.Fact
			f, err = readFact(text)
			m.Facts = append(m.Facts, f)
		case 10:
			if len(m.Notes) >= membership.MaxNotes {
				return errShape
			}
			var o membership.Note
			o, err = readNote(text)
			m.Notes = append(m.Notes, o)
		case digestField:
			if len(text) != membership.DigestBytes {
				return errShape
			}
			m.Digest = text
		}
		return err
	})
	switch {
	case err != nil:
		return err
	case told != version:
		return errVersion
	case !named:
		return errFleet
	case m.Kind == 0:
		return errShape
	}
	return nil
}
