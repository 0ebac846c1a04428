package peers

import (
	"google.golang.org/protobuf/encoding/protowire"

	"micatrack/fleet/lease"
)

const kindLease = 8

// LeaseMessage is one message of leases: one of Log, Ask and Reply is there. Texts are those of the message that it was read from.
type LeaseMessage struct {
	From, To          uint64 // numbers of voters; 0: none
	Log               []byte
	Request           *lease.Request
	Reply             *lease.Reply
	Addr              string            // of the asker that a reply is for
	InitialVotersHash uint64            // of Log: stands for the voters that its sender began from
	Voters            []lease.VoterInfo // beside Reply: who votes, where that has changed since the fleet's first start
}

const (
	mostSeats = 16
	mostText  = 64 // bytes of a name or an address
)

// appendLease writes the frame round a body.
func appendLease(dst []byte, fleet string, body []byte) []byte {
	dst = appendNumber(dst, 1, version)
	dst = protowire.AppendString(protowire.AppendTag(dst, 2, protowire.BytesType), fleet)
	return appendText(appendNumber(dst, 3, kindLease), 11, body)
}

// leaseOf gives the body of a message of this fleet's leases; not ok: it is no such message.
func leaseOf(b []byte, fleet string) (body []byte, ok bool) { return framed(b, fleet, kindLease, 11) }

// framed gives what stands in one field of a message of this fleet and of a kind.
func framed(b []byte, fleet string, want uint64, field protowire.Number) (body []byte, ok bool) {
	told, named, kind := uint64(0), false, uint64(0)
	err := fields(b, func(n protowire.Number, number uint64, text []byte) error {
		switch n {
		case 1:
			told = number
		case 2:
			named = string(text) == fleet
		case 3:
			if kind = number; kind != want {
				return errShape
			}
		case field:
			body = text
		}
		return nil
	})
	return body, err == nil && told == version && named && kind == want && body != nil
}

// short reads the texts of a message.
// Danger: what an asker says of itself is kept for as long as it waits, and a frame may hold four million bytes.
func short(take func(n protowire.Number, number uint64, text []byte)) func(n protowire.Number, number uint64, text []byte) error {
	return func(n protowire.Number, number uint64, text []byte) error {
		if len(text) > mostText {
			return errShape
		}
		take(n, number, text)
		return nil
	}
}

// AppendLease writes the body of a message of leases.
func AppendLease(dst []byte, m *LeaseMessage) []byte {
	dst = appendText(appendNumber(appendNumber(dst, 1, m.From), 2, m.To), 3, m.Log)
	dst = appendNumber(dst, 6, m.InitialVotersHash)
	if a := m.Request; a != nil {
		dst = appendInside(dst, 4, func(dst []byte) []byte {
			dst = appendText(appendText(appendNumber(dst, 1, uint64(a.Op)), 2, []byte(a.Name)), 3, []byte(a.From.Name))
			dst = appendNumber(appendNumber(appendNumber(dst, 4, a.From.Life), 5, a.Token), 6, a.Seq)
			return appendNumber(appendText(appendNumber(dst, 7, a.ForwardedBy), 8, []byte(a.Addr)), 9, a.AckedSeq)
		})
	}
	if r := m.Reply; r != nil {
		dst = appendInside(dst, 5, func(dst []byte) []byte {
			dst = appendText(appendText(dst, 1, []byte(r.Name)), 2, []byte(r.To.Name))
			dst = appendNumber(appendNumber(appendNumber(dst, 3, r.To.Life), 4, r.Seq), 5, r.Token)
			dst = appendNumber(appendText(dst, 6, []byte(r.Holder.Name)), 7, r.Holder.Life)
			return appendText(appendNumber(dst, 8, uint64(r.QueuePosition)), 9, []byte(m.Addr))
		})
	}
	for k := range m.Voters {
		s := &m.Voters[k]
		dst = appendInside(dst, 7, func(dst []byte) []byte {
			return appendText(appendText(appendNumber(dst, 1, s.ID), 2, []byte(s.Name)), 3, []byte(s.Addr))
		})
	}
	return dst
}

// ReadLease takes the body of a message of leases apart. Lengths of names are lease's to judge.
func ReadLease(b []byte) (m LeaseMessage, err error) {
	err = fields(b, func(n protowire.Number, number uint64, text []byte) (err error) {
		switch n {
		case 1:
			m.From = number
		case 2:
			m.To = number
		case 3:
			m.Log = text
		case 4:
			m.Request = &lease.Request{}
			err = readAsk(text, m.Request)
		case 5:
			m.Reply = &lease.Reply{}
			err = readReply(text, m.Reply, &m.Addr)
		case 6:
			m.InitialVotersHash = number
		case 7:
			var s lease.VoterInfo
			if err = readSeat(text, &s); err == nil && len(m.Voters) >= mostSeats {
				err = errShape
			}
			m.Voters = append(m.Voters, s)
		}
		return err
	})
	parts := 0
	for _, there := range [...]bool{m.Log != nil, m.Request != nil, m.Reply != nil} {
		if there {
			parts++
		}
	}
	if err == nil && parts != 1 {
		err = errShape
	}
	return m, err
}

func readAsk(b []byte, a *lease.Request) error {
	err := fields(b, short(func(n protowire.Number, number uint64, text []byte) {
		switch n {
		case 1:
			a.Op = lease.Op(min(number, 255))
		case 2:
			a.Name = string(text)
		case 3:
			a.From.Name = string(text)
		case 4:
			a.From.Life = number
		case 5:
			a.Token = number
		case 6:
			a.Seq = number
		case 7:
			a.ForwardedBy = number
		case 8:
			a.Addr = string(text)
		case 9:
			a.AckedSeq = number
		}
	}))
	if err == nil && a.Op > lease.Release {
		err = errShape
	}
	return err
}

func readSeat(b []byte, s *lease.VoterInfo) error {
	return fields(b, short(func(n protowire.Number, number uint64, text []byte) {
		switch n {
		case 1:
			s.ID = number
		case 2:
			s.Name = string(text)
		case 3:
			s.Addr = string(text)
		}
	}))
}

func readReply(b []byte, r *lease.Reply, addr *string) error {
	return fields(b, short(func(n protowire.Number, number uint64, text []byte) {
		switch n {
		case 1:
			r.Name = string(text)
		case 2:
			r.To.Name = string(text)
		case 3:
			r.To.Life = number
		case 4:
			r.Seq = number
		case 5:
			r.Token = number
		case 6:
			r.Holder.Name = string(text)
		case 7:
			r.Holder.Life = number
		case 8:
			r.QueuePosition = int(min(number, 1<<20))
		case 9:
			*addr = string(text)
		}
	}))
}
