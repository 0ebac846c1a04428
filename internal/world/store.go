package world

import (
	"encoding/binary"
	"math"

	"micatrack/internal/front"
	"micatrack/internal/pgwire"
	"micatrack/internal/standin"
)

// Store is one stand-in store: cores, a queue, and the cold time after a start.
type Store struct {
	Node
	Group *standin.Group
	Probes, Connects, Attempts,
	Full, Fell int
	Peak float64 // largest part of what it bears while cold that it was sent; at 1 it falls over
	Told float64 // the same of what fronts sent that had been told of its start, and with less put down to chance
	// Spoils, if it is set, gives what is said in place of an answer, and whether the connection breaks behind it.
	Spoils func(answer []byte) (said []byte, breaks bool)

	w      *World
	addr   string
	conns  map[*link]bool
	down   bool
	upAt   Time // when it came up cold; 0: long ago
	busy   int
	waits  []work
	recent []Time // when requests came of late, while it is cold
	aware  []Time // of them those of fronts that had been told of the start
	life   int
}

// work is one request at a store.
type work struct {
	l    *link
	text []byte
}

// Down has the machine's system refuse connections and break those that stand.
func (s *Store) Down() {
	s.down = true
	s.life++
	s.busy, s.waits = 0, nil
	var open []*link
	for l := range s.conns {
		open = append(open, l)
	}
	sortLinks(open)
	for _, l := range open {
		l.hang()
	}
	clear(s.conns)
}

// Up starts it again, cold; the list tells its start.
func (s *Store) Up() {
	if !s.down {
		s.Down()
	}
	s.down, s.upAt, s.recent, s.aware, s.Peak, s.Told = false, s.w.Now, nil, nil, 0, 0
	s.w.Change(func(l *front.StoreEntry) {
		if l.ID == s.Name {
			l.Started = s.upAt
		}
	})
}

// strength is the part of its work that it does now.
func (s *Store) strength(at Time) float64 {
	c := &s.w.Settings
	if s.upAt == 0 || at >= s.upAt+c.WarmupTime || c.WarmupTime == 0 {
		return 1
	}
	return c.StartCapacity + (1-c.StartCapacity)*float64(at-s.upAt)/float64(c.WarmupTime)
}

func (s *Store) accept(l *link) {
	if s.down {
		l.hang()
		return
	}
	s.Connects++
	s.conns[l] = true
}

func (s *Store) ended(l *link) { delete(s.conns, l) }

func (s *Store) took(l *link, b []byte) {
	if !s.conns[l] {
		return
	}
	l.buf = append(l.buf, b...)
	for {
		if !l.greeted {
			if len(l.buf) < 4 || len(l.buf) < int(binary.BigEndian.Uint32(l.buf)) {
				return
			}
			l.buf, l.greeted = l.buf[binary.BigEndian.Uint32(l.buf):], true
			l.push(standin.StartupResponse())
			continue
		}
		kind, body, n, err := pgwire.ParseMessage(l.buf, pgwire.MaxQuerySize)
		if err != nil || n > 0 && kind != 'Q' {
			delete(s.conns, l)
			l.hang()
			return
		}
		if n == 0 {
			return
		}
		text := append([]byte(nil), body[:len(body)-1]...)
		l.buf = l.buf[n:]
		s.asked(work{l, text})
	}
}

func (s *Store) asked(j work) {
	if len(j.text) == 0 {
		j.l.push(standin.EmptyResponse())
		return
	}
	if string(j.text) == standin.ProbeQuery {
		s.Probes++
		j.l.push(s.Group.Execute(s.Name, j.text))
		return
	}
	s.Attempts++
	j.l.f.Sent++
	s.bears(j.l.f.knows[s.Name] >= s.upAt)
	if s.w.Queue > 0 && len(s.waits) >= s.w.Queue {
		s.Full++
		j.l.push(standin.FullResponse())
		return
	}
	if q, err := pgwire.ParseQuery(j.text); err == nil {
		s.w.sent[string(q.ID)] = s.w.Now - s.w.Delay
	}
	s.waits = append(s.waits, j)
	s.work()
}

// work begins what there are cores for.
func (s *Store) work() {
	for s.busy < s.w.Cores && len(s.waits) > 0 {
		j := s.waits[0]
		s.waits = s.waits[1:]
		s.busy++
		life := s.life
		takes := float64(s.w.Takes) / s.strength(s.w.Now)
		s.w.At(Time(math.Ceil(takes)), func() {
			if s.life != life {
				return
			}
			s.busy--
			answer, breaks := s.Group.Execute(s.Name, j.text), false
			if s.Spoils != nil {
				answer, breaks = s.Spoils(answer)
			}
			if s.conns[j.l] {
				j.l.push(answer)
			}
			if breaks && s.conns[j.l] {
				delete(s.conns, j.l)
				j.l.hang()
			}
			s.work()
		})
	}
}

// bears notes a request while the store is cold, and lets it fall over where too many come in one span.
func (s *Store) bears(told bool) {
	c, now := &s.w.Settings, s.w.Now
	if s.upAt == 0 || now >= s.upAt+c.WarmupTime+c.ColdOverloadSpan {
		return
	}
	s.recent = append(s.recent, now)
	for now-s.recent[0] >= c.ColdOverloadSpan {
		s.recent = s.recent[1:]
	}
	bears := s.budget(s.recent[0])
	if told {
		for s.aware = append(s.aware, now); now-s.aware[0] >= c.ColdOverloadSpan; {
			s.aware = s.aware[1:]
		}
		n := s.budget(s.aware[0])
		s.Told = max(s.Told, float64(len(s.aware))/(n+2*math.Sqrt(n)+2))
	}
	part := float64(len(s.recent)) / (bears + 3*math.Sqrt(bears) + 3) // chance alone brings that many now and then
	if s.Peak = max(s.Peak, part); part > 1 {
		s.Fell++
		s.Down()
	}
}

// budget is how many requests the settings allow in a span that begins then.
func (s *Store) budget(at Time) float64 {
	c := &s.w.Settings
	return float64(s.w.Cores) / float64(s.w.Takes) * s.strength(at) * c.ColdOverloadFactor * float64(c.ColdOverloadSpan)
}
