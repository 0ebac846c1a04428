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
	maxVoters    = 16
	maxTextBytes = 64 // bytes of a name or an address
)

// appendLeaseFrame writes the frame round a body.
func appendLeaseFrame(dst []byte, fleet string, body []byte) []byte {
	dst = appendUint(dst, 1, protocolVersion)
	dst = protowire.AppendString(protowire.AppendTag(dst, 2, protowire.BytesType), fleet)
	return appendBytes(appendUint(dst, 3, kindLease), 11, body)
}

// leaseBody gives the body of a message of this fleet's leases; not ok: it is no such message.
func leaseBody(b []byte, fleet string) (body []byte, ok bool) {
	return messageBody(b, fleet, kindLease, 11)
}

// messageBody gives what stands in one field of a message of this fleet and of a kind.
func messageBody(b []byte, fleet string, want uint64, field protowire.Number) (body []byte, ok bool) {
	messageVersion, fleetMatches, kind := uint64(0), false, uint64(0)
	err := forEachField(b, func(n protowire.Number, number uint64, data []byte) error {
		switch n {
		case 1:
			messageVersion = number
		case 2:
			fleetMatches = string(data) == fleet
		case 3:
			if kind = number; kind != want {
				return errMalformed
			}
		case field:
			body = data
		}
		return nil
	})
	return body, err == nil && messageVersion == protocolVersion && fleetMatches && kind == want && body != nil
}

// boundText reads the texts of a message.
// Danger: what an asker says of itself is kept for as long as it waits, and a frame may hold four million bytes.
func boundText(handle func(n protowire.Number, number uint64, data []byte)) func(n protowire.Number, number uint64, data []byte) error {
	return func(n protowire.Number, number uint64, data []byte) error {
		if len(data) > maxTextBytes {
			return errMalformed
		}
		handle(n, number, data)
		return nil
	}
}

// AppendLease writes the body of a message of leases.
func AppendLease(dst []byte, m *LeaseMessage) []byte {
	dst = appendBytes(appendUint(appendUint(dst, 1, m.From), 2, m.To), 3, m.Log)
	dst = appendUint(dst, 6, m.InitialVotersHash)
	if a := m.Request; a != nil {
		dst = appendEmbedded(dst, 4, func(dst []byte) []byte {
			dst = appendBytes(appendBytes(appendUint(dst, 1, uint64(a.Op)), 2, []byte(a.Name)), 3, []byte(a.From.Name))
			dst = appendUint(appendUint(appendUint(dst, 4, a.From.Life), 5, a.Token), 6, a.Seq)
			return appendUint(appendBytes(appendUint(dst, 7, a.ForwardedBy), 8, []byte(a.Addr)), 9, a.AckedSeq)
		})
	}
	if r := m.Reply; r != nil {
		dst = appendEmbedded(dst, 5, func(dst []byte) []byte {
			dst = appendBytes(appendBytes(dst, 1, []byte(r.Name)), 2, []byte(r.To.Name))
			dst = appendUint(appendUint(appendUint(dst, 3, r.To.Life), 4, r.Seq), 5, r.Token)
			dst = appendUint(appendBytes(dst, 6, []byte(r.Holder.Name)), 7, r.Holder.Life)
			return appendBytes(appendUint(dst, 8, uint64(r.QueuePosition)), 9, []byte(m.Addr))
		})
	}
	for k := range m.Voters {
		s := &m.Voters[k]
		dst = appendEmbedded(dst, 7, func(dst []byte) []byte {
			return appendBytes(appendBytes(appendUint(dst, 1, s.ID), 2, []byte(s.Name)), 3, []byte(s.Addr))
		})
	}
	return dst
}

// ReadLease takes the body of a message of leases apart. Lengths of names are lease's to judge.
func ReadLease(b []byte) (m LeaseMessage, err error) {
	err = forEachField(b, func(n protowire.Number, number uint64, data []byte) (err error) {
		switch n {
		case 1:
			m.From = number
		case 2:
			m.To = number
		case 3:
			m.Log = data
		case 4:
			m.Request = &lease.Request{}
			err = readRequest(data, m.Request)
		case 5:
			m.Reply = &lease.Reply{}
			err = readReply(data, m.Reply, &m.Addr)
		case 6:
			m.InitialVotersHash = number
		case 7:
			var s lease.VoterInfo
			if err = readVoter(data, &s); err == nil && len(m.Voters) >= maxVoters {
				err = errMalformed
			}
			m.Voters = append(m.Voters, s)
		}
		return err
	})
	bodies := 0
	for _, present := range [...]bool{m.Log != nil, m.Request != nil, m.Reply != nil} {
		if present {
			bodies++
		}
	}
	if err == nil && bodies != 1 {
		err = errMalformed
	}
	return m, err
}

func readRequest(b []byte, a *lease.Request) error {
	err := forEachField(b, boundText(func(n protowire.Number, number uint64, data []byte) {
		switch n {
		case 1:
			a.Op = lease.Op(min(number, 255))
		case 2:
			a.Name = string(data)
		case 3:
			a.From.Name = string(data)
		case 4:
			a.From.Life = number
		case 5:
			a.Token = number
		case 6:
			a.Seq = number
		case 7:
			a.ForwardedBy = number
		case 8:
			a.Addr = string(data)
		case 9:
			a.AckedSeq = number
		}
	}))
	if err == nil && a.Op > lease.Release {
		err = errMalformed
	}
	return err
}

func readVoter(b []byte, s *lease.VoterInfo) error {
	return forEachField(b, boundText(func(n protowire.Number, number uint64, data []byte) {
		switch n {
		case 1:
			s.ID = number
		case 2:
			s.Name = string(data)
		case 3:
			s.Addr = string(data)
		}
	}))
}

func readReply(b []byte, r *lease.Reply, addr *string) error {
	return forEachField(b, boundText(func(n protowire.Number, number uint64, data []byte) {
		switch n {
		case 1:
			r.Name = string(data)
		case 2:
			r.To.Name = string(data)
		case 3:
			r.To.Life = number
		case 4:
			r.Seq = number
		case 5:
			r.Token = number
		case 6:
			r.Holder.Name = string(data)
		case 7:
			r.Holder.Life = number
		case 8:
			r.QueuePosition = int(min(number, 1<<20))
		case 9:
			*addr = string(data)
		}
	}))
}
