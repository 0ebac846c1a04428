// Package zones holds what one front thinks of each zone's stores together with the other fronts of its fleet, and
// what follows: which part of ordinary traffic may go to a zone. It does no I/O, reads no clock and draws nothing by
// chance: the same calls lead to the same actions.
//
// A plan is advice. It narrows what the decision module does by itself and never widens it, so it needs no quorum and
// can be had on both sides of a cut; a front without peers or with an old plan does what it does today.
//
// Evidence is a pair of bits for each store of a zone, by the hash of its name: seen of late, and its last end was a
// failure. Bits of many observers merge: of each store the more votes decide, failures twice, so one front that is busy, or sick,
// counts as one, and one store that is bad counts as one store. What a zone's fronts see together is that zone's voice,
// and the voices are kept by pairs of zones: "A cannot reach B" may mean that B is gone, that A is cut off, or that
// the link between them is. Silence is no evidence.
//
// Plans are rows, one for each pair: what fronts of one zone send to another. A front sets the rows of its own
// zone alone, so what both sides of a cut decide never meets.
//
// The way back is a ramp of fractions of each front's own demand, never above what a store that started cold at the
// first successful trial can take. That is why a fleet in two halves keeps the sum: each half's fraction is of its own.
package zones

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Time is a moment or a span in whole tenths of a millisecond.
type Time = int64

// State of a row.
type State uint8

const (
	Steady    State = iota
	Doubted         // somebody's stores fail there; nothing follows yet
	Leaving         // decided, and a part stays because the rest could not bear all
	Away            // nothing ordinary goes there, but for trials
	Returning       // a ramp
)

func (s State) String() string {
	if s > Returning {
		return "unknown"
	}
	return [...]string{"steady", "doubted", "leaving", "away", "returning"}[s]
}

// End is how a trip, a probe or a connect to a store came back, as far as it says anything of the way there.
type End uint8

const (
	Answered  End = iota // in whatever way
	Refused              // no connection
	Silent               // no answer in time
	BrokenOff            // the connection was lost under it
)

const (
	slots       = 64   // of a zone's stores in evidence; past that stores share them
	most        = 0.75 // of the stores seen that fail where a zone does,
	covered     = 0.5  // and of all its stores that are seen failing before it is left
	graver      = 2    // votes of one that saw a store fail: what others saw there may be of before
	few         = 0.25 // that fail where it does not
	steps       = 8    // of the ramp
	trialers    = 2    // fronts of each zone that try a zone that is away
	mostZones   = 64
	ease        = 1.0 / 64
	refreshBits = 16 // of an order's version
	mostPause   = 64 // periods between notes of evidence that nothing came of
	half        = 0.5
	full        = 0.85 // of what the rest can do that it may be asked for
	drought     = 3    // failures in a row, with no answer from anywhere, that may be this front's own network
	enough      = 2    // fronts that have told the same, past which one more changes nothing
	// LongestOrder is how long an order by hand may last: a day.
	LongestOrder = Time(24 * 3600 * 10_000)
)

// Host is what a front does for this package.
type Host interface {
	Part(zone string, part float64) // of ordinary traffic that may go there, 0 to 1
	Publish(key string, version uint64, body []byte, urgent bool)
	Hush(key string) // the note that it holds of this key need not be told on
	Log(text string)
}

// Self is the front itself, with the settings' figures that everything here is a ratio of.
type Self struct {
	Name, Zone  string
	Incarnation uint64
	Period      Time    // of the membership protocol
	Observers   int     // at most
	StartShare  float64 // part of its capacity with which a store starts
	Cold        Time    // by then it is warm
	FallSpan    Time    // for so long a store must be overdone before it falls over
	NoteLife    Time    // a note older than that counts for nothing
}

// Store is one line of the list.
type Store struct {
	ID, Zone string
	Size     float64
	Open     bool // new work may go there
}

type store struct {
	id    string // empty: the place is free
	zone  int
	slot  uint8
	size  float64
	open  bool
	last  End
	at    Time // of the last end
	named bool
}

type zone struct {
	name       string
	size       float64 // of the open stores
	total      uint64  // slots of all its stores
	seen, fail uint64  // this front's
	counts     [4]float64
	countedAt  Time
	fronts     int  // there, this one included
	heard      Time // last message of one of them
	row        row  // from this front's zone
	told       float64
	others     []heardRow // what other zones' fronts do about it, by zone
	order      order
	orderUntil Time
	orderHeard Time
	orderAt    uint64 // version of the newest, without its refreshes
	orderTold  uint64 // with them
}

// row is what this front's zone sends to another.
type row struct {
	plan
	since   Time // of the epoch
	heard   Time // when it was last told by anybody
	refresh uint16
	calm    Time // since when it has been steady
	reason  string
	doubted bool
}

// heardRow is a row of another zone's fronts.
type heardRow struct {
	state State
	hand  bool
	base  uint32
	at    Time
}

type observer struct {
	name  string
	zone  int
	there bool
	has   bool
	at    Time // when its evidence was made
	evidence
}

// Zones is the view of one front.
type Zones struct {
	host      Host
	self      Self
	now       Time
	stores    []store
	storeOf   map[string]int
	spare     []int // places of stores that the list has dropped
	zones     []zone
	zoneOf    map[string]int
	observers []observer
	byName    map[string]int
	free      []int

	window       Time // evidence is of that long
	version      uint64
	published    []sight
	publishedAt  Time
	publishLoad  uint8
	numb         Time    // until then this front's failures count for nothing
	answeredAt   Time    // when a store answered last, whichever
	unanswered   int     // failures since then
	strain, idle float64 // answer times over the expected: of late, and at their best
	beatAt       Time
	rows         []sight
	body         []byte
	hashed       []byte
	pause        Time   // between two notes of evidence that changed nothing; it grows
	Dropped      uint64 // notes that could not be read
}

// New starts a view without stores.
func New(now Time, s Self, h Host) *Zones {
	z := &Zones{host: h, self: s, now: now, storeOf: map[string]int{}, zoneOf: map[string]int{},
		byName: map[string]int{}, window: max(2*s.FallSpan, 4*s.Period, s.Cold/2), version: s.Incarnation << 20, beatAt: now}
	z.zoneAt(s.Zone, true)
	z.zones[0].fronts = 1
	return z
}

// zoneAt gives a zone's place, or -1 where there are too many. What peers tell may take half of the places.
// Danger: made-up members of made-up zones would leave no place for those that have stores.
func (z *Zones) zoneAt(name string, listed bool) int {
	i, ok := z.zoneOf[name]
	if ok {
		return i
	}
	if name == "" || len(name) > mostZone {
		return -1
	}
	fresh := zone{name: name, told: 1, row: row{plan: plan{part: 1000}, calm: z.now}}
	if len(z.zones) < mostZones/2 || listed && len(z.zones) < mostZones {
		z.zones = append(z.zones, fresh)
		z.zoneOf[name] = len(z.zones) - 1
		return len(z.zones) - 1
	}
	for i = 1; i < len(z.zones); i++ {
		if zn := &z.zones[i]; zn.total == 0 && zn.fronts == 0 && zn.row.state == Steady {
			delete(z.zoneOf, zn.name)
			for k := range z.zones { // what was heard of the old one is not of this
				if i < len(z.zones[k].others) {
					z.zones[k].others[i] = heardRow{}
				}
			}
			*zn = fresh
			z.zoneOf[name] = i
			return i
		}
	}
	return -1
}

// Listed takes a list of stores in: all of them, or those that have changed.
func (z *Zones) Listed(now Time, whole bool, list []Store) {
	z.now = now
	for i := range z.stores {
		z.stores[i].named = z.stores[i].named && !whole
	}
	for k := range list {
		e := &list[k]
		at := z.zoneAt(e.Zone, true)
		if at < 0 {
			continue
		}
		i, ok := z.storeOf[e.ID]
		if !ok {
			if len(z.spare) == 0 {
				z.stores = append(z.stores, store{})
				z.spare = append(z.spare, len(z.stores)-1)
			}
			i = z.spare[len(z.spare)-1]
			z.spare = z.spare[:len(z.spare)-1]
			z.storeOf[e.ID] = i
			z.stores[i] = store{id: e.ID, slot: uint8(xxhash.Sum64String(e.ID) % slots), at: -1}
		}
		s := &z.stores[i]
		s.zone, s.size, s.open, s.named = at, max(e.Size, 0), e.Open, true
	}
	for i := range z.zones {
		z.zones[i].size, z.zones[i].total = 0, 0
	}
	for i := range z.stores {
		s := &z.stores[i]
		switch {
		case s.id == "":
		case !s.named:
			delete(z.storeOf, s.id)
			*s = store{}
			z.spare = append(z.spare, i)
		case s.open:
			z.zones[s.zone].size += s.size
			z.zones[s.zone].total |= 1 << s.slot
		}
	}
}

// Ended takes in how a trip, a probe or a connect to a store came back, and how long after it set out; expected is that
// of an answer's profile, or 0.
func (z *Zones) Ended(now Time, id string, how End, took, expected Time) {
	z.now = now
	i, ok := z.storeOf[id]
	if !ok || how != Answered && now < z.numb {
		return
	}
	s := &z.stores[i]
	zn := &z.zones[s.zone]
	if r := &zn.row; r.state != Steady && r.base == r.epoch && now-took < r.since {
		return // it set out before the zone was left: all fronts would tell it once more, as if it were news
	}
	if how != Answered {
		z.unanswered++
	} else {
		if z.unanswered >= drought && now-z.answeredAt > z.self.Period {
			// Danger: a front whose own network is back would tell all that failed meanwhile as if others had failed.
			for k := range z.stores {
				if o := &z.stores[k]; o.last != Answered && o.at > z.answeredAt {
					o.at = -1
				}
			}
		}
		z.answeredAt, z.unanswered = now, 0
	}
	if s.last, s.at = how, now; now-zn.countedAt > z.window { // counts of long ago fade, for those who ask why
		zn.counts, zn.countedAt = [4]float64{}, now
	}
	for k := range zn.counts {
		zn.counts[k] *= 1 - ease
	}
	zn.counts[how]++
	if how == Answered && took > 0 && expected > 0 {
		v := float64(took) / float64(expected)
		z.strain += (v - z.strain) * ease
		if z.idle == 0 {
			z.strain, z.idle = v, v
		}
		z.idle = min(z.idle*(1+ease/64), z.strain)
	}
}

// Member takes in whether a front is there.
func (z *Zones) Member(now Time, name, zone string, there bool) {
	z.now = now
	at := z.zoneAt(zone, false)
	if at < 0 || name == z.self.Name {
		return
	}
	i, known := z.byName[name]
	if !known {
		if !there || len(z.observers)-len(z.free) >= z.self.Observers {
			return
		}
		if len(z.free) == 0 {
			z.observers = append(z.observers, observer{})
			z.free = append(z.free, len(z.observers)-1)
		}
		i = z.free[len(z.free)-1]
		z.free = z.free[:len(z.free)-1]
		z.byName[name] = i
		z.observers[i] = observer{name: name, zone: at}
	}
	o := &z.observers[i]
	if o.there {
		z.zones[o.zone].fronts--
	}
	if !there {
		delete(z.byName, name)
		z.observers[i] = observer{}
		z.free = append(z.free, i)
		return
	}
	o.there, o.zone = true, at
	z.zones[at].fronts++
}

// Spoke takes in when a front of a zone was last heard.
func (z *Zones) Spoke(zone string, at Time) {
	if i, ok := z.zoneOf[zone]; ok {
		z.zones[i].heard = at
	}
}

// unheard is how long a zone's fronts may be silent before they count as not heard.
func (z *Zones) unheard() Time { return Time(max(6, 2*len(z.zones)+2)) * z.self.Period }

// Heard takes a note in. It tells whether it is worth telling on.
func (z *Zones) Heard(now Time, key []byte, version uint64, age Time, body []byte) bool {
	z.now = now
	switch key[0] {
	case keyEvidence:
		i, ok := z.byName[string(key[1:])]
		if !ok {
			return true // of one that is not there: silence is no evidence, and neither is that
		}
		o := &z.observers[i]
		if o.has = o.read(body) == nil; !o.has {
			z.Dropped++
		}
		o.at = now - age
		return !z.outdone(o.zone, o.rows)
	case keyPlan:
		k := slices.Index(key, 0)
		if k < 0 {
			z.Dropped++
			return true
		}
		p, err := readPlan(body)
		i, ok := z.zoneOf[string(key[k+1:])]
		from, known := z.zoneOf[string(key[1:k])]
		switch {
		case err != nil:
			z.Dropped++
		case ok && known && from > 0: // the matter of other zones' fronts, but it says what they think
			for len(z.zones[i].others) <= from {
				z.zones[i].others = append(z.zones[i].others, heardRow{})
			}
			z.zones[i].others[from] = heardRow{p.state, p.hand, p.base, now - age}
			z.hush(from)
		case ok && known:
			z.adopt(i, p, version, age)
		}
	case keyOrder:
		o, err := readOrder(body)
		if i, ok := z.zoneOf[string(key[1:])]; err != nil {
			z.Dropped++
		} else if ok && version > z.zones[i].orderTold {
			z.take(i, o, version, age)
		}
	default:
		return false
	}
	return true
}

// adopt takes over what another front of the own zone has set.
func (z *Zones) adopt(i int, p plan, version uint64, age Time) {
	zn := &z.zones[i]
	r := &zn.row
	if age > z.self.NoteLife || version < r.version() {
		return
	}
	if p.epoch > r.epoch && p.part < r.part && !p.hand {
		// Danger: a front whose sight is wrong must not drive all out of a zone that its neighbours reach well.
		if v := z.voice(0, i); v.bad == 0 && v.seen >= 2 && v.observers >= 2 {
			z.host.Log(fmt.Sprintf("zone %s: the plan of %s to leave is not taken: %s", zn.name, p.by, v.text()))
			return
		}
	}
	was := *r
	r.plan, r.since, r.heard, r.refresh = p, z.now-age-p.age, z.now-age, uint16(version)
	z.say(i, &was, "as "+p.by+" has it") // also within an epoch, where two have set it at once
	z.act(i)
}

// gone: nothing ordinary goes there, so what is seen is of trials alone.
func (r *row) gone() bool { return r.state == Away || r.state == Leaving }

func (r *row) version() uint64 {
	return uint64(r.epoch)<<32 | uint64(1000-r.part)<<16 | uint64(r.refresh)
}

// set changes a row and tells it.
func (z *Zones) set(i int, to State, part, step int, reason string) {
	r := &z.zones[i].row
	was := *r
	r.epoch, r.state, r.part, r.step, r.since, r.refresh, r.reason = r.epoch+1, to, part, step, z.now, 0, reason
	r.by, r.hand = z.self.Name, z.ordered(i)
	if to == Away || to == Leaving || to == Returning && was.gone() {
		r.base = r.epoch // Danger: failures from before the trials would end a return as it begins.
	}
	z.tell(i, true)
	z.say(i, &was, reason)
	z.act(i)
}

// say logs a change; a doubt is no change of the plan.
func (z *Zones) say(i int, was *row, reason string) {
	zn := &z.zones[i]
	r := &zn.row
	if r.state != was.state || r.part != was.part {
		z.host.Log(fmt.Sprintf("zone %s: %v to %v, part %.3f, epoch %d: %s", zn.name, was.state, r.state,
			float64(r.part)/1000, r.epoch, reason))
	}
	if r.base != was.base {
		// What was seen before says nothing of the zone as it is from now on.
		z.wipe(i)
		z.hush(0)
	}
	if r.state == Steady && was.state != Steady {
		r.calm = z.now
	}
}

// outdone tells whether all that a zone's front has seen is of before its zone left what it tells of. The plan goes
// before all else and says as much, so nobody needs the evidence any more.
func (z *Zones) outdone(from int, rows []sight) bool {
	for k := range rows {
		i, ok := z.zoneOf[rows[k].zone]
		switch {
		case !ok:
			return false
		case from == 0:
			if r := &z.zones[i].row; !r.gone() || rows[k].base >= r.base {
				return false
			}
		default:
			if !z.hasLeft(from, i) || rows[k].base >= z.zones[i].others[from].base {
				return false
			}
		}
	}
	return len(rows) > 0
}

// hush ends the spreading of what a zone's fronts saw before they left.
// Danger: when a zone is lost each of hundreds of fronts has something to tell, and most of it is under way still when
// all have long left.
func (z *Zones) hush(from int) {
	for k := range z.observers {
		if o := &z.observers[k]; o.there && o.has && o.zone == from && z.outdone(from, o.rows) {
			z.host.Hush(string(keyEvidence) + o.name)
		}
	}
	if from == 0 && z.outdone(0, z.published) {
		z.host.Hush(string(keyEvidence) + z.self.Name)
	}
}

func (z *Zones) wipe(i int) {
	for k := range z.stores {
		if z.stores[k].zone == i {
			z.stores[k].at = -1
		}
	}
	z.zones[i].seen, z.zones[i].fail = 0, 0
}

// tell publishes a row.
func (z *Zones) tell(i int, urgent bool) {
	zn := &z.zones[i]
	r := &zn.row
	r.heard = z.now
	p := r.plan
	p.age = z.now - r.since
	z.body = p.append(z.body[:0])
	z.host.Publish(string(keyPlan)+z.self.Zone+"\x00"+zn.name, r.version(), z.body, urgent)
}

// act hands the module the part that this front may send.
func (z *Zones) act(i int) {
	zn := &z.zones[i]
	part := float64(zn.row.part) / 1000
	if zn.row.gone() && z.tries(i) {
		part = max(part, z.self.StartShare)
	}
	if part != zn.told {
		zn.told = part
		z.host.Part(zn.name, part)
	}
}

// tries tells whether this front is one of those that try a zone that is away, once that is due.
func (z *Zones) tries(i int) bool {
	r := &z.zones[i].row
	return !z.ordered(i) && z.now-r.since >= r.dwell && z.rank(i) < trialers
}

// rank is this front's place among those of its zone, for one epoch of one row: others for the next.
func (z *Zones) rank(i int) (rank int) {
	zn := &z.zones[i]
	weigh := func(name string) uint64 {
		z.hashed = append(append(append(z.hashed[:0], name...), 0), zn.name...)
		return xxhash.Sum64(binary.LittleEndian.AppendUint32(z.hashed, zn.row.epoch))
	}
	mine := weigh(z.self.Name)
	for k := range z.observers {
		if o := &z.observers[k]; o.there && o.zone == 0 && weigh(o.name) < mine {
			rank++
		}
	}
	return rank
}

// voice is what the fronts of one zone see together of another's stores.
type voice struct {
	seen, bad, total int    // stores
	mask             uint64 // those that fail
	observers        int
	failing          int // observers that see failures
	fails, sound     bool
}

// tally gives the votes that the other fronts of this zone have told of late of another's stores.
func (z *Zones) tally(of int) (votes [slots]int16) {
	zn := &z.zones[of]
	for k := range z.observers {
		o := &z.observers[k]
		if !o.there || !o.has || o.zone != 0 || z.now-o.at > z.window {
			continue
		}
		for n := range o.rows {
			if s := &o.rows[n]; s.zone == zn.name && s.base >= zn.row.base {
				count(&votes, s.seen, s.fail)
			}
		}
	}
	return votes
}

// count adds what one observer has seen.
func count(votes *[slots]int16, saw, fail uint64) {
	for ; saw != 0; saw &= saw - 1 {
		if k := bits.TrailingZeros64(saw); fail&(1<<k) != 0 {
			votes[k] += graver
		} else {
			votes[k]--
		}
	}
}

// covers tells whether enough of a zone's stores are seen to fail to speak of the zone.
// Danger: in a zone of four, one bad store and one that has just come back are half.
func (zn *zone) covers(fail uint64) bool {
	total := float64(bits.OnesCount64(zn.total))
	return float64(bits.OnesCount64(fail)) >= max(covered*total, min(3, total))
}

func (v voice) text() string {
	return fmt.Sprintf("%d of %d stores seen fail, of %d, by %d of %d fronts", v.bad, v.seen, v.total, v.failing, v.observers)
}

// voice merges the evidence of a zone's fronts about another. Old evidence, and what was gathered under an earlier
// plan, counts for nothing.
func (z *Zones) voice(from, of int) (v voice) {
	zn := &z.zones[of]
	var votes [slots]int16
	var seen uint64
	add := func(saw, fail uint64) {
		if saw == 0 {
			return
		}
		v.observers++
		if fail != 0 {
			v.failing++
		}
		seen |= saw
		count(&votes, saw, fail)
	}
	if from == 0 {
		add(zn.seen, zn.fail)
	}
	for k := range z.observers {
		o := &z.observers[k]
		if !o.there || !o.has || o.zone != from || z.now-o.at > 2*z.window {
			continue
		}
		for n := range o.rows {
			if s := &o.rows[n]; s.zone == zn.name && (from != 0 || s.base >= zn.row.base) {
				add(s.seen&zn.total, s.fail&zn.total)
			}
		}
	}
	v.seen, v.total = bits.OnesCount64(seen), bits.OnesCount64(zn.total)
	for k := range votes {
		if votes[k] > 0 {
			v.bad++
			v.mask |= 1 << k
		}
	}
	share := float64(v.bad) / float64(max(v.seen, 1))
	v.fails = v.bad >= 2 && share >= most && v.failing >= min(2, z.zones[from].fronts)
	v.sound = v.seen > 0 && share <= few
	return v
}

// hasLeft tells whether another zone's fronts have left a zone for what they saw of it.
func (z *Zones) hasLeft(from, of int) bool {
	if from >= len(z.zones[of].others) {
		return false
	}
	o := &z.zones[of].others[from]
	return (o.state == Away || o.state == Leaving) && !o.hand && z.now-o.at <= z.self.NoteLife
}

// verdict tells whether a zone is to be left, and why, or what else its trouble is. Nothing at all: "".
func (z *Zones) verdict(of int) (gone bool, why string) {
	zn := &z.zones[of]
	failing, telling, fail := 0, 0, uint64(0) // fail: stores that those who see failures see fail, together
	var text string
	for from := range z.zones {
		f := &z.zones[from]
		if from == of || f.fronts == 0 || from != 0 && z.now-f.heard > z.unheard() {
			continue
		}
		telling++
		v := z.voice(from, of)
		if from == 0 && v.sound && v.bad == 0 && v.seen >= 2 && v.observers >= min(2, f.fronts) {
			return false, "" // whatever others say, from here it is reached well
		}
		if z.hasLeft(from, of) {
			failing++
			fail |= zn.total
			text += fmt.Sprintf("; from %s it has been left", f.name)
		} else if v.fails {
			failing++
			fail |= v.mask
			text += fmt.Sprintf("; from %s %s", f.name, v.text())
		} else if v.bad >= 2 && 4*v.bad >= v.total {
			text += fmt.Sprintf("; from %s %s", f.name, v.text())
		}
	}
	inside := voice{}
	if of == 0 || zn.fronts > 0 && z.now-zn.heard <= z.unheard() {
		inside = z.voice(of, of)
		if inside.bad >= 2 && 4*inside.bad >= inside.total {
			text += "; inside " + inside.text()
		}
	}
	if text == "" {
		return false, ""
	}
	text = text[2:]
	if !zn.covers(fail) {
		return false, text
	}
	switch {
	case failing >= 2 && 2*failing > telling && inside.sound:
		return true, "cut off, and sound inside: " + text
	case failing >= 2 && 2*failing > telling:
		return true, "gone: " + text
	case of == 0 && inside.fails && zn.covers(inside.mask) && failing > 0 && 2*failing > telling:
		return true, "gone, as inside and outside see: " + text
	case of != 0 && failing == 1 && telling == 1 && !inside.sound:
		// There is nobody else to ask: either it is gone or this zone is cut off, and both ways it cannot be reached.
		return true, "out of reach, and nobody else is heard: " + text
	case failing > 0:
		return false, "the way there alone: " + text
	}
	return false, text
}

// load is the part of what the stores can do that is asked of them, as far as answer times tell: at their best they
// are those without load, and where jobs of one length queue the time spent is 1 + load/(2(1-load)) of that (Pollaczek and
// Khinchine). Jobs of many lengths wait longer at the same load, so this errs to the careful side.
func (z *Zones) load() float64 {
	if z.idle <= 0 {
		return 0
	}
	r := max(z.strain/z.idle, 1)
	return min(2*(r-1)/(2*r-1), 1)
}

// bears tells which part of all stores, by size, may be left at most, and which part a zone is.
func (z *Zones) bears(i int) (may, part float64) {
	all, away, rest := 0.0, 0.0, 0
	for k := range z.zones {
		zn := &z.zones[k]
		all += zn.size
		if k != i {
			away += zn.size * (1 - float64(zn.row.part)/1000)
			if zn.size > 0 && zn.row.part == 1000 {
				rest++
			}
		}
	}
	if rest == 0 || all == 0 { // Danger: with all zones left there is nowhere to go.
		return 0, 1
	}
	u, n := z.load(), 1.0
	for k := range z.observers {
		if o := &z.observers[k]; o.there && o.has && z.now-o.at <= z.self.NoteLife {
			u, n = u+float64(o.load)/255, n+1
		}
	}
	return max(1-(u/n)/full-away/all, 0), z.zones[i].size / all
}

// leave begins to stay away from a zone, as far as the rest bears it.
func (z *Zones) leave(i int, reason string) {
	r := &z.zones[i].row
	part := 0
	if may, of := z.bears(i); !(z.ordered(i) && z.zones[i].order.force) && may < of {
		part = int(math.Ceil(1000 * (1 - may/of)))
		reason += fmt.Sprintf("; the rest bears %.2f of %.2f", may, of)
	}
	if part >= 1000 {
		if !r.doubted {
			r.doubted = true
			z.host.Log(fmt.Sprintf("zone %s: not left: %s", z.zones[i].name, reason))
		}
		return
	}
	if r.state == Steady && z.now-r.calm > 8*r.dwell || r.dwell == 0 {
		r.dwell = max(z.self.FallSpan, 2*z.self.Period)
	} else {
		// Danger: a zone that comes and goes would be entered and left for ever. Each time it is given longer.
		r.dwell = min(2*r.dwell, max(4*z.self.Cold, z.self.FallSpan))
	}
	if to := Away; part > 0 {
		z.set(i, Leaving, part, 0, reason)
	} else {
		z.set(i, to, 0, 0, reason)
	}
}

// stepPart is the part of step k of the ramp: what a store has that was cold when the ramp began, as that step begins.
func (z *Zones) stepPart(k int) int {
	return int(1000 * (z.self.StartShare + (1-z.self.StartShare)*float64(k)/steps))
}

// ordered tells whether an operator's order to leave stands.
func (z *Zones) ordered(i int) bool {
	zn := &z.zones[i]
	return zn.order.leave && z.now < zn.orderUntil
}

func (z *Zones) take(i int, o order, version uint64, age Time) {
	zn := &z.zones[i]
	fresh := version>>refreshBits > zn.orderAt
	zn.order, zn.orderAt, zn.orderTold, zn.orderUntil = o, version>>refreshBits, version, z.now-age+o.span
	if zn.orderHeard = z.now - age; fresh && !o.leave && zn.row.gone() {
		z.set(i, Returning, z.stepPart(0), 0, "by hand")
	}
}

// remind tells an order again for those who come later, for as long as it stands.
// Danger: a front that was cut off when a zone was returned to by hand would spread the older order again.
func (z *Zones) remind(i int) {
	zn := &z.zones[i]
	if z.now >= zn.orderUntil || z.now-zn.orderHeard < z.self.NoteLife/3+Time(min(z.rank(i), 8))*z.self.Period {
		return
	}
	zn.orderTold, zn.orderHeard = zn.orderTold+1, z.now
	o := zn.order
	o.span = zn.orderUntil - z.now
	z.body = o.append(z.body[:0])
	z.host.Publish(string(keyOrder)+zn.name, zn.orderTold, z.body, false)
}

// Order takes an operator's order: to leave a zone for a span, or to return to it. Version grows with each.
func (z *Zones) Order(now Time, zone string, leave, force bool, span Time, version uint64) error {
	z.now = now
	i, ok := z.zoneOf[zone]
	if !ok || z.zones[i].size == 0 {
		return fmt.Errorf("no zone %q has stores", zone)
	}
	if leave && (span <= 0 || span > LongestOrder) {
		return fmt.Errorf("an order lasts from a moment to a day")
	}
	if may, of := z.bears(i); leave && !force && may < of && z.zones[i].row.part == 1000 {
		if may <= 0 {
			return fmt.Errorf("the rest does not bear it (it bears %.2f of all stores, zone %s is %.2f): --force tells it outright", may, zone, of)
		}
	}
	if !leave { // it has to outlive the order that it ends
		span = max(z.zones[i].orderUntil-now, z.self.NoteLife)
	}
	o := order{leave, force, span}
	version = max(version<<refreshBits, z.zones[i].orderTold+1<<refreshBits)
	z.take(i, o, version, 0)
	z.host.Publish(string(keyOrder)+zone, version, o.append(z.body[:0]), true)
	z.review(i)
	return nil
}

// Overslept: this front stood still. What it saw before says nothing, and it acts on no plan of before; the next that
// it hears it takes.
func (z *Zones) Overslept(now Time) {
	z.now = now
	z.Numb(now)
	for k := range z.stores {
		z.stores[k].at = -1
	}
	for i := range z.zones {
		zn := &z.zones[i]
		if zn.row.state != Steady {
			zn.row = row{plan: plan{epoch: zn.row.epoch, base: zn.row.base, part: 1000}, calm: now}
			z.act(i)
		}
	}
}

// Numb: this front is short of processor, so what it takes for silence may be its own.
func (z *Zones) Numb(now Time) { z.numb = max(z.numb, now+z.self.Period) }

// Next is when Beat must be called again.
func (z *Zones) Next() Time { return z.beatAt }

// Beat does what is due.
func (z *Zones) Beat(now Time) {
	z.now = now
	if now < z.beatAt {
		return
	}
	z.beatAt = now + max(z.self.Period/10, 1)
	z.look()
	z.publish()
	for i := range z.zones {
		z.review(i)
	}
}

// look gathers this front's own bits.
func (z *Zones) look() {
	for i := range z.zones {
		z.zones[i].seen, z.zones[i].fail = 0, 0
	}
	for i := range z.stores {
		s := &z.stores[i]
		zn := &z.zones[s.zone]
		// Danger: a front that reaches nothing at all has lost its own network, and would blame everybody. A failure counts
		// once something has answered after it, wherever that is.
		if s.last != Answered && s.at > z.answeredAt {
			continue
		}
		if s.id == "" || s.at < 0 || z.now-s.at > z.window || s.last == Answered && z.now-s.at > z.self.Period/2 && zn.row.state == Steady {
			continue // Danger: an answer from before a zone was lost is no sign that it is there.
		}
		zn.seen |= 1 << s.slot
		if s.last != Answered {
			zn.fail |= 1 << s.slot
		}
	}
	if z.now < z.numb {
		for i := range z.zones {
			z.zones[i].seen, z.zones[i].fail = 0, 0
		}
	}
}

// asked tells whether a zone is in question, so that what is sound there is worth telling too.
func (z *Zones) asked(i int) bool {
	zn := &z.zones[i]
	if zn.fail != 0 || zn.row.state != Steady {
		return true
	}
	for k := range z.observers {
		o := &z.observers[k]
		if !o.there || !o.has || z.now-o.at > 2*z.window {
			continue
		}
		for n := range o.rows {
			if s := &o.rows[n]; s.fail != 0 && s.zone == zn.name {
				return true
			}
		}
	}
	return false
}

// pressing tells whether something may come of evidence now: a row is not steady, half of what would have to fail before a
// zone is left does for somebody, or this front has more than one failure to tell.
// Danger: of hundreds of fronts that each see little, some always see two failures and no answer in a sound zone.
func (z *Zones) pressing() bool {
	for i := range z.zones {
		zn := &z.zones[i]
		if zn.row.state != Steady || bits.OnesCount64(zn.fail&^z.told(i).fail) >= 2 {
			return true
		}
		fail := zn.fail
		for k := range z.observers {
			o := &z.observers[k]
			for n := range o.rows {
				if s := &o.rows[n]; o.there && o.has && z.now-o.at <= z.window && s.zone == zn.name && s.base >= zn.row.base {
					fail |= s.fail & zn.total
				}
			}
		}
		if n := bits.OnesCount64(fail); n >= 2 && float64(n) >= covered/2*float64(bits.OnesCount64(zn.total)) {
			return true
		}
	}
	return false
}

// told is what this front has told of a zone that still counts.
func (z *Zones) told(i int) sight {
	for n := range z.published {
		if p := &z.published[n]; p.zone == z.zones[i].name && p.base == z.zones[i].row.base && z.now-z.publishedAt < z.window {
			return *p
		}
	}
	return sight{}
}

// publish tells what this front sees where that has changed.
func (z *Zones) publish() {
	z.rows = z.rows[:0]
	for pass := range 2 { // failures first
		for i := range z.zones {
			zn := &z.zones[i]
			if zn.seen != 0 && (zn.fail != 0) == (pass == 0) && len(z.rows) < mostRows && z.asked(i) {
				z.rows = append(z.rows, sight{zn.name, zn.row.base, zn.seen, zn.fail})
			}
		}
	}
	load := uint8(z.load() * 255)
	graver, changed := false, len(z.rows) != len(z.published)
	for k := range z.rows {
		if changed || z.rows[k] != z.published[k] {
			changed = true
			graver = graver || k >= len(z.published) || z.rows[k].fail&^z.published[k].fail != 0
		}
	}
	since := z.now - z.publishedAt
	// A few of each zone tell the load. Danger: it moves all the time, and each of hundreds would tell it to all others.
	moved := max(load, z.publishLoad)-min(load, z.publishLoad) > 32 && z.rank(0) < trialers
	switch {
	case since > 2*mostPause*z.self.Period, z.pressing():
		z.pause = z.self.Period / 5
	}
	adds := len(z.rows) > 0 && z.adds()
	changed = changed && adds
	switch {
	case changed && graver && since >= z.pause:
	case changed && since >= max(z.pause, z.self.Period/2):
	case adds && since >= max(z.window, z.pause), moved && since >= z.self.NoteLife/2:
	default:
		return
	}
	// Danger: each front's note goes to all the others, so single bad stores would have all of them talk for ever.
	z.pause = min(2*z.pause, mostPause*z.self.Period)
	z.version++
	z.published, z.publishedAt, z.publishLoad = append(z.published[:0], z.rows...), z.now, load
	z.body = appendEvidence(z.body[:0], z.self.Zone, load, z.rows)
	z.host.Publish(string(keyEvidence)+z.self.Name, z.version, z.body, false)
}

// adds tells whether what this front sees would add to what its zone's fronts have told: a failure that fewer than enough
// have told, an answer where the others tell failures, what this front has told otherwise before, or, from some of the
// zone's fronts alone, an answer where too few are told to speak of the zone.
// Danger: a hundred fronts that find out the same thing at once would each have all the others hear it.
func (z *Zones) adds() bool {
	for k := range z.rows {
		s := &z.rows[k]
		i := z.zoneOf[s.zone]
		votes := z.tally(i)
		told, answers := z.told(i), 0
		for _, v := range votes {
			answers += max(0, -int(v))
		}
		few := float64(answers) < max(2*enough, covered*float64(bits.OnesCount64(z.zones[i].total))) && z.rank(i) < 4*enough
		for saw := s.seen; saw != 0; saw &= saw - 1 {
			n := bits.TrailingZeros64(saw)
			bit := uint64(1) << n
			switch {
			case told.seen&bit != 0 && told.fail&bit == s.fail&bit:
			case told.seen&bit != 0,
				s.fail&bit != 0 && votes[n] < graver*enough,
				s.fail&bit == 0 && (votes[n] > 0 || few && votes[n] > -enough):
				return true
			}
		}
	}
	return false
}

// review moves a row on.
func (z *Zones) review(i int) {
	zn := &z.zones[i]
	r := &zn.row
	z.remind(i)
	if z.ordered(i) {
		if !r.hand || !r.gone() {
			z.leave(i, "by hand")
		}
		z.keep(i)
		return
	}
	switch r.state {
	case Steady:
		gone, why := z.verdict(i)
		if gone {
			z.leave(i, why)
		} else if doubt := why != ""; doubt != r.doubted {
			r.doubted = doubt
			if doubt {
				z.host.Log(fmt.Sprintf("zone %s: doubted: %s", zn.name, why))
			}
		}
		return
	case Away, Leaving:
		z.act(i) // a trial may have come due
		if r.hand {
			z.set(i, Returning, z.stepPart(0), 0, "the order has ended")
			break
		}
		if z.now-r.since < r.dwell {
			break
		}
		v := z.voice(0, i)
		wait := r.dwell + Time(z.rank(i))*z.self.Period/2 // who is first by rank sets it, the next only if that one does not
		switch {
		case v.sound && v.seen >= min(2, v.total) && z.now-r.since >= r.dwell+Time(min(z.rank(i), 8))*z.self.Period/4:
			z.set(i, Returning, z.stepPart(0), 0, "trials came back: "+v.text())
		case v.fails && z.now-r.since >= wait+2*z.self.Period:
			r.dwell = min(2*r.dwell, max(4*z.self.Cold, z.self.FallSpan))
			z.set(i, r.state, r.part, 0, "trials failed: "+v.text())
		}
	case Returning:
		v := z.voice(0, i)
		span := max(z.self.Cold/steps, z.self.Period)
		late := Time(min(z.rank(i), 8)) * z.self.Period / 4
		share := float64(v.bad) / float64(max(v.seen, 1))
		switch {
		case v.fails && v.seen >= min(2, v.total):
			z.leave(i, "failed on the way back: "+v.text())
		case v.failing >= 2 && share >= half && z.now-r.since >= span/2:
			z.set(i, Returning, z.stepPart(max(r.step-1, 0)), max(r.step-1, 0), "a step back: "+v.text())
		case z.now-r.since < span+late || share >= half || v.seen == 0:
		case r.step+1 >= steps:
			z.set(i, Steady, 1000, 0, "back")
		default:
			z.set(i, Returning, z.stepPart(r.step+1), r.step+1, v.text())
		}
	}
	z.keep(i)
}

// keep tells a row again before what the others hold of it is too old.
func (z *Zones) keep(i int) {
	r := &z.zones[i].row
	if r.state == Steady || z.now-r.heard < z.self.NoteLife/3+Time(min(z.rank(i), 8))*z.self.Period {
		return
	}
	if r.refresh++; r.refresh == 0 { // it has come round, and only a new epoch is newer
		r.epoch++
	}
	z.tell(i, false)
}

// Row is what is held of a zone, for people.
type Row struct {
	Zone   string  `json:"zone"`
	State  string  `json:"state"`
	Part   float64 `json:"part"`  // that this front may send there
	Fleet  float64 `json:"fleet"` // that the front's zone sends there
	Epoch  uint32  `json:"epoch"`
	AgeMS  int64   `json:"age_ms"`
	By     string  `json:"by,omitempty"`
	Hand   bool    `json:"by_hand,omitempty"`
	Size   float64 `json:"size"`
	Fronts int     `json:"fronts"`
	Reason string  `json:"reason,omitempty"`
}

// Rows gives what is held of each zone with stores or fronts.
func (z *Zones) Rows(now Time) (rows []Row) {
	for i := range z.zones {
		zn := &z.zones[i]
		r := &zn.row
		state := r.state
		if state == Steady && r.doubted {
			state = Doubted
		}
		rows = append(rows, Row{zn.name, state.String(), zn.told, float64(r.part) / 1000, r.epoch, (now - r.since) / 10, r.by, r.hand,
			zn.size, zn.fronts, r.reason})
	}
	return rows
}

// Why tells what is seen of a zone: a line a voice, the verdict, the capacity.
func (z *Zones) Why(now Time, name string) (lines []string, err error) {
	z.now = now
	i, ok := z.zoneOf[name]
	if !ok {
		return nil, fmt.Errorf("no zone %q is known", name)
	}
	zn := &z.zones[i]
	for from := range z.zones {
		f := &z.zones[from]
		heard := ""
		if from != 0 && z.now-f.heard > z.unheard() {
			heard = ", not heard"
		}
		lines = append(lines, fmt.Sprintf("from %s (%d fronts%s): %s", f.name, f.fronts, heard, z.voice(from, i).text()))
	}
	c := zn.counts
	lines = append(lines, fmt.Sprintf("of late from here: answered %.0f, refused %.0f, silent %.0f, broken off %.0f", c[Answered],
		c[Refused], c[Silent], c[BrokenOff]))
	if _, why := z.verdict(i); why != "" {
		lines = append(lines, "verdict: "+why)
	} else {
		lines = append(lines, "verdict: nothing is held against it")
	}
	may, of := z.bears(i)
	lines = append(lines, fmt.Sprintf("load %.2f; %.2f of all stores may be left beside what is, this zone is %.2f", z.load(), may, of))
	return lines, nil
}
