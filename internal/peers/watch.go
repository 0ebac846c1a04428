package peers

import (
	"google.golang.org/protobuf/encoding/protowire"

	"micatrack/fleet/watch"
)

const (
	kindWatch  = 9
	mostMoment = 1 << 60 // a position, or a need
)

// AppendQuery and AppendAnswer write messages of the watch, whole.
func AppendQuery(dst []byte, fleet string, q *watch.Query) []byte {
	return appendWatch(dst, fleet, func(dst []byte) []byte {
		dst = appendNumber(appendNumber(appendNumber(dst, 1, q.Seq), 2, q.Group), 3, uint64(max(q.Need, 0)))
		return appendText(appendText(dst, 4, []byte(q.Addr)), 6, []byte(q.Store))
	})
}

func AppendAnswer(dst []byte, fleet string, a *watch.Answer) []byte {
	return appendWatch(dst, fleet, func(dst []byte) []byte {
		dst = appendNumber(appendNumber(dst, 1, a.Seq), 2, a.Group)
		for k := range a.Seen {
			s := &a.Seen[k]
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

// ReadWatch takes a message of the watch apart: a question, which names its asker's address, or an answer.
func ReadWatch(b []byte, fleet string) (q *watch.Query, a *watch.Answer, err error) {
	body, ok := framed(b, fleet, kindWatch, 12)
	if !ok {
		return nil, nil, errShape
	}
	var seq, group, need uint64
	var addr, store string
	var seen []watch.Seen
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
			var s watch.Seen
			err := fields(text, short(func(n protowire.Number, number uint64, text []byte) {
				switch n {
				case 1:
					s.Store = string(text)
				case 2:
					s.Position = watch.Time(min(number, mostMoment))
				}
			}))
			if seen = append(seen, s); err != nil || len(seen) > watch.MostSeen {
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
		return &watch.Query{Seq: seq, Group: group, Need: watch.Time(need), Store: store, Addr: addr}, nil, nil
	}
	return nil, &watch.Answer{Seq: seq, Group: group, Seen: seen}, nil
}

// Query and Answer send what the watch has to say.
func (p *Peers) Query(addr string, q watch.Query) { p.raw(addr, AppendQuery(p.buffer(), p.fleet, &q)) }
func (p *Peers) Answer(addr string, a watch.Answer) {
	p.raw(addr, AppendAnswer(p.buffer(), p.fleet, &a))
}

// OnWatch has messages of the watch handed to the loop, by Take.
func (p *Peers) OnWatch(query func(q watch.Query), answer func(a watch.Answer)) {
	p.onQuery, p.onAnswer = query, answer
}

// watched hands on what is a message of the watch.
func (p *Peers) watched(b []byte) bool {
	if p.onQuery == nil {
		return false
	}
	q, a, err := ReadWatch(b, p.fleet)
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
