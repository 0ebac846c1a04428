// Package fleet joins what one front decides together with the others of its fleet: who is there (membership) and what
// is thought of zones (zones). It carries facts from one to the other, does no I/O and reads no clock.
package fleet

import (
	"micatrack/fleet/membership"
	"micatrack/fleet/zones"
)

// Time is a moment or a span in whole tenths of a millisecond.
type Time = int64

// Host is what a front does for its fleet.
type Host interface {
	Send(addr string, m *membership.Message) // a datagram; m is only valid during the call
	Exchange(addr string)                    // a whole exchange with whoever is there; Whole gives the message
	Part(zone string, part float64)          // of ordinary traffic that may go to a zone
	Log(text string)
}

// Fleet is the view of one front.
type Fleet struct {
	Members *membership.Members
	Zones   *zones.Zones
	Changed bool // a member has come, gone or moved; whoever has looked takes it back
	host    Host
	now     Time
	due     Time // when Beat was to be called last
	period  Time
}

// New starts a view. What zones needs of the front itself is taken from who.
func New(now Time, who membership.Self, z zones.Self, h Host) *Fleet {
	f := &Fleet{host: h, now: now, due: now, period: who.Period}
	z.Name, z.Zone, z.Incarnation, z.Period = who.Name, who.Zone, who.Incarnation, who.Period
	z.Observers, z.NoteLife = who.Members, who.NoteLife
	f.Zones = zones.New(now, z, told{f})
	f.Members = membership.New(now, who, told{f})
	return f
}

// told is what the two packages say.
type told struct{ f *Fleet }

func (t told) Send(addr string, m *membership.Message) { t.f.host.Send(addr, m) }
func (t told) Exchange(addr string)                    { t.f.host.Exchange(addr) }
func (t told) Part(zone string, part float64)          { t.f.host.Part(zone, part) }
func (t told) Log(text string)                         { t.f.host.Log(text) }
func (t told) MemberChanged(name, zone string, state membership.State) {
	t.f.Changed = true
	t.f.Zones.Member(t.f.now, name, zone, state <= membership.Suspect)
}
func (t told) Hush(key string) { t.f.Members.StopSpreading(key) }
func (t told) NoteReceived(key []byte, n membership.Note, age Time) bool {
	return t.f.Zones.Heard(t.f.now, key, n.Version, age, n.Body)
}
func (t told) Publish(key string, version uint64, body []byte, urgent bool) {
	t.f.Members.Publish(t.f.now, key, version, body, urgent)
}

// Take takes a message of another front in; answer: a whole exchange wants Whole(membership.Answer).
func (f *Fleet) Take(now Time, m *membership.Message) (answer bool) {
	f.now = now
	return f.Members.Take(now, m)
}

// Next is when Beat must be called again.
func (f *Fleet) Next() Time { return min(f.Members.Next(), f.Zones.Next()) }

// Beat does what is due.
func (f *Fleet) Beat(now Time) {
	late := now - f.due
	f.now = now
	switch {
	case late > f.period:
		f.Zones.Overslept(now)
	case late > f.period/2:
		f.Zones.Numb(now)
	}
	f.Members.Tick(now)
	for _, z := range f.Members.Zones() {
		f.Zones.Spoke(z, f.Members.ZoneHeard(z))
	}
	if !f.Members.Replaced() {
		f.Zones.Beat(now)
	}
	f.due = f.Next()
}
