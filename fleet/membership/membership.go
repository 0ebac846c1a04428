// Package membership holds who is there, for one front: what it knows of the others, whom it asks next, what it tells
// on, and when it gives one up. It does no I/O, reads no clock and draws from its own seed: the same calls lead to the
// same actions.
//
// The protocol is SWIM (Das, Gupta, Motivala, DSN 2002): in each period one member is pinged; if it does not answer, a
// few others are asked to ping it; if none of them hears it either it is suspected, and may refute that under a higher
// incarnation before it counts as dead. Facts ride on the pings, each a bounded number of times. Taken from Lifeguard
// (Dadgar, Phillips, Currey, 2018): a front that misses answers doubts itself first and waits longer (health); a
// suspicion runs the shorter the more members have it; a suspect is told first.
//
// Changed here: partners are taken zone by zone, so that every zone is seen from every zone; a front that hears nobody
// declares nobody dead; one that was stopped takes back what it suspected; dead members and the seeds are tried again
// now and then, so that two halves of a cut find each other. Notes of other packages spread along.
package membership

import (
	"fmt"
	"slices"
	"unsafe"

	"micatrack/internal/mwc"
)

const (
	helpers     = 3  // asked to ping in one's place
	confirmers  = 3  // further members' suspicions that make one run its shortest
	mostHealth  = 8  // periods that a sick front takes for one, at most, and one
	fan         = 3  // partners of a round of rumours
	rounds      = 10 // of rumours in a period
	suspicion   = 4  // periods that one runs at the least, for each power of ten of members
	longest     = 4  // times that it runs without a confirmer
	rejoin      = 8  // periods between tries to reach one that is gone, or a seed
	exchange    = 60 // periods between whole exchanges
	forgetAfter = 1200
	repeats     = 4 // times that a fact is sent for each power of ten of members, and once more
	mostZones   = 64
	greetings   = 4 // of strangers in a period at most; and as many tries for each
	strangers   = 8 // periods after its death for which one is kept that never spoke itself
)

// Host is what a front does for this package, at once or later.
type Host interface {
	Send(addr string, m *Message)       // a datagram, which may be lost; m is only valid during the call
	Exchange(addr string)               // ask that address for a whole exchange: Open gives the message
	Member(name, zone string, to State) // what is held of a member has changed
	// Heard is told a note that is newer than what was known of its key, and tells whether others need it too.
	Heard(key []byte, n Note, sinceMade Time) bool
	Log(text string)
}

// Self is the front itself.
type Self struct {
	Name, Zone, Addr string
	Incarnation      uint64 // larger than in its last life, where a clock is to be had
	Seed             uint64
	Period           Time     // of the protocol; a tenth of it passes between rounds of rumours
	Seeds            []string // addresses that are always tried
	Members          int      // held at most, the front included
	NoteLife         Time     // a note older than this is dropped
}

type member struct {
	name, zone, addr string
	incarnation      uint64
	state            State
	since, until     Time   // of the state; a suspicion's end
	direct           Time   // last message of its own; 0: none
	proven           bool   // it has answered a ping, so it is where it says
	by               string // of a suspicion, who had it first
	confirmed        int    // others who have it too
	greeted          int    // tries to have an answer of one that has not given any
	greetedAt        Time
	sent             int // times that its newest fact was told
	queued           bool
	used             bool
}

type note struct {
	key     string
	version uint64
	made    Time
	body    []byte
	sent    int
	most    int
	queued  bool
	used    bool
}

// ping is one that is out. There is one at a time, and those of helpers beside it.
type ping struct {
	to       int32 // -1: none
	seq      uint64
	at       Time
	indirect bool
	nacks    int // still owed by helpers
}

// greeting is a ping to one that has not answered any yet.
type greeting struct {
	seq uint64
	to  int32
}

// favour is a ping in another's place.
type favour struct {
	seq, theirs uint64
	addr, name  string // of the one who asked
	at          Time
	nacked      bool
}

// Members is the view of one front.
type Members struct {
	host    Host
	self    Self
	now     Time
	mwc     mwc.Source
	members []member // the front itself is 0
	byName  map[string]int32
	free    []int32
	notes   []note
	byKey   map[string]int32
	spare   []int32
	queue   spread
	zones   []zone // that members are in, the front's own first
	zoneOf  map[string]int
	turn    int // of the zones, for pings
	out     ping
	favours [16]favour
	greeted [64]greeting
	greetAt int32 // whom to look at next
	seq     uint64
	health  int

	beatAt, pingAt, rejoinAt, exchangeAt, heard Time
	joined, leaving, replaced                   bool
	again                                       bool   // all notes are to be told to the host anew
	rival                                       string // said to go by this front's name elsewhere; empty: none is
	rivalAt                                     Time
	rivalNumber                                 uint64
	msg                                         Message // scratch
	facts                                       []Fact
	told                                        []Note
	named                                       []string
	Dropped                                     uint64 // messages, facts and notes that could not be taken
}

// zone is a ring of the members that may be asked there.
type zone struct {
	name  string
	ring  []int32
	at    int
	heard Time // last message of one of its members; 0: none
}

// New starts a view that holds the front alone.
func New(now Time, s Self, h Host) *Members {
	m := &Members{host: h, self: s, now: now, mwc: mwc.New(s.Seed), byName: map[string]int32{}, byKey: map[string]int32{},
		zoneOf: map[string]int{}, out: ping{to: -1}, beatAt: now, heard: now}
	m.self.Incarnation = max(s.Incarnation, 1)
	m.self.Members = min(max(s.Members, 2), MostFacts)
	m.members = append(m.members, member{name: s.Name, zone: s.Zone, addr: s.Addr, incarnation: m.self.Incarnation,
		since: now, used: true})
	m.byName[s.Name] = 0
	m.zoneAt(s.Zone)
	m.joined = !slices.ContainsFunc(s.Seeds, func(a string) bool { return a != s.Addr })
	m.pingAt, m.rejoinAt, m.exchangeAt = now+m.mwc.Below(s.Period), now, now+m.spreadOut(exchange)
	m.tell(0)
	return m
}

// spreadOut draws a moment within half of so many periods and one and a half.
func (m *Members) spreadOut(periods Time) Time {
	return periods*m.self.Period/2 + m.mwc.Below(periods*m.self.Period)
}

// zoneAt gives a zone's place; past the bound that of one that nobody is in any more, or the last, which is shared.
func (m *Members) zoneAt(name string) int {
	z, ok := m.zoneOf[name]
	if ok {
		return z
	}
	if z = len(m.zones); z < mostZones {
		m.zones = append(m.zones, zone{name: name})
		m.zoneOf[name] = z
		return z
	}
	for z = 1; z < mostZones; z++ {
		if len(m.zones[z].ring) == 0 {
			delete(m.zoneOf, m.zones[z].name)
			m.zones[z] = zone{name: name}
			m.zoneOf[name] = z
			return z
		}
	}
	return mostZones - 1
}

// decades tells how many powers of ten of members there are, one at the least.
func (m *Members) decades() int {
	d := 1
	for n := len(m.byName); n >= 10; n /= 10 {
		d++
	}
	return d
}

// Joined tells whether anybody has told all that it knows, or there is nobody to ask.
func (m *Members) Joined() bool { return m.joined }

// Replaced tells that another process goes by this front's name; this one takes no part any more.
func (m *Members) Replaced() bool { return m.replaced }

// Health is how much the front doubts itself, 0 to 8.
func (m *Members) Health() int { return m.health }

// Alone tells that nobody has been heard for four periods.
func (m *Members) Alone() bool { return m.now-m.heard > 4*m.self.Period }

// ZoneHeard tells when a member of a zone spoke last; 0: never.
func (m *Members) ZoneHeard(name string) Time {
	if z, ok := m.zoneOf[name]; ok {
		return m.zones[z].heard
	}
	return 0
}

// Entry is one member as it is held.
type Entry struct {
	Name, Zone, Addr string
	Incarnation      uint64
	State            State
	Since            Time
}

// List gives all that are held, the front itself first.
func (m *Members) List() []Entry {
	var l []Entry
	for i := range m.members {
		if e := &m.members[i]; e.used {
			l = append(l, Entry{e.name, e.zone, e.addr, e.incarnation, e.state, e.since})
		}
	}
	return l
}

// Next is when Beat must be called again.
func (m *Members) Next() Time { return m.beatAt }

// Publish spreads a note of the front's own. It has to be newer than what is known of its key. An urgent one goes
// before all else and is told until all have surely heard it.
func (m *Members) Publish(now Time, key string, version uint64, body []byte, urgent bool) {
	m.now = now
	i, ok := m.byKey[key]
	if !ok {
		if i = m.noteSlot(key); i < 0 {
			m.Dropped++
			return
		}
	}
	n := &m.notes[i]
	n.version, n.made, n.body = version, now, append(n.body[:0], body...)
	m.tellNote(i, urgent)
}

func (m *Members) noteSlot(key string) int32 {
	if len(m.spare) == 0 {
		if len(m.notes) >= 2*m.self.Members {
			return -1
		}
		m.notes = append(m.notes, note{})
		m.spare = append(m.spare, int32(len(m.notes)-1))
	}
	i := m.spare[len(m.spare)-1]
	m.spare = m.spare[:len(m.spare)-1]
	m.notes[i] = note{key: key, used: true, queued: m.notes[i].queued, body: m.notes[i].body[:0]}
	m.byKey[key] = i
	return i
}

// tell has a member's fact told on.
func (m *Members) tell(i int32) {
	e := &m.members[i]
	if e.sent = 0; !e.queued {
		e.queued = true
		m.queue.pushFront(i)
	}
}

func (m *Members) tellNote(i int32, urgent bool) {
	n := &m.notes[i]
	n.sent, n.most = 0, repeats*m.decades()+1
	if !urgent {
		n.most = (n.most + 1) / 2
	}
	if !n.queued {
		n.queued = true
		if urgent {
			m.queue.pushFront(-1 - i)
		} else {
			m.queue.pushBack(-1 - i)
		}
	}
}

// fact gives what is held of a member, in the bytes of its strings.
func (m *Members) fact(i int32) Fact {
	e := &m.members[i]
	return Fact{Name: view(e.name), Zone: view(e.zone), Addr: view(e.addr), By: view(e.by), Incarnation: e.incarnation,
		State: e.state}
}

// load fills a message with what is next to be told, first what is held of the one it goes to.
func (m *Members) load(to int32) {
	m.facts, m.told = m.facts[:0], m.told[:0]
	room := datagram
	if to > 0 && m.members[to].state == Suspect { // who is suspected is told first, and may refute it
		f := m.fact(to)
		m.facts = append(m.facts, f)
		room -= f.size()
	}
	for k := m.queue.held; k > 0; k-- {
		v := m.queue.pop()
		again := false
		if v >= 0 {
			e := &m.members[v]
			if f := m.fact(v); !e.used {
				e.queued = false
				continue
			} else if f.size() > room {
				m.queue.pushFront(v)
				break
			} else {
				room -= f.size()
				m.facts = append(m.facts, f)
			}
			e.sent++
			again = e.sent < repeats*m.decades()+1
			e.queued = again
		} else {
			n := &m.notes[-1-v]
			if t := (Note{view(n.key), n.version, m.now - n.made, n.body}); !n.used || n.most == 0 || t.Age > m.self.NoteLife {
				n.queued = false
				continue
			} else if t.size() > room {
				m.queue.pushFront(v)
				break
			} else {
				room -= t.size()
				m.told = append(m.told, t)
			}
			n.sent++
			again = n.sent < n.most
			n.queued = again
		}
		if again {
			m.queue.pushBack(v)
		}
	}
	m.msg.Facts, m.msg.Notes = m.facts, m.told
}

func (m *Members) send(addr string, k Kind, seq uint64, to int32, name string) {
	if m.replaced || addr == "" {
		return
	}
	m.load(to)
	m.msg.Kind, m.msg.Seq, m.msg.Sender, m.msg.To = k, seq, m.fact(0), view(name)
	m.host.Send(addr, &m.msg)
	m.msg.Target, m.msg.TargetAddr = nil, nil
}

// Open gives the message that begins a whole exchange, or the one that answers it.
func (m *Members) Open(k Kind) *Message {
	m.facts, m.told = m.facts[:0], m.told[:0]
	for i := range m.members {
		if m.members[i].used && (i > 0) {
			m.facts = append(m.facts, m.fact(int32(i)))
		}
	}
	for i := range m.notes {
		if n := &m.notes[i]; n.used && m.now-n.made <= m.self.NoteLife {
			m.told = append(m.told, Note{view(n.key), n.version, m.now - n.made, n.body})
		}
	}
	m.msg = Message{Kind: k, Sender: m.fact(0), Facts: m.facts, Notes: m.told}
	return &m.msg
}

// Take takes a message in. It tells whether an answer with all that is known is asked for.
func (m *Members) Take(now Time, in *Message) (answer bool) {
	m.now = now
	if m.replaced || !in.Sender.sound() || len(in.Facts) > MostFacts || len(in.Notes) > MostNotes {
		m.Dropped++
		return false
	}
	if len(in.To) > 0 && string(in.To) != m.self.Name {
		m.Dropped++ // meant for one that had this address before
		return false
	}
	if string(in.Sender.Name) == m.self.Name {
		m.twin(&in.Sender)
		return false
	}
	m.learn(&in.Sender)
	from, ok := m.byName[string(in.Sender.Name)]
	if !ok || from == 0 || m.replaced {
		return false
	}
	e := &m.members[from]
	if in.Sender.Incarnation < e.incarnation {
		m.Dropped++ // of an earlier life of its name, or of a life whose clock was set back: it is told
		if in.Kind == Ping {
			m.facts = append(m.facts[:0], m.fact(from))
			m.msg = Message{Kind: Rumour, Sender: m.fact(0), To: in.Sender.Name, Facts: m.facts}
			m.host.Send(string(in.Sender.Addr), &m.msg)
		}
		return in.Kind == Whole
	}
	e.direct, m.heard = now, now
	m.zones[m.zoneAt(e.zone)].heard = now
	if in.Sender.State == Alive && e.state == Suspect && in.Sender.Incarnation == e.incarnation {
		// Danger: it lives and has not heard that it is suspected; told in the answer, it refutes that for all.
		m.tell(from)
	}
	for k := range in.Facts {
		f := &in.Facts[k]
		if f.State == Dead && in.Kind >= Whole {
			// Danger: two halves of a cut would bury each other's members when they meet. Each may speak up first.
			f.State, f.By = Suspect, in.Sender.Name
		}
		m.learn(f)
	}
	for k := range in.Notes {
		m.hear(&in.Notes[k])
	}
	if m.replaced {
		return false
	}
	switch in.Kind {
	case Ping:
		m.send(m.members[from].addr, Ack, in.Seq, from, m.members[from].name)
	case Ack:
		m.acked(from, in.Seq)
	case Ask:
		m.oblige(from, in)
	case Nack:
		if m.out.to >= 0 && in.Seq == m.out.seq && m.out.nacks > 0 {
			m.out.nacks--
		}
	case Whole:
		m.joined = true
		return true
	case Answer:
		if m.joined = true; m.again {
			m.again = false
			m.retell()
		}
	}
	return false
}

// oblige pings in another's place.
func (m *Members) oblige(from int32, in *Message) {
	if len(in.TargetAddr) == 0 || len(in.TargetAddr) > MostAddr || len(in.Target) > MostName {
		m.Dropped++
		return
	}
	to, ok := m.byName[string(in.Target)]
	if !ok || to == 0 { // Danger: a front that pings whatever address it is told can be set on others.
		m.Dropped++
		return
	}
	m.seq++
	f := &m.favours[m.seq%uint64(len(m.favours))]
	*f = favour{m.seq, in.Seq, m.members[from].addr, m.members[from].name, m.now, false}
	m.send(m.members[to].addr, Ping, m.seq, to, m.members[to].name)
}

func (m *Members) acked(from int32, seq uint64) {
	if g := &m.greeted[seq%uint64(len(m.greeted))]; g.seq == seq && g.to > 0 { // it, or a helper that has heard it
		m.members[g.to].proven, g.to = true, 0
	}
	if m.out.to == from && m.out.seq == seq {
		m.members[from].proven = true
		if m.out.to = -1; !m.out.indirect {
			m.health = max(m.health-1, 0)
		}
		return
	}
	if f := &m.favours[seq%uint64(len(m.favours))]; f.seq == seq && f.addr != "" {
		m.send(f.addr, Ack, f.theirs, -1, f.name)
		*f = favour{}
	}
	if m.out.to >= 0 && m.out.indirect && m.out.seq == seq {
		m.out.to = -1 // a helper's: the target has answered it
	}
}

// learn takes one fact in.
func (m *Members) learn(f *Fact) {
	if !f.sound() {
		m.Dropped++
		return
	}
	i, known := m.byName[string(f.Name)]
	if known && i == 0 {
		m.ofMyself(f)
		return
	}
	if !known {
		if f.State == Dead || f.State == Left {
			return // nothing would follow from it
		}
		if i = m.slot(); i < 0 {
			m.Dropped++
			return
		}
		m.members[i] = member{name: string(f.Name), zone: string(f.Zone), addr: string(f.Addr), incarnation: f.Incarnation,
			state: Dead, used: true, queued: m.members[i].queued, since: m.now}
		m.byName[m.members[i].name] = i
		m.into(m.members[i].zone, i)
		m.become(i, f)
		return
	}
	e := &m.members[i]
	newer := f.Incarnation > e.incarnation
	switch {
	case f.Incarnation < e.incarnation:
	case f.State == Alive && newer, f.State == Suspect && newer:
		if e.zone != string(f.Zone) || e.addr != string(f.Addr) {
			m.move(i, f)
		}
		m.become(i, f)
	case f.State == Suspect && e.state == Suspect:
		m.confirm(i, f.By)
	case f.State > e.state && (f.State != Left || e.state != Dead): // the graver one holds within an incarnation
		m.become(i, f)
	}
}

// into puts a member into its zone's ring, anywhere: fronts must not all ask in one order.
func (m *Members) into(name string, i int32) {
	z := &m.zones[m.zoneAt(name)]
	z.ring = append(z.ring, i)
	at, last := int(m.mwc.Below(int64(len(z.ring)))), len(z.ring)-1
	z.ring[at], z.ring[last] = z.ring[last], z.ring[at]
}

func (m *Members) outOf(name string, i int32) {
	z := &m.zones[m.zoneAt(name)]
	z.ring = slices.DeleteFunc(z.ring, func(v int32) bool { return v == i })
}

func (m *Members) move(i int32, f *Fact) {
	e := &m.members[i]
	if e.zone != string(f.Zone) {
		m.outOf(e.zone, i)
		e.zone = string(f.Zone)
		m.into(e.zone, i)
	}
	e.addr, e.proven, e.greeted = string(f.Addr), false, 0
}

// become holds something else of a member, and tells it on.
func (m *Members) become(i int32, f *Fact) {
	e := &m.members[i]
	was := e.state
	e.incarnation, e.state, e.since, e.by, e.confirmed = f.Incarnation, f.State, m.now, "", 0
	if f.State == Suspect {
		e.by = string(f.By)
		e.until = m.now + m.runs(0)
	}
	m.tell(i)
	if was != e.state || was == Dead {
		m.host.Member(e.name, e.zone, e.state)
	}
}

// runs tells how long a suspicion runs that so many more members have.
func (m *Members) runs(confirmed int) Time {
	least := suspicion * Time(m.decades()) * m.self.Period * Time(1+m.health)
	return least * Time(longest-(longest-1)*min(confirmed, confirmers)/confirmers)
}

func (m *Members) confirm(i int32, by []byte) {
	e := &m.members[i]
	if e.confirmed >= confirmers || string(by) == e.by {
		return
	}
	e.confirmed++
	e.by = string(by)
	e.until = min(e.until, e.since+m.runs(e.confirmed))
	m.tell(i)
}

// ofMyself: what others say of this front.
func (m *Members) ofMyself(f *Fact) {
	e := &m.members[0]
	if f.Incarnation < e.incarnation || m.leaving {
		return
	}
	if f.State == Alive {
		if f.Incarnation > e.incarnation && string(f.Addr) != e.addr && m.rival == "" {
			m.rival, m.rivalAt, m.rivalNumber = string(f.Addr), m.now, f.Incarnation
			m.send(m.rival, Ping, 0, -1, e.name) // if it lives it answers, else it was a life before this one
		}
		if f.Incarnation > e.incarnation && string(f.Addr) == e.addr { // from before a clock was set back
			e.incarnation = f.Incarnation + 1
			m.tell(0)
		}
		return
	}
	e.incarnation = f.Incarnation + 1
	m.health = min(m.health+1, mostHealth)
	m.tell(0)
}

// twin: a message came from another that goes by this front's name.
// Danger: the two would refute each other for ever. The newer life holds, and the older takes no part any more.
func (m *Members) twin(f *Fact) {
	e := &m.members[0]
	if string(f.Addr) == e.addr {
		return // of this front's own, or of its last life
	}
	if m.rival = ""; f.Incarnation < e.incarnation || f.Incarnation == e.incarnation && string(f.Addr) < e.addr {
		m.send(string(f.Addr), Ack, 0, -1, e.name)
		return
	}
	m.replaced = true
	m.host.Log("another front goes by this name, at " + string(f.Addr) + "; this one takes no part any more")
}

// slot gives a new member its place: a free one, or that of the one dead longest.
func (m *Members) slot() int32 {
	if len(m.free) == 0 && len(m.members) < m.self.Members {
		m.members = append(m.members, member{})
		return int32(len(m.members) - 1)
	}
	if len(m.free) == 0 {
		oldest := int32(-1)
		for i := range m.members {
			if e := &m.members[i]; i > 0 && e.state >= Dead && (oldest < 0 || e.since < m.members[oldest].since) {
				oldest = int32(i)
			}
		}
		if oldest < 0 {
			return -1
		}
		m.forget(oldest)
	}
	i := m.free[len(m.free)-1]
	m.free = m.free[:len(m.free)-1]
	return i
}

// forget is the one place where a member's place is given back.
func (m *Members) forget(i int32) {
	e := &m.members[i]
	m.outOf(e.zone, i)
	delete(m.byName, e.name)
	if m.out.to == i {
		m.out.to = -1
	}
	for k := range m.greeted {
		if m.greeted[k].to == i {
			m.greeted[k].to = 0
		}
	}
	*e = member{queued: e.queued}
	m.free = append(m.free, i)
}

// hear takes a note in.
func (m *Members) hear(n *Note) {
	if !n.sound() || n.Age > m.self.NoteLife {
		m.Dropped++
		return
	}
	i, known := m.byKey[string(n.Key)]
	if known && (n.Version < m.notes[i].version || n.Version == m.notes[i].version) {
		return
	}
	if !known {
		if i = m.noteSlot(string(n.Key)); i < 0 {
			m.Dropped++
			return
		}
	}
	t := &m.notes[i]
	t.version, t.made, t.body = n.Version, m.now-n.Age, append(t.body[:0], n.Body...)
	if m.host.Heard(n.Key, Note{n.Key, n.Version, n.Age, t.body}, n.Age) {
		m.tellNote(i, n.Key[0] != Quiet)
	} else {
		m.Hush(m.notes[i].key) // the host may have published, and moved them
	}
}

// Hush ends the telling of a note; whole exchanges hold it all the same.
func (m *Members) Hush(key string) {
	if i, ok := m.byKey[key]; ok {
		m.notes[i].sent, m.notes[i].most = 0, 0
	}
}

// retell gives the host all notes once more: one that stood still acts on none from before.
func (m *Members) retell() {
	for i := 0; i < len(m.notes); i++ { // what the host makes of one may add others
		if n := &m.notes[i]; n.used && m.now-n.made <= m.self.NoteLife {
			m.host.Heard(view(n.key), Note{view(n.key), n.version, m.now - n.made, n.body}, m.now-n.made)
		}
	}
}

// Quiet begins the keys of notes that are of use to few, and are told fewer times.
const Quiet = 'e'

// Beat does what is due.
func (m *Members) Beat(now Time) {
	late := now - m.beatAt
	m.now = now
	if now < m.beatAt {
		return
	}
	m.beatAt = now + max(m.self.Period/rounds, 1)
	if m.replaced {
		return
	}
	if late > m.self.Period {
		m.overslept(late)
	}
	if m.leaving {
		m.gossip()
		return
	}
	if m.Alone() && m.health < mostHealth && len(m.byName) > 1 {
		m.health = mostHealth
	}
	if e := &m.members[0]; m.rival != "" && now-m.rivalAt > 2*m.self.Period {
		e.incarnation, m.rival = max(e.incarnation, m.rivalNumber)+1, ""
		m.tell(0)
	}
	m.watchPing()
	for i := range m.favours {
		if f := &m.favours[i]; f.addr != "" && !f.nacked && now-f.at >= m.self.Period/4 {
			f.nacked = true
			m.send(f.addr, Nack, f.theirs, -1, f.name)
		}
	}
	if now >= m.pingAt {
		m.pingAt = now + m.self.Period*Time(1+m.health)
		m.greet()
		m.pingNext()
	}
	m.age()
	m.gossip()
	m.reach()
}

// overslept: this process stood still.
// Danger: whoever did not answer meanwhile may have; it was this front that did not listen.
func (m *Members) overslept(late Time) {
	m.out.to = -1
	m.health = min(m.health+2, mostHealth)
	m.heard, m.pingAt = max(m.heard, m.now-m.self.Period), m.now
	for i := range m.members {
		if e := &m.members[i]; e.state == Suspect {
			e.until += late
		}
	}
	m.rejoinAt, m.exchangeAt, m.again = m.now, m.now, true
	m.host.Log(fmt.Sprintf("stood still for %d ms; nobody is judged by that", late/10))
}

func (m *Members) watchPing() {
	if m.out.to < 0 {
		return
	}
	e, wait := &m.members[m.out.to], m.self.Period*Time(1+m.health)
	if !m.out.indirect && m.now-m.out.at >= wait*2/5 {
		m.out.indirect = true
		m.out.nacks = m.askOthers(m.out.to, m.out.seq)
	} else if m.now-m.out.at >= wait*9/10 {
		// Those who were asked did not even say that they were: it may be this front. One that never answered tells nothing.
		if e.proven && (m.out.nacks > 0 || m.Alone()) {
			m.health = min(m.health+1, mostHealth)
		}
		if e.state == Alive {
			m.learn(&Fact{Name: view(e.name), Zone: view(e.zone), Addr: view(e.addr), By: view(m.self.Name),
				Incarnation: e.incarnation, State: Suspect})
		}
		m.out.to = -1
	}
}

// askOthers asks helpers of different zones to ping one that does not answer, and tells how many were asked.
func (m *Members) askOthers(to int32, seq uint64) (asked int) {
	e := &m.members[to]
	for k := range helpers {
		h := m.pick((m.turn+k)%len(m.zones), to)
		if h < 0 {
			continue
		}
		asked++
		m.msg.Target, m.msg.TargetAddr = view(e.name), view(e.addr)
		m.send(m.members[h].addr, Ask, seq, h, m.members[h].name)
	}
	return asked
}

// pick gives a member of a zone that may be asked, by chance, one that has answered before if there is any; of another
// zone where that has none. -1: there is none.
func (m *Members) pick(z int, not int32) int32 {
	if i := m.pickOf(z, not, true); i >= 0 {
		return i
	}
	return m.pickOf(z, not, false)
}

func (m *Members) pickOf(z int, not int32, proven bool) int32 {
	for n := 0; n < len(m.zones); n++ {
		ring := m.zones[(z+n)%len(m.zones)].ring
		if len(ring) == 0 {
			continue
		}
		at := int(m.mwc.Below(int64(len(ring))))
		for k := range ring {
			if i := ring[(at+k)%len(ring)]; i != not && m.members[i].state <= Suspect && m.members[i].proven == proven {
				return i
			}
		}
	}
	return -1
}

// pingNext pings the next member of the next zone: within as many periods as zones every zone is asked.
func (m *Members) pingNext() {
	if m.out.to >= 0 {
		return
	}
	for range m.zones {
		m.turn = (m.turn + 1) % len(m.zones)
		z := &m.zones[m.turn]
		for k := 0; k < len(z.ring); k++ {
			z.at++
			if z.at >= len(z.ring) {
				z.at = 0
				for n := len(z.ring) - 1; n > 0; n-- { // another order each time round
					o := m.mwc.Below(int64(n + 1))
					z.ring[n], z.ring[o] = z.ring[o], z.ring[n]
				}
			}
			i := z.ring[z.at]
			if e := &m.members[i]; e.proven && e.state <= Suspect {
				m.seq++
				m.out = ping{to: i, seq: m.seq, at: m.now}
				m.send(e.addr, Ping, m.seq, i, e.name)
				return
			}
		}
	}
}

// greet asks some of those that have never answered, beside the ordinary ping.
// Danger: hundreds of made-up members would take the pings of those that live, and look like a network that is down.
func (m *Members) greet() {
	left := greetings
	m.greetAt = int32(m.mwc.Below(int64(len(m.members)))) // all have the list in one order, and would leave the same ones for last
	for range m.members {
		if m.greetAt++; int(m.greetAt) >= len(m.members) {
			m.greetAt = 1
		}
		if int(m.greetAt) >= len(m.members) {
			return
		}
		e := &m.members[m.greetAt]
		if !e.used || e.proven || e.state > Suspect || m.now-e.greetedAt < m.self.Period {
			continue
		}
		if e.greetedAt = m.now; e.greeted < greetings {
			e.greeted++
			m.seq++
			m.greeted[m.seq%uint64(len(m.greeted))] = greeting{m.seq, m.greetAt}
			if e.greeted == greetings {
				m.askOthers(m.greetAt, m.seq)
			} else {
				m.send(e.addr, Ping, m.seq, m.greetAt, e.name)
			}
		} else if e.greeted = 0; e.state == Alive && !m.Alone() {
			m.learn(&Fact{Name: view(e.name), Zone: view(e.zone), Addr: view(e.addr), By: view(m.self.Name),
				Incarnation: e.incarnation, State: Suspect})
		}
		if left--; left == 0 {
			return
		}
	}
}

// age ends suspicions, and forgets.
func (m *Members) age() {
	for i := 1; i < len(m.members); i++ {
		e := &m.members[i]
		switch {
		case !e.used:
		case e.state == Suspect && m.now >= e.until:
			// Danger: a front without its own network would declare all others dead, and say so when it is back.
			if m.Alone() {
				e.until = m.now + m.self.Period
				continue
			}
			m.learn(&Fact{Name: view(e.name), Zone: view(e.zone), Addr: view(e.addr), Incarnation: e.incarnation, State: Dead})
		case e.state >= Dead && m.now-e.since > forgetAfter*m.self.Period,
			e.state >= Dead && e.direct == 0 && m.now-e.since > strangers*m.self.Period:
			m.forget(int32(i))
		}
	}
	for i := range m.notes {
		if n := &m.notes[i]; n.used && m.now-n.made > m.self.NoteLife {
			delete(m.byKey, n.key)
			n.used = false
			m.spare = append(m.spare, int32(i))
		}
	}
}

// gossip tells what is left to tell, to one member of the next zone and some others.
func (m *Members) gossip() {
	for k := 0; k < fan && m.queue.held > 0; k++ {
		z := int(m.mwc.Below(int64(len(m.zones))))
		i := m.pick(z, 0)
		if k == fan-1 && len(m.members) > 1 {
			// Danger: a front that is new to most of its fleet has answered few of them, and would be told last of all.
			if o := int32(1 + m.mwc.Below(int64(len(m.members)-1))); m.members[o].used && m.members[o].state <= Suspect {
				i = o
			}
		}
		if i > 0 {
			m.send(m.members[i].addr, Rumour, 0, i, m.members[i].name)
		}
	}
}

// reach asks for whole exchanges: of the seeds until one has answered, of one that is gone now and then, and of any.
func (m *Members) reach() {
	if m.now >= m.rejoinAt {
		m.rejoinAt = m.now + m.spreadOut(rejoin)
		if !m.joined {
			m.rejoinAt = m.now + m.spreadOut(1)
			for _, a := range m.self.Seeds {
				if a != m.self.Addr {
					m.host.Exchange(a)
				}
			}
		} else if a := m.lost(); a != "" {
			m.host.Exchange(a)
		}
	}
	if m.now >= m.exchangeAt {
		m.exchangeAt = m.now + m.spreadOut(exchange)
		if i := m.pick(int(m.mwc.Below(int64(len(m.zones)))), 0); i > 0 {
			m.host.Exchange(m.members[i].addr)
		}
	}
}

// lost gives the address of a member that is dead, or of a seed that no living member has: there may be another half.
func (m *Members) lost() string {
	n := int(m.mwc.Below(int64(len(m.members) + len(m.self.Seeds))))
	for k := range len(m.members) + len(m.self.Seeds) {
		at := (n + k) % (len(m.members) + len(m.self.Seeds))
		if at < len(m.members) {
			if e := &m.members[at]; e.used && e.state == Dead && e.direct > 0 {
				return e.addr
			}
			continue
		}
		a := m.self.Seeds[at-len(m.members)]
		held := a == m.self.Addr
		for i := range m.members {
			held = held || m.members[i].addr == a && m.members[i].state <= Suspect
		}
		if !held {
			return a
		}
	}
	return ""
}

// Leave says goodbye. Beat spreads it until the front ends.
func (m *Members) Leave(now Time) {
	if m.now = now; m.leaving || m.replaced {
		return
	}
	m.leaving = true
	m.members[0].state = Left
	m.tell(0)
	for range 2 * fan {
		if i := m.pick(int(m.mwc.Below(int64(len(m.zones)))), 0); i > 0 {
			m.send(m.members[i].addr, Rumour, 0, i, m.members[i].name)
			m.tell(0)
		}
	}
}

// view gives a string's bytes without a copy; they are only read, and only during a call.
func view(s string) []byte { return unsafe.Slice(unsafe.StringData(s), len(s)) }

// Zones gives the names of all zones that members are or were in. The slice is only valid until the next call.
func (m *Members) Zones() []string {
	m.named = m.named[:0]
	for i := range m.zones {
		m.named = append(m.named, m.zones[i].name)
	}
	return m.named
}
