package peers

import (
	"google.golang.org/protobuf/encoding/protowire"

	"micatrack/fleet/positions"
)

const (
	kindWatch  = 9
	mostMoment = 1 << 60 // a position, or a need
)

// AppendQuery and AppendAnswer write messages of the watch, whole.
func AppendQuery(dst []byte, fleet string, q *positions.Query) []byte {
	return appendWatch(dst, fleet, func(dst []byte) []byte {
		dst = appendNumber(appendNumber(appendNumber(dst, 1, q.Seq), 2, q.Group), 3, uint64(max(q.MinPosition, 0)))
		return appendText(appendText(dst, 4, []byte(q.Addr)), 6, []byte(q.Store))
	})
}

func AppendAnswer(dst []byte, fleet string, a *positions.Answer) []byte {
	return appendWatch(dst, fleet, func(dst []byte) []byte {
		dst = appendNumber(appendNumber(dst, 1, a.Seq), 2, a.Group)
		for k := range a.Positions {
			s := &a.Positions[k]
			dst = appendInside(dst, 5, func(dst []byte) []byte {
				return appendNumber(appendText(dst, 1, []byte(s.Store)), 2, uint64(max(s.Position, 0)))
			})
		}
		return dst
	})
}

func appendWatch(dst []byte, fleet string, body func(dst []byte) []byte) []byte {
	dst = appendNumber(dst, 1, version)
	dst = protowire.AppendString(protowire.AppendTag(dst, 2, protowire.BytesType), fleet)
	return appendInside(appendNumber(dst, 3, kindWatch), 12, body)
}

// ReadPositionMessage takes a message of the watch apart: a question, which names its asker's address, or an answer.
func ReadPositionMessage(b []byte, fleet string) (q *positions.Query, a *positions.Answer, err error) {
	body, ok := framed(b, fleet, kindWatch, 12)
	if !ok {
		return nil, nil, errShape
	}
	var seq, group, need uint64
	var addr, store string
	var seen []positions.StorePosition
	err = fields(body, func(n protowire.Number, number uint64, text []byte) error {
		switch n {
		case 1:
			seq = number
		case 2:
			group = number
		case 3:
			need = number
		case 4:
			addr = string(text)
		case 6:
			store = string(text)
		case 5:
			var s positions.StorePosition
			err := fields(text, short(func(n protowire.Number, number uint64, text []byte) {
				switch n {
				case 1:
					s.Store = string(text)
				case 2:
					s.Position = positions.Time(min(number, mostMoment))
				}
			}))
			if seen = append(seen, s); err != nil || len(seen) > positions.MaxPositions {
				return errShape
			}
		}
		if n != 5 && len(text) > mostText || need > mostMoment {
			return errShape
		}
		return nil
	})
	switch {
	case err != nil:
		return nil, nil, err
	case addr != "":
		return &positions.Query{Seq: seq, Group: group, MinPosition: positions.Time(need), Store: store, Addr: addr}, nil, nil
	}
	return nil, &positions.Answer{Seq: seq, Group: group, Positions: seen}, nil
}

// SendQuery and Answer send what the watch has to say.
func (p *Transport) SendQuery(addr string, q positions.Query) {
	p.raw(addr, AppendQuery(p.buffer(), p.fleet, &q))
}
func (p *Transport) SendAnswer(addr string, a positions.Answer) {
	p.raw(addr, AppendAnswer(p.buffer(), p.fleet, &a))
}

// OnPositions has messages of the watch handed to the loop, by Take.
func (p *Transport) OnPositions(query func(q positions.Query), answer func(a positions.Answer)) {
	p.onQuery, p.onAnswer = query, answer
}

// watched hands on what is a message of the watch.
func (p *Transport) watched(b []byte) bool {
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
	p.taken.Add(1)
	return true
}
