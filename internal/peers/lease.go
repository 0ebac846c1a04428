package peers

import (
	"google.golang.org/protobuf/encoding/protowire"

	"micatrack/fleet/lease"
)

// kindLease is the kind of lease messages.
const kindLease = 8

// LeaseMessage is one message of the lease protocol. Exactly one of Log, Request and Reply is set. Log refers to the bytes
// that the message was read from.
type LeaseMessage struct {
	From              uint64 // number of the voter that sends it; 0: no voter
	To                uint64 // number of the voter that it is for; 0: no voter
	Log               []byte // an encoded raftpb.Message
	Request           *lease.Request
	Reply             *lease.Reply
	Addr              string // of a Reply: address of the front that sent the request
	InitialVotersHash uint64 // of a Log: identifies the voters that its sender started with
	// Voters are, in a Reply, the voters if they have changed since the first start of the fleet; in a Log, the sender if
	// it was added since.
	Voters []lease.VoterInfo
}

const (
	maxVoters    = 16
	maxTextBytes = 64 // of a name or an address
)

// appendLeaseFrame writes a complete lease message around a body.
func appendLeaseFrame(dst []byte, fleet string, body []byte) []byte {
	dst = appendUint(dst, 1, protocolVersion)
	dst = protowire.AppendString(protowire.AppendTag(dst, 2, protowire.BytesType), fleet)
	return appendBytes(appendUint(dst, 3, kindLease), 11, body)
}

// leaseBody returns the body of a lease message of the fleet. ok reports whether b is one.
func leaseBody(b []byte, fleet string) (body []byte, ok bool) {
	return messageBody(b, fleet, kindLease, 11)
}

// messageBody returns the content of one field of a message. ok reports whether b is a message of the fleet, of the current
// version and of the wanted kind that has this field.
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

// boundText wraps a function for forEachField so that texts longer than maxTextBytes are rejected. Without this bound, much
// memory could be held: what the sender of a request says about itself is kept while it waits, and a frame may have four
// million bytes.
func boundText(handle func(n protowire.Number, number uint64, data []byte)) func(n protowire.Number, number uint64, data []byte) error {
	return func(n protowire.Number, number uint64, data []byte) error {
		if len(data) > maxTextBytes {
			return errMalformed
		}
		handle(n, number, data)
		return nil
	}
}

// AppendLease appends the body of a lease message to dst.
func AppendLease(dst []byte, m *LeaseMessage) []byte {
	dst = appendBytes(appendUint(appendUint(dst, 1, m.From), 2, m.To), 3, m.Log)
	dst = appendUint(dst, 6, m.InitialVotersHash)
	if request := m.Request; request != nil {
		dst = appendEmbedded(dst, 4, func(dst []byte) []byte {
			dst = appendBytes(appendBytes(appendUint(dst, 1, uint64(request.Op)), 2, []byte(request.Name)), 3, []byte(request.From.Name))
			dst = appendUint(appendUint(appendUint(dst, 4, request.From.Life), 5, request.Token), 6, request.Seq)
			return appendUint(appendBytes(appendUint(dst, 7, request.ForwardedBy), 8, []byte(request.Addr)), 9, request.AckedSeq)
		})
	}
	if reply := m.Reply; reply != nil {
		dst = appendEmbedded(dst, 5, func(dst []byte) []byte {
			dst = appendBytes(appendBytes(dst, 1, []byte(reply.Name)), 2, []byte(reply.To.Name))
			dst = appendUint(appendUint(appendUint(dst, 3, reply.To.Life), 4, reply.Seq), 5, reply.Token)
			dst = appendUint(appendBytes(dst, 6, []byte(reply.Holder.Name)), 7, reply.Holder.Life)
			return appendBytes(appendUint(dst, 8, uint64(reply.QueuePosition)), 9, []byte(m.Addr))
		})
	}
	for k := range m.Voters {
		voter := &m.Voters[k]
		dst = appendEmbedded(dst, 7, func(dst []byte) []byte {
			return appendBytes(appendBytes(appendUint(dst, 1, voter.ID), 2, []byte(voter.Name)), 3, []byte(voter.Addr))
		})
	}
	return dst
}

// ReadLease decodes the body of a lease message. It rejects texts longer than maxTextBytes; package lease checks names
// further.
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
			var voter lease.VoterInfo
			if err = readVoter(data, &voter); err == nil && len(m.Voters) >= maxVoters {
				err = errMalformed
			}
			m.Voters = append(m.Voters, voter)
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

// readRequest decodes a request for a lease.
func readRequest(b []byte, request *lease.Request) error {
	err := forEachField(b, boundText(func(n protowire.Number, number uint64, data []byte) {
		switch n {
		case 1:
			request.Op = lease.Op(min(number, 255))
		case 2:
			request.Name = string(data)
		case 3:
			request.From.Name = string(data)
		case 4:
			request.From.Life = number
		case 5:
			request.Token = number
		case 6:
			request.Seq = number
		case 7:
			request.ForwardedBy = number
		case 8:
			request.Addr = string(data)
		case 9:
			request.AckedSeq = number
		}
	}))
	if err == nil && request.Op > lease.Release {
		err = errMalformed
	}
	return err
}

// readVoter decodes the entry of one voter.
func readVoter(b []byte, voter *lease.VoterInfo) error {
	return forEachField(b, boundText(func(n protowire.Number, number uint64, data []byte) {
		switch n {
		case 1:
			voter.ID = number
		case 2:
			voter.Name = string(data)
		case 3:
			voter.Addr = string(data)
		}
	}))
}

// readReply decodes a reply, and the address of the front that it is for.
func readReply(b []byte, reply *lease.Reply, addr *string) error {
	return forEachField(b, boundText(func(n protowire.Number, number uint64, data []byte) {
		switch n {
		case 1:
			reply.Name = string(data)
		case 2:
			reply.To.Name = string(data)
		case 3:
			reply.To.Life = number
		case 4:
			reply.Seq = number
		case 5:
			reply.Token = number
		case 6:
			reply.Holder.Name = string(data)
		case 7:
			reply.Holder.Life = number
		case 8:
			reply.QueuePosition = int(min(number, 1<<20))
		case 9:
			*addr = string(data)
		}
	}))
}
