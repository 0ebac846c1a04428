package peers

import (
	"google.golang.org/protobuf/encoding/protowire"

	"micatrack/fleet/watch"
)

const (
	kindWatch   = 9
	mostAddress = 64 // bytes of an address, and of a store's name
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
	told, named, kind := uint64(0), false, uint64(0)
	var body []byte
	err = fields(b, func(n protowire.Number, number uint64, text []byte) error {
		switch n {
		case 1:
			told = number
		case 2:
			named = string(text) == fleet
		case 3:
			if kind = number; kind != kindWatch {
				return errShape
			}
		case 12:
			body = text
		}
		return nil
	})
	if err != nil || told != version || !named || kind != kindWatch {
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
			if need = number; need > 1<<60 {
				return errShape
			}
		case 4:
			if addr = string(text); len(text) > mostAddress {
				return errShape
			}
		case 6:
			if store = string(text); len(text) > mostAddress {
				return errShape
			}
		case 5:
			var s watch.Seen
			if len(seen) >= watch.MostSeen {
				return errShape
			}
			err := fields(text, func(n protowire.Number, number uint64, text []byte) error {
				switch n {
				case 1:
					if s.Store = string(text); len(text) > mostAddress {
						return errShape
					}
				case 2:
					if s.Position = watch.Time(number); number > 1<<60 {
						return errShape
					}
				}
				return nil
			})
			seen = append(seen, s)
			return err
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
