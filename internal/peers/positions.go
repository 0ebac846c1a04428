package peers

import (
	"google.golang.org/protobuf/encoding/protowire"

	"micatrack/fleet/positions"
)

const (
	kindPosition = 9       // kind of queries for positions and of their answers
	maxPosition  = 1 << 60 // maximum of a position in either
)

// AppendQuery appends the complete encoding of a query for positions to dst.
func AppendQuery(dst []byte, fleet string, q *positions.Query) []byte {
	return appendPositionMessage(dst, fleet, func(dst []byte) []byte {
		dst = appendUint(appendUint(appendUint(dst, 1, q.Seq), 2, q.Group), 3, uint64(max(q.MinPosition, 0)))
		return appendBytes(appendBytes(dst, 4, []byte(q.Addr)), 6, []byte(q.Store))
	})
}

// AppendAnswer appends the complete encoding of an answer to such a query to dst.
func AppendAnswer(dst []byte, fleet string, a *positions.Answer) []byte {
	return appendPositionMessage(dst, fleet, func(dst []byte) []byte {
		dst = appendUint(appendUint(dst, 1, a.Seq), 2, a.Group)
		for k := range a.Positions {
			sp := &a.Positions[k]
			dst = appendEmbedded(dst, 5, func(dst []byte) []byte {
				return appendUint(appendBytes(dst, 1, []byte(sp.Store)), 2, uint64(max(sp.Position, 0)))
			})
		}
		return dst
	})
}

// appendPositionMessage writes the message around a query or an answer.
func appendPositionMessage(dst []byte, fleet string, body func(dst []byte) []byte) []byte {
	dst = appendUint(dst, 1, protocolVersion)
	dst = protowire.AppendString(protowire.AppendTag(dst, 2, protowire.BytesType), fleet)
	return appendEmbedded(appendUint(dst, 3, kindPosition), 12, body)
}

// ReadPositionMessage decodes a query for positions or an answer, and returns the one with a nil for the other. A query is
// recognized by the address of its sender, which an answer does not have.
func ReadPositionMessage(b []byte, fleet string) (q *positions.Query, a *positions.Answer, err error) {
	body, ok := messageBody(b, fleet, kindPosition, 12)
	if !ok {
		return nil, nil, errMalformed
	}
	var seq, group, minPosition uint64
	var addr, store string
	var storePositions []positions.StorePosition
	err = forEachField(body, func(n protowire.Number, number uint64, data []byte) error {
		switch n {
		case 1:
			seq = number
		case 2:
			group = number
		case 3:
			minPosition = number
		case 4:
			addr = string(data)
		case 6:
			store = string(data)
		case 5:
			var sp positions.StorePosition
			err := forEachField(data, boundText(func(n protowire.Number, number uint64, data []byte) {
				switch n {
				case 1:
					sp.Store = string(data)
				case 2:
					sp.Position = positions.Time(min(number, maxPosition))
				}
			}))
			if storePositions = append(storePositions, sp); err != nil || len(storePositions) > positions.MaxPositions {
				return errMalformed
			}
		}
		if n != 5 && len(data) > maxTextBytes || minPosition > maxPosition {
			return errMalformed
		}
		return nil
	})
	switch {
	case err != nil:
		return nil, nil, err
	case addr != "":
		return &positions.Query{Seq: seq, Group: group, MinPosition: positions.Time(minPosition), Store: store, Addr: addr}, nil, nil
	}
	return nil, &positions.Answer{Seq: seq, Group: group, Positions: storePositions}, nil
}

// SendQuery sends a query for positions as a datagram.
func (p *Transport) SendQuery(addr string, q positions.Query) {
	p.enqueue(addr, AppendQuery(p.getBuffer(), p.fleet, &q))
}

// SendAnswer sends the answer to such a query as a datagram.
func (p *Transport) SendAnswer(addr string, a positions.Answer) {
	p.enqueue(addr, AppendAnswer(p.getBuffer(), p.fleet, &a))
}

// OnPositions sets the functions that Receive calls with queries for positions and their answers.
func (p *Transport) OnPositions(query func(q positions.Query), answer func(a positions.Answer)) {
	p.onQuery, p.onAnswer = query, answer
}

// handlePosition passes on a query for positions or an answer, and reports whether b was one.
func (p *Transport) handlePosition(b []byte) bool {
	if p.onQuery == nil {
		return false
	}
	q, a, err := ReadPositionMessage(b, p.fleet)
	switch {
	case err != nil:
		return false
	case q != nil:
		p.onQuery(*q)
	default:
		p.onAnswer(*a)
	}
	p.received.Add(1)
	return true
}
